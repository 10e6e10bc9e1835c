package broker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/quota"
)

// TestSilentServersAloneAreNoCut checks that requests stay here while any server of the
// service, or of the version, accepts connections, and that a stalled server is probed by a
// connection and not given up if it accepts one.
func TestSilentServersAloneAreNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, h := newCutFixture(t, map[string]peerBehavior{"p1": servedBy(newFixture(t))})
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = f.Reconnect(ctx) })
		f.fleet.mu.Lock()
		f.fleet.down = map[string]bool{"a": true, "d": true}
		f.fleet.fallback = succeeds
		f.fleet.mu.Unlock()
		time.Sleep(2 * (reconnectInterval + reconnectPause))
		assert.Equal(t, []string{"model"}, f.Lost())
		assert.Equal(t, 200, f.serve(t.Context(), newRequest("/read/x")).replies[0].Status)
		assert.Empty(t, h.used)

		server, _ := f.roster.Find("b", 1)
		f.Usage.Start(time.Now(), server, usage.Short)
		time.Sleep(usage.StallThreshold + 2*reconnectInterval)
		assert.True(t, f.Usage.Get(time.Now(), server).Stalled)
		assert.False(t, f.Usage.Get(time.Now(), server).Undialable, "it accepts connections")
		assert.Equal(t, []string{"model"}, f.Lost())
		f.fleet.mu.Lock()
		f.fleet.cutOff = map[string]bool{"b": true}
		f.fleet.mu.Unlock()
		time.Sleep(probePause + 2*reconnectInterval)
		assert.Equal(t, []string{"model", "plain"}, f.Lost(), "it is silent and accepts none")
		f.fleet.mu.Lock()
		f.fleet.down, f.fleet.cutOff = nil, nil
		f.fleet.mu.Unlock()
		time.Sleep(2 * (reconnectInterval + reconnectPause))
		assert.Empty(t, f.Lost(), "the links are healed")
		cancel()
		tasks.Wait()
	})
}

// TestFirstRequestsOfACutAreServed checks the requests with which a cut is noticed: no dial
// succeeds, a kept connection answers no more, or a stream breaks off.
func TestFirstRequestsOfACutAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newFixture(t)
		peer.addVersion("d", "v1")
		f := newFixture(t)
		f.addVersion("d", "v1")
		f.addVersion("e", "v1")
		f.Carrier = &hops{names: []string{"p1"}, behaviors: map[string]peerBehavior{"p1": servedBy(peer)}}
		f.fleet.down = map[string]bool{"a": true, "b": true, "d": true, "e": true}
		f.fleet.fallback = unreachable
		f.fleet.scripted["a"] = []behavior{hangs}
		ctx, cancel := context.WithCancel(t.Context())
		var tasks sync.WaitGroup
		tasks.Go(func() { _ = f.Reconnect(ctx) })
		tasks.Go(func() { f.tick(ctx) })
		c := f.serve(t.Context(), newRequest("/read/x"))
		assert.Equal(t, 200, c.replies[0].Status, "a kept connection hangs")
		assert.Equal(t, 200, f.serve(t.Context(), newRequest("/write/x")).replies[0].Status, "no dial succeeds")

		peer.fleet.scripted["d"] = []behavior{events(3, 4, true)}
		first := true
		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			if !first {
				return unreachable(ctx, s)
			}
			first = false
			return events(1, 2, false)(ctx, s)
		}
		for _, id := range []string{"d", "e"} {
			f.Usage.MarkReachable(time.Now(), usage.Incarnation{ID: id, Born: 1})
		}
		c = f.serve(t.Context(), newPromptRequest("/talk/x", 100, 5))
		assert.True(t, c.ended, "a stream breaks off")
		assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", c.events.String())
		cancel()
		tasks.Wait()
	})
}

// TestPrefillEnginesAloneDoNotServe checks prompts of a process that reaches the prefill
// engines of a service but no decode engine, and the other way round.
func TestPrefillEnginesAloneDoNotServe(t *testing.T) {
	for _, c := range []struct {
		lost    string
		carried int
	}{{"d", 1}, {"p", 0}} {
		synctest.Test(t, func(t *testing.T) {
			peer := newFixture(t)
			peer.addVersion("d", "v1")
			peer.fleet.scripted["d"] = []behavior{events(1, 2, true)}
			f, h := newCutFixture(t, map[string]peerBehavior{"p1": servedBy(peer)})
			f.addServer("p", "model", roster.Prefill)
			f.fleet.fallback = events(1, 2, true)
			for _, i := range f.Usage.Undialable() {
				f.Usage.MarkReachable(time.Now(), i)
			}
			server, _ := f.roster.Find(c.lost, 1)
			f.Usage.MarkUnreachable(time.Now(), server)
			got := f.serve(t.Context(), newPromptRequest("/chat/x", 9000, 5))
			assert.True(t, got.ended)
			assert.Len(t, h.used, c.carried)
			assert.Equal(t, c.carried == 0, len(f.fleet.sent) > 0, "no prompt is prefilled in vain")
		})
	}
}

// TestOwnLimitOfConnectionsIsNoCut checks a process that has as many connections to all
// servers as it may: peers get none of its requests.
func TestOwnLimitOfConnectionsIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.RetryLimit = quota.Limit{Window: time.Second}
		for i := range maxDialFailures + 1 {
			f.addServer(fmt.Sprint("s", i), "plain", "")
		}
		h := &hops{names: []string{"p1"}, behaviors: map[string]peerBehavior{"p1": servedBy(newFixture(t))}}
		f.Carrier = h
		f.fleet.fallback = func(_ context.Context, s *sent) (*Response, error) {
			s.lost = true
			return nil, &call.Error{Stage: call.StageDialing, Err: call.ErrBusy}
		}
		assert.Equal(t, 503, f.serve(t.Context(), newRequest("/write/x")).replies[0].Status)
		assert.Empty(t, h.used)
		assert.Empty(t, f.Lost())
	})
}
