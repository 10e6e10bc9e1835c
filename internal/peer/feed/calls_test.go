//go:build !race

// The race detector of Go 1.26 ends itself with a failed check of its own (tsan_rtl.cpp:346)
// in bubbles with this many goroutines. .ci/run runs this file without it; the other tests
// of the package run the same code with it.

package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// load changes backend servers and, now and then, the configuration for a minute.
func (w *world) load() {
	for i := range 180 {
		w.store.put(fmt.Sprintf("servers/s%02d", rand.N(50)), fmt.Sprintf("%0220d", i))
		if i%30 == 29 {
			w.store.put("config/main", fmt.Sprint(i))
		}
		time.Sleep(time.Minute / 180)
	}
}

// TestCallsOfAMinute plays one minute with three changes a second and guards against calls
// to the store that grow with the processes instead of with the relays.
func TestCallsOfAMinute(t *testing.T) {
	for _, c := range []struct{ processes, zones, relays int }{
		{72, 4, 0}, {72, 4, 1}, {72, 4, 2}, {117, 3, 0}, {117, 3, 1}, {117, 3, 2}, {300, 4, 0}, {300, 4, 2},
	} {
		t.Run(fmt.Sprintf("%d processes, %d relays", c.processes, c.relays), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.processes, c.zones, c.relays)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				w.start(ctx)
				time.Sleep(2 * time.Second)
				atStart := w.store.count()
				var ready time.Duration
				for _, p := range w.list {
					for _, v := range p.views {
						ready = max(ready, v.listedAt().Sub(began))
					}
				}
				w.mu.Lock()
				w.bytes = 0
				w.mu.Unlock()
				w.load()
				calls := w.store.count() - atStart
				t.Logf("calls at start %d, ready after %v, calls of the minute %d (%.1f/s), %.0f B/s between processes", atStart, ready, calls, float64(calls)/60, float64(w.bytes)/60)
				if c.relays > 0 {
					relays := c.relays * c.zones
					assert.LessOrEqual(t, calls, relays*callsPerRelay+3*c.processes, "three calls of each process were under way to the store")
					assert.LessOrEqual(t, atStart, 3*c.processes+relays*2*len(kinds))
					assert.Less(t, ready, 500*time.Millisecond)
				}
				for _, p := range w.list {
					for kind, v := range p.views {
						assert.Zero(t, v.back, "%s: %s went back", p.Name, kind)
					}
				}
				cancel()
				w.end()
			})
		})
	}
}

// callsPerRelay bounds the calls of a relay in a minute: those of two strict kinds follow
// each other after watchPause or strictWait, those of three others, without changes, after
// looseWait.
const callsPerRelay = 2*int(time.Minute/watchPause) + 3*int(time.Minute/looseWait+1)
