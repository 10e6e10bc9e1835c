package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStartOfAllProcesses guards against processes that all list from the store, or wait long
// for a relay, when the whole system starts: with the entries of the time before, without
// any, and beside relays that run.
func TestStartOfAllProcesses(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh bool
		wait  time.Duration
		// relayed is how many list from a relay at least. The 8 relays list from the store, and
		// one after another also those that take processes for relays that do not run yet.
		relayed int
	}{{"at once", false, 0, 60}, {"without entries", true, 0, 60}, {"one after another", false, 200 * time.Millisecond, 36}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 72, 4, 2)
				w.fresh = c.fresh
				ctx, cancel := context.WithCancel(t.Context())
				relayed, lists, starts := 0, int64(0), map[*process]time.Time{}
				var latest time.Duration
				for _, p := range w.list {
					began := time.Now()
					w.run(ctx, p)
					starts[p] = began
					time.Sleep(c.wait)
				}
				time.Sleep(time.Second)
				for _, p := range w.list {
					lists += p.meters.Value(FromStore)
					if p.meters.Value(FromRelay) >= int64(len(kinds)-1) {
						relayed++
					}
				}
				for _, p := range w.list {
					for _, v := range p.views {
						assert.False(t, v.listedAt().IsZero(), p.Name)
						latest = max(latest, v.listedAt().Sub(starts[p]))
					}
				}
				t.Logf("%d of 72 listed from a relay, %d calls, ready after %v", relayed, lists, latest)
				assert.GreaterOrEqual(t, relayed, c.relayed)
				assert.Less(t, latest, 500*time.Millisecond)
				cancel()
				w.end()
			})
		})
	}
}
