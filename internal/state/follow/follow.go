// Package follow keeps a view of one kind of objects in the store.
//
// A Follower lists the objects and then waits for changes. Where the history
// was lost, or the store did not answer, it lists again. It tells the view
// whether the store was away in between, since objects may have lapsed then.
//
// # Usage
//
//	f := &follow.Follower{Kind: "servers", Feed: store, View: view, Wait: wait}
//	err := f.Run(ctx)
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Feed is the store as a Follower needs it.
type Feed interface {
	// List returns the objects of a kind behind a name, or the first ones, as
	// many as come at once, and the revision at which they were read.
	List(ctx context.Context, kind, after string) (store.Page, error)
	// Changes waits for changes after a revision. The error is ErrForgotten if
	// the changes are not known any more.
	Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error)
}

// View is what is kept up to date.
type View interface {
	// Replace takes in all objects. away is set if the store did not answer
	// for a while before.
	Replace(page store.Page, away bool)
	// Change takes in objects that changed or were removed.
	Change(page store.Page)
}

// Follower follows one kind.
type Follower struct {
	Kind string
	Feed Feed
	View View
	// Wait returns how long one call waits for changes.
	Wait func() time.Duration
	// Rest returns how long to wait after changes for others that come along,
	// so that a row of changes takes few calls; nil if they are urgent.
	Rest func() time.Duration
	// Health is shared by all that call the store; nil if this one is alone.
	Health *Health
	Log    *zap.Logger

	// failingSince is when the first call of a row failed; zero while the store
	// answers. silent is set if one of the row brought no answer at all.
	failingSince time.Time
	timedOut bool

	mu   sync.Mutex
	cancelWait context.CancelCauseFunc
}

// errRelist is the cause of the end of a wait by Poke.
var errRelist = errors.New("there is something new")

// Poke ends a wait for changes and lists anew, as when there are signs that the
// wait misses something.
func (f *Follower) Poke() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWait != nil {
		f.cancelWait(errRelist)
	}
}

// waitContext returns a context that Poke ends.
func (f *Follower) waitContext(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = cancel
	return ctx, func() { cancel(nil) }
}

const (
	// outageAfter is how long the store may fail to answer and still count as having
	// been there: a watch may be cut off at any time, and is taken up again
	// within that time.
	outageAfter = 400 * time.Millisecond
	// minBackoff and maxPause bound the pause after a failed call, so that many
	// processes that come back at once stay within the store's rates.
	minBackoff = 40 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// backoff is a pause that doubles with each failure. The zero value begins.
type backoff struct{ next time.Duration }

func (b *backoff) wait(ctx context.Context) {
	pause := max(b.next, minBackoff)
	timer.Wait(ctx, pause/2+rand.N(pause))
	b.next = min(2*pause, maxBackoff)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var pause backoff
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx, &pause)
		if ctx.Err() != nil {
			break
		}
		f.recordFailure(err)
		pause.wait(ctx)
	}
	return ctx.Err()
}

// listAndWatch lists and waits for changes until a call fails.
func (f *Follower) listAndWatch(ctx context.Context, pause *backoff) error {
	after, err := f.list(ctx)
	if err != nil {
		return err
	}
	*pause = backoff{}
	for {
		wait, done := f.waitContext(ctx)
		page, err := f.Feed.Changes(wait, f.Kind, after, f.Wait())
		poked := errors.Is(context.Cause(wait), errRelist)
		done()
		if errors.Is(err, store.ErrForgotten) || err != nil && poked {
			f.Log.Info("listed anew", zap.String("Kind", f.Kind), zap.Uint64("After", after), zap.Error(err))
			if after, err = f.list(ctx); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		f.View.Change(page)
		after = max(after, page.Revision)
		if f.Rest != nil && len(page.Objects) > 0 && !timer.Wait(ctx, f.Rest()) {
			return ctx.Err()
		}
	}
}

// outage reports whether the store may have lost entries that are still good.
func (f *Follower) outage() bool {
	return f.timedOut || !f.failingSince.IsZero() && time.Since(f.failingSince) > outageAfter
}

func (f *Follower) recordFailure(err error) {
	f.Health.Failed(time.Now(), f.Kind)
	if f.failingSince.IsZero() {
		f.failingSince = time.Now()
		f.Log.Warn("store lost", zap.String("Kind", f.Kind), zap.Error(err))
	}
	f.timedOut = f.timedOut || errors.Is(err, context.DeadlineExceeded)
}

func (f *Follower) recordSuccess(page store.Page) {
	f.Health.Answered(time.Now(), f.Kind)
	if !f.failingSince.IsZero() {
		f.Log.Info("store regained", zap.String("Kind", f.Kind), zap.Uint64("Revision", page.Revision),
			zap.Int("Objects", len(page.Objects)), zap.Duration("Lost", time.Since(f.failingSince)), zap.Bool("Away", f.outage()))
	}
	f.failingSince, f.timedOut = time.Time{}, false
}
