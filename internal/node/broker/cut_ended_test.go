package broker

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestCutIsNoEndOfServers checks that a process whose links to all servers are cut does not
// hold the requests that broke off against their contents, unless no peer reaches a server
// either.
func TestCutIsNoEndOfServers(t *testing.T) {
	for _, c := range []struct {
		name  string
		down  []string
		peers []string
		want  int
	}{
		{"one server has ended", []string{"a"}, []string{"p1"}, 1},
		{"the links are cut", []string{"a", "b"}, []string{"p1"}, 0},
		{"all servers have ended", []string{"a", "b"}, nil, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			q := &quarantineList{}
			f.Quarantine = q
			f.Carrier = &hops{names: c.peers, behaviors: map[string]peerBehavior{"p1": servedBy(newFixture(t))}}
			f.fleet.down = map[string]bool{}
			f.fleet.fallback = unreachable
			f.fleet.scripted["a"] = []behavior{breaksOff}
			for _, id := range c.down {
				f.fleet.down[id] = true
			}
			if len(c.down) == 1 {
				f.fleet.fallback = succeeds
			}
			f.leave("b")
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			tasks.Go(func() { _ = f.Reconnect(ctx) })
			tasks.Go(func() { f.tick(ctx) })
			f.serve(t.Context(), newRequest("/write/x"))
			f.addServer("c", "plain", "")
			f.fleet.mu.Lock()
			f.fleet.down["c"] = f.fleet.down["b"]
			f.fleet.mu.Unlock()
			for range 3 {
				f.serve(t.Context(), newRequest("/write/x"))
			}
			time.Sleep(time.Second)
			f.mu.Lock()
			assert.Len(t, q.crashedContents, c.want, c.name)
			f.mu.Unlock()
			cancel()
			tasks.Wait()
		})
	}
}
