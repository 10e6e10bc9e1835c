package broker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/auth"
	"ebonyscale.example/ebonyscale/internal/route/detail"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// state is a state of the backend servers, and what an explanation must say of a request.
type state struct {
	name, path string
	// account has the key k2; accounts are configured if it is set.
	account string
	tokens  int
	prepare func(ctx context.Context, f *fixture)
	action  detail.Action
	reason  detail.Cause
	work    detail.Work
	// notUsed has the causes for some backend servers.
	notUsed map[string]detail.Cause
	// cached is how many tokens the backend server that is used has in its KV cache.
	cached int
}

// occupy counts so many requests of this process at a backend server.
func (f *fixture) occupy(id string, requests int) {
	server, _ := f.roster.Find(id, 1)
	for range requests {
		f.Usage.Start(time.Now(), server, usage.Short)
	}
}

// addEnginePairs adds two prefill engines and two decode engines.
func (f *fixture) addEnginePairs() {
	f.fleet.fallback = events(1, 3, true)
	for _, id := range []string{"p", "q"} {
		f.addServer(id, "model", roster.Prefill)
	}
	for _, id := range []string{"d", "e"} {
		f.addServer(id, "model", roster.Decode)
	}
}

// serveOften serves so many requests at once, which wait or run at the end.
func (f *fixture) serveOften(ctx context.Context, count int) {
	for i := range count {
		r := newRequest("/read/x")
		r.ID = fmt.Sprint("w", i)
		go f.serve(ctx, r)
		// One after the other: the first that is rejected makes those behind it count as retries.
		synctest.Wait()
	}
	// With CostToCallers an arrival precedes equal waiters that came less than waitSlack before.
	time.Sleep(waitSlack + 10*time.Millisecond)
}

var states = []state{
	{name: "idle", path: "/read/x", action: detail.Send, work: detail.Plain, prepare: func(context.Context, *fixture) {}},
	{
		name: "one server full", path: "/read/x", action: detail.Send, notUsed: map[string]detail.Cause{"a": "Full", "b": ""},
		prepare: func(_ context.Context, f *fixture) { f.occupy("a", 12) },
	},
	{
		name: "one server paused", path: "/read/x", action: detail.Send, notUsed: map[string]detail.Cause{"a": detail.Paused, "b": ""},
		prepare: func(_ context.Context, f *fixture) {
			a, _ := f.roster.Find("a", 1)
			f.Notice(a, Notice{Pause: time.Minute})
		},
	},
	{
		name: "one server leaving", path: "/read/x", action: detail.Send, notUsed: map[string]detail.Cause{"a": detail.Leaving, "b": ""},
		prepare: func(_ context.Context, f *fixture) { f.leave("a") },
	},
	{
		name: "one server unreachable", path: "/read/x", action: detail.Send, notUsed: map[string]detail.Cause{"a": detail.Unreachable, "b": ""},
		prepare: func(_ context.Context, f *fixture) {
			a, _ := f.roster.Find("a", 1)
			f.Usage.MarkUnreachable(time.Now(), a)
		},
	},
	{
		name: "random pair of many processes", path: "/read/x", action: detail.Send,
		prepare: func(_ context.Context, f *fixture) {
			f.Peers = noPeers{processes: peers.MaxFresh + 1}
			for i := range 9 {
				f.addServer(fmt.Sprint("s", i), "plain", "")
			}
		},
	},
	{
		name: "long stream by predicted gaps", path: "/chat/x", tokens: 100, action: detail.Send, work: detail.DecodeLong,
		notUsed: map[string]detail.Cause{"d": detail.NotBest, "e": ""},
		prepare: func(_ context.Context, f *fixture) {
			f.addEnginePairs()
			f.routeHolds = map[string]routeHold{"chat": {mean: 1}}
			f.hearGaps("d", 200*time.Millisecond)
			f.hearGaps("e", 80*time.Millisecond)
		},
	},
	{
		name: "all busy", path: "/read/x", action: detail.Wait, reason: detail.NoPermit, notUsed: map[string]detail.Cause{"a": "Full", "b": "Full"},
		prepare: func(_ context.Context, f *fixture) {
			f.occupy("a", 12)
			f.occupy("b", 12)
		},
	},
	{
		name: "waiters ahead", path: "/read/x", action: detail.Wait,
		prepare: func(ctx context.Context, f *fixture) {
			f.occupy("a", 12)
			f.occupy("b", 12)
			f.serveOften(ctx, 5)
		},
	},
	{
		name: "waiters ahead of a free permit", path: "/read/x", action: detail.Wait, reason: detail.Ahead, notUsed: map[string]detail.Cause{"a": detail.Ahead, "b": "Full"},
		prepare: func(ctx context.Context, f *fixture) {
			f.occupy("a", 12)
			f.occupy("b", 12)
			f.serveOften(ctx, 5)
			a, _ := f.roster.Find("a", 1)
			f.Usage.End(time.Now(), a, usage.Result{})
		},
	},
	{
		name: "overload of a higher rank", path: "/once/x", account: "plain", action: detail.Reject,
		prepare: func(ctx context.Context, f *fixture) {
			f.occupy("a", 12)
			f.occupy("b", 12)
			f.serveOften(ctx, 400)
		},
	},
	{
		name: "no server", path: "/read/x", action: detail.Reject, reason: "NoServer",
		prepare: func(_ context.Context, f *fixture) { f.leave("a"); f.leave("b") },
	},
	{
		name: "stopping", path: "/read/x", action: detail.Reject, reason: "Stopping",
		prepare: func(_ context.Context, f *fixture) { f.Close(time.Now(), time.Now()) },
	},
	{name: "prefill", path: "/chat/x", tokens: 4000, action: detail.Send, work: detail.Prefill, prepare: func(_ context.Context, f *fixture) { f.addEnginePairs() }},
	{name: "small prompt", path: "/chat/x", tokens: 100, action: detail.Send, work: detail.DecodeShort, prepare: func(_ context.Context, f *fixture) { f.addEnginePairs() }},
	{
		name: "prefix cached", path: "/chat/x", tokens: 4000, action: detail.Send, work: detail.Prefill, cached: 2000,
		notUsed: map[string]detail.Cause{"p": detail.NotBest, "q": ""},
		prepare: func(ctx context.Context, f *fixture) {
			f.addEnginePairs()
			p, _ := f.roster.Find("p", 1)
			f.Notice(p, Notice{Pause: time.Millisecond})
			f.serve(ctx, newPromptRequest("/chat/x", 4000, 80))
			time.Sleep(10 * time.Millisecond)
		},
	},
	{
		name: "prefill engines gone", path: "/chat/x", tokens: 4000, action: detail.Send, work: detail.LocalPrefill,
		prepare: func(_ context.Context, f *fixture) {
			f.addEnginePairs()
			for _, id := range []string{"p", "q"} {
				server, _ := f.roster.Find(id, 1)
				f.Usage.MarkUnreachable(time.Now(), server)
			}
		},
		notUsed: map[string]detail.Cause{"p": detail.Unreachable},
	},
	{
		name: "decode engines only", path: "/chat/x", tokens: 4000, action: detail.Send,
		prepare: func(_ context.Context, f *fixture) { f.addEnginePairs(); f.leave("p"); f.leave("q") },
	},
	{
		name: "quarantine", path: "/chat/x", tokens: 4000, action: detail.Reject, reason: "Quarantined",
		prepare: func(_ context.Context, f *fixture) {
			f.addEnginePairs()
			f.Quarantine = &quarantineList{part: "shared", until: time.Now().Add(time.Minute)}
		},
	},
}

// request returns the request of the state, and the query that describes it.
func (s state) request() (*Request, ExplainQuery) {
	if s.account != "" {
		return withKey(s.path, "k2"), ExplainQuery{Host: "h", Path: s.path, Account: s.account}
	}
	if s.tokens == 0 {
		return newRequest(s.path), ExplainQuery{Host: "h", Path: s.path}
	}
	r := newPromptRequest(s.path, s.tokens, 80)
	return r, ExplainQuery{Host: "h", Path: s.path, PromptTokens: s.tokens, MaxOutputTokens: 80, Parts: r.Parts}
}

// TestExplanationNamesWhatServeDoes guards against an explanation that differs from what
// becomes of the next identical request.
func TestExplanationNamesWhatServeDoes(t *testing.T) {
	for _, policy := range []shed.Policy{shed.Arrival, shed.CostToCallers} {
		for _, s := range states {
			t.Run(string(policy)+"/"+s.name, func(t *testing.T) {
				for seed := range uint64(8) {
					synctest.Test(t, func(t *testing.T) { s.check(t, policy, seed) })
				}
			})
		}
	}
}

func (s state) check(t *testing.T, policy shed.Policy, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFixture(t)
	f.Admission, f.Seed = policy, seed
	if s.account != "" {
		useAccounts(t, f)
	}
	s.prepare(ctx, f)
	r, q := s.request()
	e, err := f.Explain(q)
	require.NoError(t, err)
	require.Equal(t, s.action, e.Decision.Action, "%s", e)
	if s.reason != "" {
		assert.Equal(t, s.reason, e.Decision.Reason)
	}
	if s.work != "" {
		assert.Equal(t, s.work, e.Work)
	}
	for _, server := range e.Servers {
		if cause, given := s.notUsed[server.ID]; given {
			assert.Equal(t, cause, server.NotUsed, server.ID)
		}
		assert.Equal(t, server.ID == e.Decision.Server, server.NotUsed == "", "%s", e)
		if server.NotUsed == "" {
			assert.Equal(t, s.cached, server.CachedTokens)
		}
	}
	before := len(f.fleet.sent)
	var c *client
	var serving sync.WaitGroup
	serving.Go(func() { c = f.serve(ctx, r) })
	synctest.Wait()
	switch s.action {
	case detail.Send:
		require.Greater(t, len(f.fleet.sent), before)
		assert.Equal(t, e.Decision.Server, f.fleet.sent[before].server, "%s", e)
		assert.Equal(t, e.Work == detail.Prefill, f.fleet.sent[before].prefill)
	case detail.Wait:
		assert.Len(t, f.fleet.sent, before)
		cancel()
	case detail.Reject:
		serving.Wait()
		require.Len(t, c.replies, 1)
		assert.Equal(t, e.Decision.Status, c.replies[0].Status)
		assert.GreaterOrEqual(t, detail.Ms(c.replies[0].RetryAfter), e.Decision.RetryAfterMinMs)
		assert.LessOrEqual(t, detail.Ms(c.replies[0].RetryAfter), e.Decision.RetryAfterMaxMs)
	}
	cancel()
	serving.Wait()
	synctest.Wait()
}

// TestExplainChangesNothing guards against an explanation that takes a permit, a random
// number or a place in a queue, or that later decisions can notice: two processes serve the
// same requests, one of which explains before each.
func TestExplainChangesNothing(t *testing.T) {
	for _, policy := range []shed.Policy{shed.Arrival, shed.CostToCallers} {
		for _, s := range states {
			t.Run(string(policy)+"/"+s.name, func(t *testing.T) {
				seen := [2]string{}
				for i, times := range []int{0, 100} {
					synctest.Test(t, func(t *testing.T) { seen[i] = s.sequence(t, policy, times) })
				}
				assert.True(t, seen[0] == seen[1], "without:\n%s\nwith:\n%s", seen[0], seen[1])
			})
		}
	}
}

// sequence serves requests after so many explanations each, and returns what has become of
// them and the state of the broker.
func (s state) sequence(t *testing.T, policy shed.Policy, times int) string {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFixture(t)
	f.Admission = policy
	if s.account != "" {
		useAccounts(t, f)
	}
	s.prepare(ctx, f)
	seen := ""
	for range 5 {
		for range times {
			_, q := s.request()
			_, err := f.Explain(q)
			require.NoError(t, err)
		}
		seen += f.visible()
		r, _ := s.request()
		go f.serve(ctx, r)
		synctest.Wait()
		seen += f.visible()
		f.Tick(time.Now())
		synctest.Wait()
	}
	assert.EqualValues(t, 5*times, f.Meters.Value("Explained"))
	cancel()
	synctest.Wait()
	return seen
}

// visible describes what decisions depend on.
func (f *fixture) visible() string {
	text := fmt.Sprintln(f.fleet.servers(), f.randomState, len(f.queues), len(f.engineSets), len(f.progress))
	loads := map[uint64]peers.Load{}
	f.Queues(func(hash uint64, load peers.Load) { loads[hash] = load })
	text += fmt.Sprintln(loads)
	arriving := map[queueKey]string{}
	for key, q := range f.queues {
		if q.shedding != nil {
			arriving[key] = fmt.Sprint(q.shedding.stage.Room(time.Now(), 1, 0).Arriving, q.lateWaiters())
		}
	}
	text += fmt.Sprintln(arriving)
	for _, service := range []string{"plain", "model"} {
		for _, s := range f.roster.All(service) {
			text += fmt.Sprintln(s.ID, f.Usage.Get(time.Now(), s))
		}
	}
	return text
}

// lateWaiters counts the waiters that are predicted to miss their latency target.
func (q *queue) lateWaiters() int {
	late := 0
	for _, w := range q.waiting {
		if w.cost.work.Late {
			late++
		}
	}
	return late
}

// TestExplainNeedsAValidQuery guards against explanations of requests that can't be made.
func TestExplainNeedsAValidQuery(t *testing.T) {
	f := newFixture(t)
	_, err := f.Explain(ExplainQuery{Host: "h", Path: "/none/"})
	require.ErrorIs(t, err, ErrNoRoute)
	_, err = f.Explain(ExplainQuery{Host: "h", Path: "/read/", Account: "acme"})
	require.ErrorIs(t, err, auth.ErrNoAccount, "no accounts are configured")
	useAccounts(t, f)
	_, err = f.Explain(ExplainQuery{Host: "h", Path: "/write/", Account: "nobody"})
	require.ErrorIs(t, err, auth.ErrNoAccount)
	e, err := f.Explain(ExplainQuery{Host: "h", Path: "/write/", Account: "acme"})
	require.NoError(t, err)
	assert.Equal(t, 1, e.Priority, "the account's, not the route's")
	assert.Equal(t, detail.Send, e.Decision.Action)
	e, err = f.Explain(ExplainQuery{Host: "h", Path: "/write/"})
	require.NoError(t, err)
	assert.Equal(t, detail.Decision{Action: detail.Reject, Status: 401, Reason: "Unauthorized"}, e.Decision)
	f.Unconfirmed = func(time.Time) bool { return true }
	e, err = f.Explain(ExplainQuery{Host: "h", Path: "/write/", Account: "acme"})
	require.NoError(t, err)
	assert.Equal(t, detail.Cause("Unconfirmed"), e.Decision.Reason)
	f.Table = func() *table.Table { return nil }
	_, err = f.Explain(ExplainQuery{Host: "h", Path: "/read/"})
	require.ErrorIs(t, err, ErrNoConfiguration)
}

// TestExplainNamesThePeer guards against an explanation that names a backend server to which
// this process has no link, and one that hides that another process decides.
func TestExplainNamesThePeer(t *testing.T) {
	f := newFixture(t)
	f.Carrier = &hops{names: []string{"p1"}}
	f.addEnginePairs()
	for _, s := range f.roster.Service("plain") {
		f.Usage.MarkUnreachable(time.Now(), s)
	}
	f.undialable.Store(1)
	e, err := f.Explain(ExplainQuery{Host: "h", Path: "/read/"})
	require.NoError(t, err)
	assert.Equal(t, detail.Decision{Action: detail.HandOver, Peer: "p1"}, e.Decision)
	assert.Equal(t, detail.Unreachable, e.Servers[0].NotUsed)
	f.Peers = coordinatedPeers{}
	f.Name, f.Coordination = "self", noCoordination{}
	f.Tick(time.Now())
	e, err = f.Explain(ExplainQuery{Host: "h", Path: "/chat/", PromptTokens: 4000})
	require.NoError(t, err)
	assert.Equal(t, []string{"peer", "peer"}, []string{e.Queues[0].Coordinator, e.Queues[1].Coordinator})
	f.avoid("peer")
	e, err = f.Explain(ExplainQuery{Host: "h", Path: "/chat/", PromptTokens: 4000})
	require.NoError(t, err)
	assert.Empty(t, e.Queues[0].Coordinator, "it does not respond, so that this process decides")
}
