package broker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// peerBehavior is how a peer treats a request that is handed to it.
type peerBehavior func(ctx context.Context, c Carried, out Relay) error

// hops is the peers of a test. It implements Carrier.
type hops struct {
	mu sync.Mutex
	// names has the peers in the order in which they are chosen.
	names     []string
	behaviors map[string]peerBehavior
	carried   []Carried
	used      []string
}

func (h *hops) Choose(_ string, excluded map[string]bool) string {
	for _, name := range h.names {
		if !excluded[name] {
			return name
		}
	}
	return ""
}

func (h *hops) Carry(ctx context.Context, peer string, c Carried, out Relay) error {
	h.mu.Lock()
	h.carried, h.used = append(h.carried, c), append(h.used, peer)
	h.mu.Unlock()
	return h.behaviors[peer](ctx, c, out)
}

// memoryHop is the output of a peer's broker. It relays without a network.
type memoryHop struct {
	Relay
	refused *CarryError
}

func (m *memoryHop) Refuse(outcome retry.Outcome, reason Reason, attempts int) error {
	m.refused = &CarryError{Outcome: outcome, Reason: reason, Attempts: attempts}
	return nil
}

// servedBy returns the behavior of a peer that serves with the fixture.
func servedBy(f *fixture) peerBehavior {
	return func(ctx context.Context, c Carried, out Relay) error {
		m := &memoryHop{Relay: out}
		f.ServeCarried(ctx, c, m)
		if m.refused != nil {
			return m.refused
		}
		return nil
	}
}

// breaksHop returns the behavior of a peer whose hop breaks.
func breaksHop(outcome retry.Outcome) peerBehavior {
	return func(context.Context, Carried, Relay) error {
		return &CarryError{Outcome: outcome, Err: errReset}
	}
}

// breaksStream returns the behavior of a peer that breaks off after so many events.
func breaksStream(count int) peerBehavior {
	return func(_ context.Context, _ Carried, out Relay) error {
		out.Bind("v1", 1)
		_ = out.Begin(200, []call.Field{{Name: "X-Seal", Value: "s"}})
		for i := 1; i <= count; i++ {
			_ = out.Event(fmt.Appendf(nil, "id: %d\ndata: x\n\n", i))
		}
		return &CarryError{Outcome: retry.Unknown, Err: errReset}
	}
}

// newCutFixture returns a fixture that can connect to no backend server, and its peers.
func newCutFixture(t *testing.T, peers map[string]peerBehavior) (*fixture, *hops) {
	f := newFixture(t)
	h := &hops{behaviors: peers}
	for name := range peers {
		h.names = append(h.names, name)
	}
	slices.Sort(h.names)
	f.Carrier = h
	f.addVersion("d", "v1")
	f.fleet.fallback = unreachable
	f.cutAll()
	return f, h
}

// cutAll records that no backend server can be connected to.
func (f *fixture) cutAll() {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	f.fleet.down = map[string]bool{}
	for _, service := range []string{"plain", "model"} {
		for _, s := range f.roster.Service(service) {
			f.fleet.down[s.ID] = true
			f.Usage.MarkUnreachable(time.Now(), s)
		}
	}
	f.undialable.Store(int64(len(f.Usage.Undialable())))
}

// TestCutProcessServesThroughPeer checks that whole responses and streams come through
// a peer, with nothing sent to backend servers from here, and that a peer whose process is
// cut off too refuses without carrying on.
func TestCutProcessServesThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer, cut := newFixture(t), newFixture(t)
		peer.addVersion("d", "v1")
		peer.fleet.scripted["d"] = []behavior{events(1, 3, true)}
		cut.addVersion("d", "v1")
		cut.Carrier = &hops{}
		cut.cutAll()
		f, h := newCutFixture(t, map[string]peerBehavior{"p1": servedBy(cut), "p2": servedBy(peer)})
		for _, path := range []string{"/read/x", "/write/x", "/once/x"} {
			c := f.serve(t.Context(), newRequest(path))
			assert.Equal(t, 200, c.replies[0].Status, path)
			assert.Equal(t, "ok r1", string(c.replies[0].Body))
			assert.Equal(t, []call.Field{{Name: "X-Seal", Value: "s"}}, c.replies[0].Fields)
		}
		c := f.serve(t.Context(), newPromptRequest("/chat/x", 100, 5))
		assert.True(t, c.ended)
		assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", c.events.String())
		assert.Empty(t, f.fleet.sent, "nothing is sent from here")
		assert.Empty(t, cut.fleet.sent)
		assert.Equal(t, []string{"p1", "p2", "p1", "p2", "p1", "p2", "p1", "p2"}, h.used)
	})
}

// TestPeerFoundNoServerKeepsNotRun checks that requests refused by all peers are refused as
// not run, and that a circle of processes that are all cut off ends.
func TestPeerFoundNoServerKeepsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newCutFixture(t, nil)
		b, _ := newCutFixture(t, map[string]peerBehavior{"a": servedBy(a)})
		a.Carrier = &hops{names: []string{"b"}, behaviors: map[string]peerBehavior{"b": servedBy(b)}}
		for _, f := range []*fixture{a, b} {
			c := f.serve(t.Context(), newRequest("/write/x"))
			assert.Equal(t, 503, c.replies[0].Status)
			assert.Positive(t, c.replies[0].RetryAfter)
		}
		assert.Zero(t, a.fleet.runs()+b.fleet.runs())
	})
}

// TestLastPeerIsKnown checks that a hop says whether another peer is left: if not, giving up
// on a slow one loses the request.
func TestLastPeerIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for count, want := range [][]bool{1: {true}, 2: {false, true}, MaxHops + 1: {false, false, true}} {
			if want == nil {
				continue
			}
			refusing := map[string]peerBehavior{}
			for i := range count {
				refusing[fmt.Sprint("p", i)] = breaksHop(retry.NotRun)
			}
			f, h := newCutFixture(t, refusing)
			f.serve(t.Context(), newRequest("/write/x"))
			var last []bool
			for _, c := range h.carried {
				last = append(last, c.LastPeer)
			}
			assert.Equal(t, want, last, "%d peers", count)
		}
	})
}

// TestBrokenHopRunsAtMostOnce checks what becomes of a request whose hop breaks.
func TestBrokenHopRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      peerBehavior
		limit      quota.Limit
		status     int
		peers      string
	}{
		{"before it was handed over, at most once", "/write/x", breaksHop(retry.NotRun), quota.Limit{}, 200, "[p1 p2]"},
		{"after that, at most once", "/write/x", breaksHop(retry.Unknown), quota.Limit{}, 502, "[p1]"},
		{"after it ran, at most once", "/write/x", breaksHop(retry.Run), quota.Limit{}, 502, "[p1]"},
		{"after that, idempotent", "/read/x", breaksHop(retry.Unknown), quota.Limit{}, 200, "[p1 p2]"},
		{"after that, idempotent, no retry left", "/read/x", breaksHop(retry.Unknown), quota.Limit{Window: time.Second}, 502, "[p1]"},
		{"the peer is full", "/write/x", func(context.Context, Carried, Relay) error {
			return &CarryError{Outcome: retry.NotRun, Reason: PeerFull}
		}, quota.Limit{}, 200, "[p1 p2]"},
		{"the servers are overloaded", "/write/x", func(context.Context, Carried, Relay) error {
			return &CarryError{Outcome: retry.NotRun, Reason: overloaded}
		}, quota.Limit{}, 503, "[p1]"},
		{"all attempts are used", "/read/x", func(context.Context, Carried, Relay) error {
			return &CarryError{Outcome: retry.Unknown, Reason: serverLost, Attempts: 2}
		}, quota.Limit{}, 502, "[p1]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := newFixture(t)
				f, h := newCutFixture(t, map[string]peerBehavior{"p1": c.first, "p2": servedBy(peer)})
				if c.limit.Window > 0 {
					f.RetryLimit = c.limit
				}
				got := f.serve(t.Context(), newRequest(c.path))
				assert.Equal(t, c.status, got.replies[0].Status)
				assert.Equal(t, c.peers, fmt.Sprint(h.used))
				assert.Equal(t, c.status == 503, got.replies[0].RetryAfter > 0)
			})
		})
	}
}

// TestStreamGoesOnAtAnotherPeer checks that a stream that breaks off at a peer goes on after
// its last event, bound to its version, with the attempts counted; one that must not is
// aborted.
func TestStreamGoesOnAtAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newFixture(t)
		peer.addVersion("e", "v2")
		peer.addVersion("d", "v1")
		peer.fleet.scripted["d"] = []behavior{events(3, 4, true)}
		f, h := newCutFixture(t, map[string]peerBehavior{"p1": breaksStream(2), "p2": servedBy(peer)})
		c := f.serve(t.Context(), newPromptRequest("/talk/x", 100, 5))
		assert.True(t, c.ended)
		assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n", c.events.String())
		assert.Equal(t, "d", peer.fleet.servers(), "the version that began the stream")
		assert.Equal(t, "2", peer.fleet.sent[0].call.After)
		assert.Equal(t, 1, h.carried[1].Attempts)

		c = f.serve(t.Context(), newPromptRequest("/chat/x", 100, 5))
		assert.Equal(t, 200, c.status)
		assert.False(t, c.ended, "a stream that may run once is aborted")
		assert.Equal(t, []string{"p1", "p2", "p1"}, h.used)
	})
}

// TestStreamOfPeerGoesOnHere checks that a stream goes on at the servers themselves if no
// other peer is left and the links are healed.
func TestStreamOfPeerGoesOnHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newCutFixture(t, nil)
		f.Carrier = &hops{names: []string{"p1"}, behaviors: map[string]peerBehavior{"p1": func(ctx context.Context, c Carried, out Relay) error {
			for _, i := range f.Usage.Undialable() {
				f.Usage.MarkReachable(time.Now(), i)
			}
			return breaksStream(2)(ctx, c, out)
		}}}
		f.fleet.scripted["d"] = []behavior{events(3, 3, true)}
		c := f.serve(t.Context(), newPromptRequest("/talk/x", 100, 5))
		assert.True(t, c.ended)
		assert.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", c.events.String())
	})
}

// TestClientGoneEndsCarriedRequest checks that the context of the hop ends with the client
// and with the deadline, and what the client gets.
func TestClientGoneEndsCarriedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended time.Time
		f, h := newCutFixture(t, map[string]peerBehavior{"p1": func(ctx context.Context, _ Carried, _ Relay) error {
			<-ctx.Done()
			ended = time.Now()
			return &CarryError{Outcome: retry.Unknown, Err: ctx.Err()}
		}, "p2": breaksHop(retry.Unknown)})
		began := time.Now()
		c := f.serve(t.Context(), newRequest("/read/x"))
		assert.Equal(t, time.Second, ended.Sub(began), "the deadline")
		assert.Equal(t, 504, c.replies[0].Status)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began = time.Now()
		c = f.serve(ctx, newRequest("/read/x"))
		assert.Equal(t, 100*time.Millisecond, ended.Sub(began))
		assert.Empty(t, c.replies)
		assert.Equal(t, []string{"p1", "p1"}, h.used)
	})
}

// TestCarriedRequestIsRefused checks that a peer does not serve what it would treat otherwise
// than the process that has taken the request.
func TestCarriedRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(change func(f *fixture, c *Carried)) *memoryHop {
			f := newFixture(t)
			c := Carried{Request: newRequest("/write/x"), Service: "plain", TableVersion: 3, Kind: table.AtMostOnce, MaxAttempts: 2}
			change(f, &c)
			m := &memoryHop{Relay: &carryRelay{job: &job{broker: f.Broker, out: &client{}, request: c.Request, route: &table.Route{}, table: &table.Table{}}}}
			f.ServeCarried(t.Context(), c, m)
			assert.Equal(t, m.refused == nil, len(f.fleet.sent) > 0)
			return m
		}
		assert.Nil(t, serve(func(*fixture, *Carried) {}).refused)
		assert.Nil(t, serve(func(_ *fixture, c *Carried) { c.TableVersion = 4 }).refused, "an older route that is the same")
		for want, change := range map[Reason]func(f *fixture, c *Carried){
			noConfiguration: func(_ *fixture, c *Carried) { c.TableVersion, c.Repeatable = 4, true },
			noRoute:         func(_ *fixture, c *Carried) { c.Service = "model" },
			noServer:        func(f *fixture, _ *Carried) { f.cutAll() },
			stopping: func(f *fixture, _ *Carried) {
				f.Close(time.Now().Add(-time.Second), time.Now().Add(10*time.Millisecond))
			},
		} {
			m := serve(change)
			assert.Equal(t, want, m.refused.Reason)
			assert.Equal(t, retry.NotRun, m.refused.Outcome, want)
		}
		m := serve(func(f *fixture, c *Carried) { f.Table = func() *table.Table { return nil } })
		assert.Equal(t, noConfiguration, m.refused.Reason)
	})
}

// TestCarriedRequestKeepsItsBounds checks that the attempts, the servers where it failed and
// the deadline hold at the peer.
func TestCarriedRequestKeepsItsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := newFixture(t)
		peer.fleet.scripted["b"] = []behavior{fails, fails}
		f, _ := newCutFixture(t, map[string]peerBehavior{"p1": servedBy(peer)})
		r := newRequest("/read/x")
		r.Deadline = time.Now().Add(300 * time.Millisecond)
		relay := &carryRelay{job: &job{broker: f.Broker, out: &client{}, request: r, route: &table.Route{}, table: &table.Table{}}}
		c := Carried{Request: r, Service: "plain", TableVersion: 3, Attempts: 1, Failed: []string{"a"}}
		assert.NoError(t, servedBy(peer)(t.Context(), c, relay))
		assert.Equal(t, "b", peer.fleet.servers(), "one attempt is left, not at a")
		assert.Equal(t, r.Deadline, peer.fleet.sent[0].call.Deadline)
		assert.Equal(t, 2, relay.job.attempts)
	})
}

// TestErrorOfACarrierIsUnknown checks that an error without an outcome promises nothing.
func TestErrorOfACarrierIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newCutFixture(t, map[string]peerBehavior{"p1": func(context.Context, Carried, Relay) error {
			return errors.Join(syscall.EPIPE)
		}})
		assert.Equal(t, 502, f.serve(t.Context(), newRequest("/write/x")).replies[0].Status)
	})
}

// TestWaitingRequestGoesToPeer checks a request that waits in the queue while the last server
// is lost, and one that waits too long while another server is there.
func TestWaitingRequestGoesToPeer(t *testing.T) {
	for _, lost := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.Carrier = &hops{names: []string{"p1"}, behaviors: map[string]peerBehavior{"p1": servedBy(newFixture(t))}}
			ctx, cancel := context.WithCancel(t.Context())
			var tasks sync.WaitGroup
			tasks.Go(func() { f.tick(ctx) })
			f.fleet.fallback = hangs
			for i := range 24 {
				tasks.Go(func() {
					r := newRequest("/once/x")
					r.ID = fmt.Sprint("h", i)
					f.serve(ctx, r)
				})
			}
			time.Sleep(5 * tick)
			time.AfterFunc(tick, func() {
				if lost {
					f.cutAll()
				}
			})
			c := f.serve(t.Context(), newRequest("/write/x"))
			want := map[bool]int{true: 200, false: 503}[lost]
			assert.Equal(t, want, c.replies[0].Status)
			cancel()
			tasks.Wait()
		})
	}
}
