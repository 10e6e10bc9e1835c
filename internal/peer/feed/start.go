package feed

import (
	"context"
	"math/rand/v2"
	"time"
)

// When a process starts, and all may start together, it first lists the processes, from the
// store, and then waits for a relay to have the other kinds. A relay that has just started
// as well lists them meanwhile.
const (
	// firstDelay and firstSpread are the mean pause before the processes are listed and its
	// spread. Others that start at the same time have written their entries by then.
	firstDelay  = 90 * time.Millisecond
	firstSpread = 40 * time.Millisecond
	// startWithout is the mean time that a process waits if it knows of no relays, startWith
	// that for a relay's objects. Both are spread by startSpread.
	startWithout = 200 * time.Millisecond
	startWith    = 400 * time.Millisecond
	startSpread  = 60 * time.Millisecond
	// startTick is the interval at which a process that starts looks for relays.
	startTick = 20 * time.Millisecond
	// Young is how long after its start a process takes others whose status messages have
	// not arrived yet to be live.
	Young = 10 * time.Second
)

// awaitStart waits, when the process starts, until the objects of a kind can be had from a
// relay, or until it does not make sense to wait longer. watch is set if the objects have
// been listed: their changes are awaited at the store unless there are relays.
func (f *Feed) awaitStart(ctx context.Context, v *view, watch bool) error {
	spread := rand.N(startSpread) - startSpread/2
	f.mu.Lock()
	starts := f.started.IsZero() || f.starting(time.Now())
	f.mu.Unlock()
	if watch && starts {
		// What was listed may have the relays.
		f.lookForRelays()
	}
	for {
		f.mu.Lock()
		now := time.Now()
		if f.started.IsZero() {
			f.started = now
		}
		until := f.started.Add(startWithout + spread)
		switch {
		case v.First && !watch:
			until = f.started.Add(firstDelay + spread*firstSpread/startSpread)
		case f.active:
			until = f.started.Add(startWith + spread)
		case watch:
			until = now
		}
		news, done := f.news, v.current(now) || !now.Before(until)
		f.mu.Unlock()
		if done {
			return nil
		}
		if err := waitFor(ctx, news, min(until.Sub(now), startTick)); err != nil {
			return err
		}
	}
}

// lookForRelays finds out whether relays are in use before Run does.
func (f *Feed) lookForRelays() {
	active := f.Choose().Active
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = f.active || active
}

// starting reports whether the process has just started. The caller must hold mu.
func (f *Feed) starting(now time.Time) bool {
	return now.Sub(f.started) < startWith+startSpread
}
