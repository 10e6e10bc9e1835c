package broker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// newFailingFixture returns a fixture that can connect to a alone of three plain servers, at
// which respond applies, and its peers.
func newFailingFixture(t *testing.T, respond behavior, names ...string) (*fixture, *hops) {
	f, h := newFixture(t), &hops{names: names, behaviors: map[string]peerBehavior{}}
	for _, name := range names {
		h.behaviors[name] = servedBy(newFixture(t))
	}
	f.Carrier = h
	f.addServer("c", "plain", "")
	f.fleet.down = map[string]bool{"b": true, "c": true}
	f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
		if s.server != "a" {
			return unreachable(ctx, s)
		}
		return respond(ctx, s)
	}
	return f, h
}

// run calls Reconnect and Tick until stop is called.
func (f *fixture) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = f.Reconnect(ctx) })
	tasks.Go(func() { f.tick(ctx) })
	return func() { cancel(); tasks.Wait() }
}

// sendFor sends 20 requests a second for the time, every second one repeatable, and returns how
// many were not served.
func (f *fixture) sendFor(t *testing.T, d time.Duration) (failed int) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range int(d / (50 * time.Millisecond)) {
		clients.Go(func() {
			r := newRequest([]string{"/read/x", "/write/x"}[i%2])
			r.ID = fmt.Sprint("r", time.Now().UnixNano())
			if c := f.serve(t.Context(), r); len(c.replies) != 1 || c.replies[0].Status != 200 {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	return failed
}

// TestServerThatDoesNotRespondIsTriedOnceASecond guards against requests that are lost at the
// only server that accepts connections: it gets one request a second, which may run twice,
// until it responds again.
func TestServerThatDoesNotRespondIsTriedOnceASecond(t *testing.T) {
	reset := func(_ context.Context, s *sent) (*Response, error) {
		return nil, &call.Error{Stage: call.StageReading, Err: errReset}
	}
	for name, respond := range map[string]behavior{"silent": hangs, "closes": reset, "unverified": unverified, "replaced": replaced} {
		synctest.Test(t, func(t *testing.T) {
			f, h := newFailingFixture(t, respond, "p1")
			stop := f.run(t)
			f.sendFor(t, 2*time.Second)
			assert.Equal(t, []string{"plain"}, f.Lost(), name)
			f.fleet.mu.Lock()
			f.fleet.sent = nil
			f.fleet.mu.Unlock()
			assert.Zero(t, f.sendFor(t, 10*time.Second), name)
			last := time.Time{}
			for _, s := range f.fleet.sent {
				assert.Equal(t, "a", s.server, name)
				assert.True(t, strings.HasPrefix(s.call.Request.Path, "/read/"), name)
				assert.GreaterOrEqual(t, s.at.Sub(last), time.Second, name)
				last = s.at
			}
			assert.GreaterOrEqual(t, len(f.fleet.sent), 8, name)

			f.fleet.mu.Lock()
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				if s.server != "a" {
					return unreachable(ctx, s)
				}
				return succeeds(ctx, s)
			}
			f.fleet.mu.Unlock()
			assert.Zero(t, f.sendFor(t, 2*time.Second), name)
			handed := len(h.used)
			assert.Zero(t, f.sendFor(t, 2*time.Second), name)
			assert.Len(t, h.used, handed, "it responds: %s", name)
			assert.Empty(t, f.Lost(), name)
			stop()
		})
	}
}

// TestFailedRequestMovesToPeer guards against requests that end at a server that fails though
// they may run elsewhere, and against ones that run twice.
func TestFailedRequestMovesToPeer(t *testing.T) {
	for _, c := range []struct {
		name, path string
		respond    behavior
		status     int
	}{
		{"may run twice", "/read/x", losesResponse, 200},
		{"has not run", "/write/x", replaced, 200},
		{"may have run", "/write/x", losesResponse, 502},
		{"no attempt left", "/once/x", unverified, 502},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, _ := newFailingFixture(t, c.respond, "p1")
			stop := f.run(t)
			for _, s := range f.roster.Service("plain") {
				if s.ID != "a" {
					f.Usage.MarkUnreachable(time.Now(), s)
				}
			}
			time.Sleep(2 * reconnectInterval)
			for range 2 {
				assert.Equal(t, c.status, f.serve(t.Context(), newRequest(c.path)).replies[0].Status, c.name)
			}
			stop()
		})
	}
}

// TestRequestsForServerThatDoesNotRespond guards against requests that are sent there though a
// peer would serve them: only a repeatable one may be, and one that has waited for a permit
// gives that up once.
func TestRequestsForServerThatDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFailingFixture(t, unverified, "p1")
		stop := f.run(t)
		f.sendFor(t, time.Second)
		server, _ := f.roster.Find("a", 1)
		newJob := func(kind table.Kind) *job {
			return &job{broker: f.Broker, ctx: t.Context(), route: &table.Route{Kind: kind, Attempts: 2}, service: table.Service{Name: "plain"}}
		}
		j := newJob(table.AtMostOnce)
		time.Sleep(2 * time.Second)
		assert.False(t, j.tryAgain(), "it must not run twice")
		assert.True(t, j.leaves(&permit{server: server}))
		assert.False(t, j.leaves(&permit{server: server}), "no peer has taken it")
		j = newJob(table.AtMostOnce)
		j.recordOutcome(retry.Unknown)
		assert.False(t, j.leaves(&permit{server: server}), "it may have run")
		j = newJob(table.Idempotent)
		assert.True(t, j.tryAgain())
		assert.Equal(t, map[string]bool{"b": true, "c": true}, j.excluded)
		assert.False(t, j.leaves(&permit{server: server}), "it tries the server")
		j.endProbe()
		assert.Empty(t, j.excluded)
		assert.False(t, newJob(table.Idempotent).tryAgain(), "one was sent within a second")
		stop()
	})
}
