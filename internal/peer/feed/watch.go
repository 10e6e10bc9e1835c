package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	// strictWait is how long a relay's watch of a strict kind lasts without changes, less
	// watchPause if it paused before. Within maxStale the next one has confirmed it.
	strictWait = time.Second
	// looseWait is that of other kinds.
	looseWait = 20 * time.Second
	// watchPause is the pause of a relay after a change. Further changes accumulate in it.
	watchPause = 500 * time.Millisecond
	// outageAfter is how long calls must fail to count as an outage, as in package follow.
	outageAfter = 400 * time.Millisecond
	// minRetry and maxRetry bound the mean pause after a failed call.
	minRetry = 40 * time.Millisecond
	maxRetry = 400 * time.Millisecond
)

// watcher watches one kind at the store, for as long as this process is a relay.
type watcher struct {
	feed *Feed
	view *view
	// failingSince is when the first call failed since the last success, timedOut is set if
	// one of them had no response in time.
	failingSince time.Time
	timedOut     bool
	// called is when the last call was made, notBefore when the last one was that failed or
	// had a response of the store.
	called, notBefore time.Time
	retry             time.Duration
}

// watchAll watches all kinds until ctx ends.
func (f *Feed) watchAll(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, k := range f.Kinds {
		f.mu.Lock()
		w := &watcher{feed: f, view: f.view(k.Name)}
		f.mu.Unlock()
		tasks.Go(func() { w.run(ctx) })
	}
	tasks.Wait()
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	caller := callerOf(w.view)
	// Failures of a watch that has ended must not count as an outage any longer.
	defer func() { w.feed.Health.RecordSuccess(time.Now(), caller) }()
	w.feed.mu.Lock()
	listed := w.view.listed
	w.view.steady, w.view.failingSince = false, time.Time{}
	w.view.validUntil = earlier(w.view.validUntil, time.Now().Add(maxStale))
	w.feed.mu.Unlock()
	// fresh is set if the last call was a list: a watch that the store then forgets fails.
	wait, fresh := time.Duration(0), false
	for ctx.Err() == nil {
		var err error
		changed, watched := false, listed
		w.called = time.Now()
		if listed {
			changed, err = w.watch(ctx, wait)
		} else {
			err = w.list(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRestarted):
			wait = 0
		case err != nil:
			listed = false
			if !errors.Is(err, store.ErrForgotten) || !watched || fresh {
				w.failed(time.Now(), caller, err)
				w.pause(ctx)
			}
		default:
			w.succeeded(watched)
			listed, fresh, wait = true, !watched, w.nextWait(changed)
			if changed {
				timer.Wait(ctx, watchPause)
			}
		}
	}
}

// callerOf returns the name of a relay's watch of a kind as a caller of the store.
func callerOf(v *view) string { return "Relay." + v.Name }

// nextWait returns how long the next call waits for changes.
func (w *watcher) nextWait(paused bool) time.Duration {
	switch {
	case !w.view.Strict:
		return looseWait
	case paused:
		return strictWait - watchPause
	}
	return strictWait
}

// errRestarted means that a call was ended to confirm the history by a new one.
var errRestarted = errors.New("watch restarted")

// watch makes one call for changes and reports whether there were any.
func (w *watcher) watch(ctx context.Context, wait time.Duration) (bool, error) {
	f, v := w.feed, w.view
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	v.restart = cancel
	after := v.revision
	f.mu.Unlock()
	began := time.Now()
	page, err := callStore(callCtx, f, false, func() (store.Page, error) { return f.Direct.Changes(callCtx, v.Name, after, wait) })
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return false, errRestarted
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// A process that was paused during the call gets its response late.
	changed, err := v.update(time.Now(), page)
	if err == nil {
		f.confirm(v, earlier(time.Now(), began.Add(wait)), changed)
	}
	return changed, err
}

// list lists all objects. Its differences from what is known become changes.
func (w *watcher) list(ctx context.Context) error {
	f, v := w.feed, w.view
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := time.Now()
	page, err := f.listPages(ctx, v.Name)
	if err != nil {
		return err
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	restored := v.listed && store.Era(page.Revision) > store.Era(v.revision)
	if restored || w.timedOut || !w.failingSince.IsZero() && now.Sub(w.failingSince) > outageAfter {
		caller := callerOf(v)
		v.outage = follow.Outage{NotBefore: w.notBefore, Seen: now, Failed: caller, Answered: caller}
		f.Health.RecordOutage(v.outage)
	}
	changed, err := v.replace(now, page)
	if err != nil {
		return err
	}
	if restored {
		f.Log.Warn("relay: the store came back from an older copy", zap.String("Kind", v.Name), zap.Uint64("Era", store.Era(page.Revision)))
	}
	f.confirm(v, began, changed)
	return nil
}

// listTimeout bounds a complete list of a kind.
const listTimeout = 8 * time.Second

// confirm records that the history of a kind was complete at a time. A strict kind confirms
// the others whose watch does not fail: the store can be reached. If that was in doubt, they
// are watched anew. The caller must hold mu.
func (f *Feed) confirm(v *view, at time.Time, changed bool) {
	now := time.Now()
	was := v.serves(now) && v.current(now)
	v.steady = true
	v.extend(now, at)
	if v.Strict {
		f.source = ownSource
		for _, other := range f.views {
			switch {
			case other.Strict || !other.steady:
			case other.serves(now):
				other.extend(now, at)
			case other.restart != nil:
				other.restart()
			}
		}
	}
	if changed || !was {
		f.announce()
	}
}

// extend moves the time until which the history is current.
func (v *view) extend(now, at time.Time) {
	if at.After(v.confirmed) {
		v.confirmed = at
	}
	until := at.Add(maxStale)
	if !until.After(v.servedUntil) {
		return
	}
	v.servedUntil = until
	if until.After(now) {
		// It may have been set further ahead by an answer of another relay.
		v.validUntil = until
	}
}

// failed records that a call failed. One whose history is gone is none of an outage: the
// store has answered it.
func (w *watcher) failed(now time.Time, caller string, err error) {
	w.notBefore = w.called
	if errors.Is(err, store.ErrForgotten) {
		w.feed.mu.Lock()
		w.view.steady = false
		w.feed.mu.Unlock()
		return
	}
	w.feed.Health.RecordFailure(w.called, now, caller)
	w.timedOut = w.timedOut || errors.Is(err, context.DeadlineExceeded)
	if w.failingSince.IsZero() {
		w.failingSince = now
		w.feed.Log.Warn("relay: store calls are failing", zap.String("Kind", w.view.Name), zap.Error(err))
	}
	w.feed.mu.Lock()
	w.view.steady, w.view.failingSince = false, w.failingSince
	w.feed.mu.Unlock()
}

// succeeded records that a call succeeded. The pause after failures grows until a watch has
// succeeded: lists may succeed while no watch does.
func (w *watcher) succeeded(watched bool) {
	w.feed.Health.RecordSuccess(time.Now(), callerOf(w.view))
	w.failingSince, w.timedOut, w.notBefore = time.Time{}, false, w.called
	w.feed.mu.Lock()
	w.view.failingSince = time.Time{}
	w.feed.mu.Unlock()
	if watched {
		w.retry = 0
	}
}

// pause waits after a failed call, longer each time.
func (w *watcher) pause(ctx context.Context) {
	mean := max(w.retry, minRetry)
	timer.Wait(ctx, mean/2+rand.N(mean))
	w.retry = min(2*mean, maxRetry)
}
