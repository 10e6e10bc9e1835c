//go:build !race

// As for calls_test.go, there are too many goroutines for the race detector.

package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// failures are the single failures of a relay, each as it happens to the first of zone z0.
// It returns the process that cannot learn of changes meanwhile, if any.
var failures = []struct {
	name string
	do   func(w *world, relay *process) (excepted *process)
}{
	{"none", func(*world, *process) *process { return nil }},
	{"relay killed", func(w *world, p *process) *process { w.kill(p); return p }},
	{"relay paused", func(w *world, p *process) *process { w.freeze(p, 20*time.Second); return p }},
	{"relay paused for a second", func(w *world, p *process) *process { w.freeze(p, time.Second); return nil }},
	{"relay cut from the store", func(w *world, p *process) *process {
		p.link.set(true, time.Time{})
		if w.relays > 1 {
			return nil
		}
		return p
	}},
	{"all relays of the zone killed", func(w *world, _ *process) *process {
		for _, p := range w.relaysOf("z0") {
			w.kill(p)
		}
		return nil
	}},
	{"all relays killed", func(w *world, _ *process) *process {
		for _, p := range append(w.relaysOf("z0"), w.relaysOf("z1")...) {
			w.kill(p)
		}
		return nil
	}},
	{"relay has lost its history", func(w *world, p *process) *process {
		p.feed.mu.Lock()
		for _, v := range p.feed.views {
			v.base, v.changes, v.history.bytes = v.revision, nil, 0
		}
		p.feed.mu.Unlock()
		return nil
	}},
	{"the store forgets its changes", func(w *world, _ *process) *process {
		w.store.mu.Lock()
		w.store.forgotten = w.store.revision
		w.store.mu.Unlock()
		return nil
	}},
	{"the store's responses to a relay are slow", func(w *world, p *process) *process {
		p.link.set(false, time.Now().Add(700*time.Millisecond))
		return nil
	}},
}

// TestChangesArriveInTime guards against a backend server that leaves, or a configuration,
// that reaches a process later than within 3 s because of one failure, at whatever time of
// the polls it comes.
func TestChangesArriveInTime(t *testing.T) {
	for _, relays := range []int{1, 2} {
		for _, f := range failures {
			t.Run(fmt.Sprintf("%s, %d relays", f.name, relays), func(t *testing.T) {
				var worst time.Duration
				for _, offset := range []time.Duration{-1200, -600, -480, -300, -50, 0, 50, 400, 900, 1400, 1700, 2500} {
					play(t, relays, func(t *testing.T, w *world) {
						worst = max(worst, w.changeAround(t, offset*time.Millisecond, f.do))
					})
				}
				t.Logf("%s: latest after %v", t.Name(), worst)
			})
		}
	}
}

// changeAround removes a backend server and changes the configuration at a time after a
// failure, before it if negative. It returns when the last process had both.
func (w *world) changeAround(t *testing.T, offset time.Duration, fail func(*world, *process) *process) time.Duration {
	relay := w.relaysOf("z0")[0]
	// Earlier changes make the polls of the processes pause.
	w.store.put("servers/s01", "busy")
	time.Sleep(200 * time.Millisecond)
	var excepted *process
	if offset >= 0 {
		excepted = fail(w, relay)
		time.Sleep(offset)
	}
	changed := time.Now()
	w.store.put("servers/s00", "")
	w.store.put("config/main", "next")
	if offset < 0 {
		time.Sleep(-offset)
		excepted = fail(w, relay)
	}
	time.Sleep(2 * leaveWithin)
	var took time.Duration
	for _, p := range w.list {
		if p == excepted || !p.killed.IsZero() {
			continue
		}
		left, ok := p.views["servers"].has("servers/s00", "")
		active, okToo := p.views["config"].has("config/main", "next")
		took = max(took, left.Sub(changed), active.Sub(changed))
		assert.True(t, ok && okToo && took <= leaveWithin, "%s: changed %v after the failure, %v", p.Name, offset, took)
	}
	return took
}
