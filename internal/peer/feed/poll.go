package feed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	// pollSlack is how long a relay may take to respond beyond the wait that it is asked for,
	// listSlack that with all objects.
	pollSlack = 300 * time.Millisecond
	listSlack = time.Second
	// tryTimeout bounds the first call to another relay after one has failed.
	tryTimeout = 150 * time.Millisecond
	// pollPause is the pause of a follower after changes. Further ones accumulate in it.
	pollPause = 400 * time.Millisecond
	// chooseInterval is the interval at which a process that does not poll looks for relays.
	chooseInterval = 200 * time.Millisecond
	// avoidFailed is how long a relay is not used that did not respond or had older objects,
	// avoidRefused that of one without a current view.
	avoidFailed  = 5 * time.Second
	avoidRefused = time.Second
	// relayFor is how long a process remains a relay after it is no longer chosen, so that
	// a choice that changes back and forth costs no list each time.
	relayFor = 3 * time.Second
)

// Run keeps the histories up to date until ctx ends and returns its error.
func (f *Feed) Run(ctx context.Context) error {
	f.mu.Lock()
	f.view("")
	if f.started.IsZero() {
		f.started = time.Now()
	}
	f.mu.Unlock()
	var watch relayTask
	defer watch.stop()
	var chosen time.Time
	for ctx.Err() == nil {
		now, choice := time.Now(), f.Choose()
		if choice.Active && choice.Relay {
			chosen = now
		}
		relaying := choice.Active && (choice.Relay || !chosen.IsZero() && now.Sub(chosen) < relayFor)
		f.setRole(choice.Active, relaying)
		switch {
		case relaying:
			watch.start(ctx, f)
			if relay, ok := f.next(now, choice); ok && f.lost(now) {
				f.follow(ctx, relay)
			} else {
				timer.Wait(ctx, f.interval(now))
			}
		default:
			watch.stop()
			if relay, ok := f.next(now, choice); ok {
				f.follow(ctx, relay)
			} else {
				f.invalidate()
				timer.Wait(ctx, f.interval(now))
			}
		}
	}
	return ctx.Err()
}

// lost reports whether this process, a relay, can't confirm its histories at the store. It
// then reads from another relay and refuses the queries of others.
func (f *Feed) lost(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		if v.Strict && !v.serves(now) {
			return !f.starting(now)
		}
	}
	return false
}

// relayTask runs the watches of a relay.
type relayTask struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// start starts the watches unless they run.
func (t *relayTask) start(ctx context.Context, f *Feed) {
	if t.cancel != nil {
		return
	}
	ctx, t.cancel = context.WithCancel(ctx)
	done := make(chan struct{})
	t.done = done
	go func() {
		defer close(done)
		f.watchAll(ctx)
	}()
}

// stop ends the watches and waits for their end.
func (t *relayTask) stop() {
	if t.cancel == nil {
		return
	}
	t.cancel()
	<-t.done
	t.cancel = nil
}

// setRole sets whether relays are in use and whether this process is one.
func (f *Feed) setRole(active, relaying bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view("")
	if f.active == active && f.relaying == relaying {
		return
	}
	f.active, f.relaying = active, relaying
	if relaying {
		f.source = ownSource
	}
	f.announce()
	f.Log.Info("reading of the store's objects", zap.Bool("ThroughRelays", active), zap.Bool("Relay", relaying))
}

// interval returns how long to wait before looking for relays again.
func (f *Feed) interval(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.starting(now) {
		return startTick
	}
	return chooseInterval
}

// next returns the relay to ask: the one that was asked last if it can still be, else the
// first that can.
func (f *Feed) next(now time.Time, choice Choice) (Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first Process
	for _, p := range choice.Relays {
		if now.Before(f.avoided[p.Name]) {
			continue
		}
		if p.Name == f.source {
			return p, true
		}
		if first.Name == "" {
			first = p
		}
	}
	return first, first.Name != ""
}

// invalidate makes the followers call the store.
func (f *Feed) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := false
	for _, v := range f.views {
		ended = ended || !v.validUntil.IsZero()
		v.validUntil = time.Time{}
	}
	if ended {
		f.announce()
	}
}

// errRefused means that a relay has no current view.
var errRefused = errors.New("the relay has no current view")

// follow makes one call to a relay. After a failure the next relay is tried; the histories
// count as current until that has failed too.
func (f *Feed) follow(ctx context.Context, relay Process) {
	query, timeout := f.query(relay)
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	answer, err := f.Caller.Changes(callCtx, relay.Address, query)
	cancel()
	changed := false
	if err == nil {
		f.recordReport(time.Now(), relay, answer)
		changed, err = f.apply(began, relay, query, answer)
	}
	switch {
	case ctx.Err() != nil:
	case err != nil:
		f.avoid(time.Now(), relay, err)
	case changed && f.complete(time.Now()):
		timer.Wait(ctx, pollPause)
	default:
		// A relay that answers at once without changes must not be asked in a loop.
		timer.Wait(ctx, max(minPoll-time.Since(began), 0))
	}
}

// complete reports whether the histories of all kinds are current.
func (f *Feed) complete(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		if !v.current(now) {
			return false
		}
	}
	return true
}

// minPoll is the least time between two calls to a relay.
const minPoll = 100 * time.Millisecond

// query returns the next query to a relay and how long to wait for its answer. A relay that
// was not asked last confirms the histories at once.
func (f *Feed) query(relay Process) (*wire.FeedQuery, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q, timeout := &wire.FeedQuery{}, tryTimeout
	if f.source == relay.Name {
		q.WaitMs, timeout = maxHold.Milliseconds(), maxHold+pollSlack
	}
	now, lists, current := time.Now(), false, false
	for _, k := range f.Kinds {
		v := f.views[k.Name]
		q.Positions = append(q.Positions, &wire.FeedPosition{Kind: k.Name, List: !v.listed, After: v.revision})
		lists, current = lists || !v.listed, current || v.current(now)
	}
	switch {
	case lists && current:
		timeout = max(timeout, pollSlack)
	case lists:
		timeout = max(timeout, listSlack)
	}
	return q, timeout
}

// apply takes over an answer of a relay and reports whether anything changed.
func (f *Feed) apply(began time.Time, relay Process, q *wire.FeedQuery, answer *wire.FeedAnswer) (bool, error) {
	if answer.Refused || len(answer.Parts) != len(q.Positions) {
		return false, errRefused
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, lost := false, false
	for _, part := range answer.Parts {
		v := f.views[part.Kind]
		if v == nil {
			return false, fmt.Errorf("relay %s: unknown kind", relay.Name)
		}
		if part.Refused {
			lost = lost || v.current(now)
			v.validUntil = time.Time{}
			continue
		}
		news, err := f.applyPart(now, v, part)
		if err != nil {
			return false, fmt.Errorf("relay %s, %s: %w", relay.Name, part.Kind, err)
		}
		changed, lost = changed || news, lost || !v.current(now)
		if at := began.Add(-maxStale); at.After(v.confirmed) {
			v.confirmed = at
		}
		v.validUntil = now.Add(followValid)
	}
	f.source = relay.Name
	if changed || lost {
		f.announce()
	}
	return changed, nil
}

// followValid is longer than the time between two answers of relays. A failure of both ends
// it earlier.
const followValid = pollPause + maxHold + pollSlack + listSlack + time.Second

// applyPart takes over the objects of one kind. The caller must hold mu.
func (f *Feed) applyPart(now time.Time, v *view, part *wire.FeedPart) (bool, error) {
	page := store.Page{Revision: part.Revision, Objects: decodeObjects(part.Objects)}
	if part.Outage {
		f.Health.RecordOutage(decodeOutage(part, now))
	}
	if part.Listed {
		return v.replace(now, page)
	}
	if !v.listed {
		return false, errOlder
	}
	return v.update(now, page)
}

// avoid records that a relay failed. Without another one the followers call the store.
func (f *Feed) avoid(now time.Time, relay Process, err error) {
	pause := avoidFailed
	if errors.Is(err, errRefused) {
		pause = avoidRefused
	}
	f.Meters.Add(RelayFailed, 1)
	f.mu.Lock()
	if f.starting(now) && errors.Is(err, errRefused) {
		// It has started too and has listed nothing yet.
		pause = startTick
	}
	f.avoided[relay.Name] = now.Add(pause)
	f.mu.Unlock()
	f.Log.Info("relay failed", zap.String("Peer", relay.Name), zap.Duration("Pause", pause), zap.Error(err))
	choice := f.Choose()
	f.mu.Lock()
	f.allFail(now, choice.Relays)
	f.mu.Unlock()
	if _, ok := f.next(now, choice); !ok {
		f.invalidate()
	}
}
