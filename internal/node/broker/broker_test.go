package broker

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/quota"
)

// Checks the response to the client for the behavior of the backend servers at the
// first and the second attempt.
func TestPlainOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, path       string
		first, second    behavior
		status, attempts int
		retryAfter       bool
	}{
		{"success", "/write/1", succeeds, succeeds, 200, 1, false},
		{"lost", "/write/1", losesResponse, succeeds, 502, 1, false},
		{"lost, idempotent", "/read/1", losesResponse, succeeds, 200, 2, false},
		{"truncated", "/write/1", truncates, succeeds, 502, 1, false},
		{"truncated, idempotent", "/read/1", truncates, succeeds, 200, 2, false},
		{"without a seal", "/write/1", unverified, succeeds, 502, 1, false},
		{"without a seal, idempotent", "/read/1", unverified, succeeds, 200, 2, false},
		{"refused", "/write/1", rejects, succeeds, 200, 2, false},
		{"refused twice", "/write/1", rejects, rejects, 503, 2, true},
		{"refused, one attempt", "/once/1", rejects, succeeds, 503, 1, true},
		{"another server has the address", "/write/1", replaced, succeeds, 200, 2, false},
		{"unreachable", "/write/1", unreachable, succeeds, 200, 2, false},
		{"unreachable twice", "/write/1", unreachable, unreachable, 503, 2, true},
		{"unreachable, one attempt", "/once/1", unreachable, succeeds, 200, 2, false},
		{"failed, then unreachable, idempotent", "/read/1", fails, unreachable, 500, 2, false},
		{"failed, then lost, idempotent", "/read/1", fails, losesResponse, 500, 2, false},
		{"failed, then hangs, idempotent", "/read/1", fails, hangs, 500, 2, false},
		{"refused, then lost", "/write/1", rejects, losesResponse, 502, 2, false},
		{"lost, then refused, idempotent", "/read/1", losesResponse, rejects, 502, 2, false},
		{"failed", "/write/1", fails, succeeds, 500, 1, false},
		{"failed, idempotent", "/read/1", fails, succeeds, 200, 2, false},
		{"failed twice, idempotent", "/read/1", fails, fails, 500, 2, false},
		{"hangs", "/write/1", hangs, succeeds, 504, 1, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			behaviors := []behavior{c.first, c.second}
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				does := behaviors[0]
				behaviors = behaviors[1:]
				return does(ctx, s)
			}
			got := f.serve(t.Context(), newRequest(c.path))
			require.Len(t, got.replies, 1, c.name)
			assert.Equal(t, c.status, got.replies[0].Status, c.name)
			assert.Len(t, f.fleet.sent, c.attempts, c.name)
			assert.Equal(t, c.retryAfter, got.replies[0].RetryAfter > 0, c.name)
			if c.attempts == 2 {
				assert.NotEqual(t, f.fleet.sent[0].server, f.fleet.sent[1].server, c.name)
			}
			assert.Zero(t, f.Usage.Get(time.Now(), roster.Server{ID: "a", Born: 1}).Running, c.name)
		})
	}
}

func TestRejectedImmediately(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fixture)
		path   string
		status int
	}{
		{"no route", func(*fixture) {}, "/nowhere/", 404},
		{"no configuration", func(f *fixture) { f.Table = func() *table.Table { return nil } }, "/read/1", 503},
		{"no server", func(f *fixture) { f.leave("a"); f.leave("b") }, "/read/1", 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			c.change(f)
			start := time.Now()
			got := f.serve(t.Context(), newRequest(c.path))
			require.Len(t, got.replies, 1, c.name)
			assert.Equal(t, c.status, got.replies[0].Status, c.name)
			assert.Equal(t, c.status == 503, got.replies[0].RetryAfter > 0, c.name)
			assert.Equal(t, start, got.endedAt, "%s: immediately", c.name)
			assert.Empty(t, f.fleet.sent, c.name)
		})
	}
}

func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.fallback = hangs
		r := newRequest("/write/1")
		got := f.serve(t.Context(), r)
		assert.Equal(t, r.Arrived.Add(time.Second), f.fleet.sent[0].call.Deadline, "the route's timeout is shorter")
		assert.Equal(t, r.Arrived.Add(time.Second), got.endedAt)
		r = newRequest("/write/1")
		r.Deadline = r.Arrived.Add(300 * time.Millisecond)
		got = f.serve(t.Context(), r)
		assert.Equal(t, r.Deadline, f.fleet.sent[1].call.Deadline, "the client's deadline is shorter")
		assert.Equal(t, r.Deadline, got.endedAt)
		assert.Equal(t, 504, got.replies[0].Status)
	})
}

func TestClientGoneAbortsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.fallback = hangs
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		got := f.serve(ctx, newRequest("/read/1"))
		assert.Empty(t, got.replies)
		assert.Equal(t, 100*time.Millisecond, time.Since(start))
		assert.Len(t, f.fleet.sent, 1, "no retry")
	})
}

func TestOverloadIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.fallback = delays(200*time.Millisecond, succeeds)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(ctx)
		const clients = 200
		results := make([]*client, clients)
		start := time.Now()
		for i := range results {
			go func() { results[i] = f.serve(t.Context(), newRequest("/write/1")) }()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		statuses := map[int]int{}
		for _, c := range results {
			statuses[c.replies[0].Status]++
			if c.replies[0].Status == 503 {
				assert.LessOrEqual(t, c.endedAt.Sub(start), 300*time.Millisecond+waitSlack+tick, "the rejection is not delayed")
				assert.Positive(t, c.replies[0].RetryAfter)
			}
		}
		assert.Greater(t, statuses[200], 24, "all permits are used")
		assert.Equal(t, clients, statuses[200]+statuses[503])
		assert.Equal(t, statuses[200], f.fleet.runs(), "refused requests have not run")
	})
}

func TestRetriesEndWithTheQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.RetryLimit = quota.Limit{Window: 10 * time.Second, Ratio: 0, Slack: 9}
		for _, id := range []string{"c", "d", "e"} {
			f.addServer(id, "plain", "")
		}
		for range 20 {
			f.fleet.fallback = losesResponse
			f.serve(t.Context(), newRequest("/read/1"))
			time.Sleep(10 * time.Millisecond)
		}
		assert.Len(t, f.fleet.sent, 23, "20 requests and this process's 3 of 9 retries")
	})
}

// TestServerThatLeavesWhileItIsConnectedToGetsNoRequest guards against requests that reach a
// server which has left, or asked for a pause, while the connection for them was made.
func TestServerThatLeavesWhileItIsConnectedToGetsNoRequest(t *testing.T) {
	ends := map[string]func(f *fixture, server roster.Server){
		"leaves": func(f *fixture, server roster.Server) { f.leave(server.ID) },
		"pauses": func(f *fixture, server roster.Server) { f.Notice(server, Notice{Pause: time.Minute}) },
	}
	for name, end := range ends {
		for _, path := range []string{"/read/1", "/chat/1"} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { newFixture(t).endWhileConnecting(t, path, end) })
			})
		}
	}
}

// endWhileConnecting serves a request, whose first server no longer wants it once there is a
// connection.
func (f *fixture) endWhileConnecting(t *testing.T, path string, end func(*fixture, roster.Server)) {
	t.Helper()
	f.addEngines()
	serves, first := f.fleet.fallback, ""
	if path == "/read/1" {
		serves = succeeds
	}
	f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
		if first == "" {
			first = s.server
			server, _ := f.roster.Find(s.server, 1)
			end(f, server)
		}
		if s.call.Wanted != nil && !s.call.Wanted() {
			s.lost = true
			return nil, &call.Error{Stage: call.StageDialing, Err: call.ErrUnwanted}
		}
		return serves(ctx, s)
	}
	got := f.serve(t.Context(), newPromptRequest(path, 9000, 100))
	assert.True(t, got.ended || len(got.replies) == 1 && got.replies[0].Status == 200, "%+v", got.replies)
	for _, s := range f.fleet.sent {
		assert.Equal(t, s.server == first, s.lost, "%s at %s", path, s.server)
	}
	assert.Zero(t, f.undialable.Load(), "the server was reached")
}

func TestLeavingServerGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.leave("a")
		for range 50 {
			f.serve(t.Context(), newRequest("/read/1"))
		}
		assert.NotContains(t, f.fleet.servers(), "a")
	})
}

func (f *fixture) addEngines() {
	f.addServer("p1", "model", roster.Prefill)
	f.addServer("d1", "model", roster.Decode)
	f.addServer("d2", "model", roster.Decode)
	f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
		if s.prefill {
			return delays(20*time.Millisecond, succeeds)(ctx, s)
		}
		return events(1, 3, true)(ctx, s)
	}
}

func TestDisaggregatedPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		got := f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		assert.True(t, got.ended)
		assert.Equal(t, 3, strings.Count(got.events.String(), "data: x"))
		require.Len(t, f.fleet.sent, 2)
		assert.True(t, f.fleet.sent[0].prefill)
		assert.Equal(t, "p1", f.fleet.sent[0].server)
		assert.Equal(t, "h-r1", f.fleet.sent[1].call.Source.Handle)
		assert.Empty(t, f.fleet.released)
		got = f.serve(t.Context(), newPromptRequest("/chat/1", 200, 100))
		assert.True(t, got.ended)
		assert.Len(t, f.fleet.sent, 3, "a small prompt is prefilled locally")
	})
}

func TestPromptWithoutPrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.leave("p1")
		got := f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		assert.True(t, got.ended)
		assert.Len(t, f.fleet.sent, 1)
	})
}

func TestLocalPrefillWhenPrefillEnginesAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		for range 12 {
			go f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		prefills, localPrefills := 0, 0
		for _, s := range f.fleet.sent {
			switch {
			case s.prefill:
				prefills++
			case s.call.Source.Handle == "":
				localPrefills++
			}
		}
		assert.Equal(t, 12, prefills+localPrefills)
		assert.Positive(t, localPrefills)
	})
}

func TestRejectedDecodeReleasesKVCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.fleet.scripted["d1"] = []behavior{rejects}
		f.fleet.scripted["d2"] = []behavior{rejects}
		got := f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		synctest.Wait()
		assert.Equal(t, 503, got.replies[0].Status)
		assert.Len(t, f.fleet.released, 1)
		assert.Zero(t, f.fleet.runs())
	})
}

func TestFailedPrefillIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.addServer("p2", "model", roster.Prefill)
		f.fleet.scripted["p1"] = []behavior{losesResponse}
		f.fleet.scripted["p2"] = []behavior{losesResponse}
		got := f.serve(t.Context(), newPromptRequest("/chat/1", 9000, 100))
		assert.Equal(t, 503, got.replies[0].Status, "a failed prefill of the prompt means that the request has not run")
		assert.Positive(t, got.replies[0].RetryAfter)
	})
}

func TestStreams(t *testing.T) {
	const three = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	for _, c := range []struct {
		name, path       string
		first, second    behavior
		events           string
		ended            bool
		status, attempts int
	}{
		{"whole", "/chat/1", events(1, 3, true), nil, three, true, 0, 1},
		{"broken", "/chat/1", events(1, 2, false), nil, three[:30], false, 0, 1},
		{"broken, resumable", "/talk/1", events(1, 2, false), events(3, 3, true), three, true, 0, 2},
		{"broken twice, resumable", "/talk/1", events(1, 1, false), events(2, 2, false), three[:30], false, 0, 2},
		{"resumed with a repeated event", "/talk/1", events(1, 2, false), events(2, 3, true), three[:30], false, 0, 2},
		{"events out of order", "/chat/1", func(ctx context.Context, s *sent) (*Response, error) {
			response, _ := events(1, 2, true)(ctx, s)
			response.Body = struct {
				*strings.Reader
				noopCloser
			}{strings.NewReader("id: 1\ndata: x\n\nid: 1\ndata: x\n\n"), noopCloser{}}
			return response, nil
		}, nil, three[:15], false, 0, 1},
		{"lost before the first event", "/chat/1", losesResponse, nil, "", false, 502, 1},
		{"lost before the first event, resumable", "/talk/1", losesResponse, events(1, 3, true), three, true, 0, 2},
		{"ended without an event", "/chat/1", events(1, 0, true), nil, "", false, 502, 1},
		{"refused", "/chat/1", rejects, events(1, 3, true), three, true, 0, 2},
		{"error response", "/chat/1", fails, nil, "", false, 500, 1},
		{"error response, resumable", "/talk/1", fails, events(1, 3, true), three, true, 0, 2},
		{"error response, then broken stream", "/talk/1", fails, events(1, 2, false), three[:30], false, 0, 2},
		{"error response, then stream without an event", "/talk/1", fails, events(1, 0, true), "", false, 500, 2},
		{"two error responses", "/talk/1", fails, fails, "", false, 500, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addEngines()
			behaviors := []behavior{c.first, c.second}
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				does := behaviors[0]
				behaviors = behaviors[1:]
				return does(ctx, s)
			}
			got := f.serve(t.Context(), newPromptRequest(c.path, 100, 10))
			assert.Equal(t, c.events, got.events.String(), c.name)
			assert.Equal(t, c.ended, got.ended, c.name)
			assert.Len(t, f.fleet.sent, c.attempts, c.name)
			if c.status != 0 {
				require.Len(t, got.replies, 1, c.name)
				assert.Equal(t, c.status, got.replies[0].Status, c.name)
			} else {
				assert.Empty(t, got.replies, c.name)
			}
			if c.attempts == 2 && strings.HasPrefix(c.name, "broken") {
				assert.NotEmpty(t, f.fleet.sent[1].call.After, c.name)
			}
		})
	}
}

type noopCloser struct{}

func (noopCloser) Close() error { return nil }

func TestClientResumesStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.fleet.fallback = events(4, 5, true)
		r := newPromptRequest("/talk/1", 100, 10)
		r.After = "3"
		got := f.serve(t.Context(), r)
		assert.True(t, got.ended)
		assert.Equal(t, "3", f.fleet.sent[0].call.After)
	})
}

func TestUndeliveredEventEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		c := &client{fail: errors.New("gone")}
		f.Broker.Serve(t.Context(), newPromptRequest("/talk/1", 100, 10), c)
		assert.False(t, c.ended)
		assert.Len(t, f.fleet.sent, 1)
	})
}

// Guards against long requests occupying all slots: a short request must get one
// immediately.
func TestSlotsReservedForShortRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			if s.call.Request.MaxOutputTokens > longOutput {
				return paced(40, 100*time.Millisecond)(ctx, s)
			}
			return events(1, 2, true)(ctx, s)
		}
		for range 60 {
			go f.serve(t.Context(), newPromptRequest("/chat/1", 100, 5000))
		}
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		got := f.serve(t.Context(), newPromptRequest("/talk/1", 100, 10))
		assert.True(t, got.ended)
		assert.Zero(t, time.Since(start))
	})
}

// Requests that can still meet their latency target come first, then priority
// and arrival decide.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	inTime := &waiter{need: need{startBy: now.Add(1)}, since: now}
	late := &waiter{need: need{startBy: now.Add(-1)}, since: now.Add(-time.Second)}
	urgent := &waiter{need: need{startBy: now.Add(1), priority: -1}, since: now}
	earlier := &waiter{need: need{startBy: now.Add(1)}, since: now.Add(-time.Millisecond)}
	assert.True(t, inTime.before(late, now))
	assert.False(t, late.before(inTime, now))
	assert.True(t, urgent.before(inTime, now))
	assert.True(t, earlier.before(inTime, now))
}

func TestExpiredWaitersLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.fleet.fallback = hangs
		for range 40 {
			go f.serve(t.Context(), newRequest("/write/1"))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		q := f.queue(queueKey{service: "plain"})
		assert.Empty(t, q.waiting)
		assert.Empty(t, q.permits)
		assert.Zero(t, f.Usage.Get(time.Now(), roster.Server{ID: "a", Born: 1}).Running)
	})
}

// Each process may hold a share of the permits. Guards against shares whose sum
// over all processes is far from the capacity when status messages are delayed.
func TestPermitsAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view{capacity: 12}
	v.peerLoad.Waiting, v.peerLoad.Running = 10, 10
	holding := func(count int) *queue {
		q := &queue{waiting: []*waiter{{}}}
		for range count {
			q.add(&permit{units: 1})
		}
		return q
	}
	assert.False(t, holding(3).mayAcquire(now, v, 1, 1), "the share is 12*5/25 = 2.4 permits")
	assert.True(t, holding(0).mayAcquire(now, v, 1, 1))
	v.peerLoad.Waiting, v.peerLoad.Running = 0, 1
	assert.True(t, holding(9).mayAcquire(now, v, 1, 1), "the peers use one permit")
	assert.False(t, holding(12).mayAcquire(now, v, 1, 1))

	v.capacity = 40
	v.peerLoad.Running = 99
	sum := 0
	for process := range uint64(100) {
		for interval := range 50 {
			q := &queue{}
			if q.mayAcquire(now.Add(time.Duration(interval)*shareInterval), v, 1, process) {
				sum++
			}
		}
	}
	assert.InDelta(t, 40*50, sum, 150, "sum over 100 processes with one request each")
}

// For any behavior of the backend servers, a request that must not run twice runs
// at most once, a rejected one has not run, and a response is complete.
func TestGuaranteesForRandomBehavior(t *testing.T) {
	behaviors := []behavior{
		succeeds, fails, rejects, replaced, unverified, unreachable, losesResponse, hangs, truncates,
		delays(50*time.Millisecond, succeeds), delays(900*time.Millisecond, losesResponse), delays(300*time.Millisecond, rejects),
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 6, 6).Draw(rt, "plan")
		path := rapid.SampledFrom([]string{"/read/1", "/write/1", "/once/1"}).Draw(rt, "path")
		clientTimeout := rapid.IntRange(0, 3000).Draw(rt, "clientTimeout")
		leave := rapid.Bool().Draw(rt, "leave")
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			for i, does := range plan {
				id := []string{"a", "b"}[i%2]
				f.fleet.scripted[id] = append(f.fleet.scripted[id], behaviors[does])
			}
			if leave {
				time.AfterFunc(20*time.Millisecond, func() { f.leave("a") })
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(clientTimeout)*time.Millisecond)
			defer cancel()
			got := f.serve(ctx, newRequest(path))
			require.NoError(t, checkGuarantees(f, path, got))
		})
	})
}

func checkGuarantees(f *fixture, path string, got *client) error {
	attempts := 2
	if path == "/once/1" {
		attempts = 1
	}
	runs := f.fleet.runs()
	switch {
	case len(got.replies) > 1:
		return fmt.Errorf("%d responses", len(got.replies))
	case path != "/read/1" && runs > 1:
		return fmt.Errorf("%d runs", runs)
	case f.fleet.arrived() > attempts:
		return fmt.Errorf("%d attempts", len(f.fleet.sent))
	case len(got.replies) == 0:
		return nil
	}
	reply := got.replies[0]
	switch {
	case reply.Status == 503 && runs > 0:
		return fmt.Errorf("refused, but ran %d times", runs)
	case reply.Status == 503 && reply.RetryAfter == 0:
		return errors.New("refused without a retry time")
	case reply.Status == 200 && string(reply.Body) != "ok r1":
		return fmt.Errorf("response body %q", reply.Body)
	case reply.Status < 500 && reply.Status != 200:
		return fmt.Errorf("unexpected status %d", reply.Status)
	}
	return nil
}

// A request at a backend server that stops responding is retried on another one
// if it may run twice. Otherwise its response is awaited until the deadline.
func TestStalledServer(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		took   time.Duration
	}{
		{"/read/1", 200, usage.StallThreshold + tick},
		{"/write/1", 504, time.Second},
		{"/once/1", 504, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go f.tick(ctx)
			f.fleet.scripted["a"] = []behavior{hangs, hangs, hangs}
			f.leave("b")
			f.addServer("c", "plain", "")
			f.leave("c")
			start := time.Now()
			var got *client
			done := make(chan struct{})
			go func() {
				got = f.serve(ctx, newRequest(c.path))
				close(done)
			}()
			time.Sleep(usage.StallThreshold - 10*time.Millisecond)
			f.addServer("d", "plain", "")
			<-done
			require.Len(t, got.replies, 1, c.path)
			assert.Equal(t, c.status, got.replies[0].Status, c.path)
			assert.LessOrEqual(t, got.endedAt.Sub(start), c.took+tick, c.path)
		})
	}
}

func TestStalledServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(ctx)
		f.fleet.scripted["a"] = []behavior{hangs, hangs, hangs, hangs, hangs, hangs, hangs, hangs}
		for range 4 {
			go f.serve(ctx, newRequest("/write/1"))
		}
		time.Sleep(usage.StallThreshold + 2*tick)
		before := strings.Count(f.fleet.servers(), "a")
		for range 20 {
			assert.Equal(t, 200, f.serve(ctx, newRequest("/write/1")).replies[0].Status)
		}
		assert.Equal(t, before, strings.Count(f.fleet.servers(), "a"))
	})
}

// Guards against rejections because of permits held at a stalled server: they
// must not count in the expected hold time of the queue.
func TestStalledServerCausesNoRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(ctx)
		f.fleet.fallback = delays(20*time.Millisecond, succeeds)
		for range 12 {
			f.fleet.scripted["a"] = append(f.fleet.scripted["a"], hangs)
		}
		results := make(chan int, 200)
		for range 200 {
			go func() { results <- f.serve(ctx, newRequest("/write/1")).replies[0].Status }()
			time.Sleep(8 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		statuses := map[int]int{}
		for range 200 {
			statuses[<-results]++
		}
		assert.LessOrEqual(t, statuses[504], 12)
		assert.LessOrEqual(t, statuses[503], 12, "%v", statuses)
	})
}

// Guards against rejections of short requests because long ones hold their
// permits for seconds: hold times are averaged per kind of work.
func TestQueuesEstimateSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(ctx)
		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			if s.call.Request.MaxOutputTokens > longOutput {
				return paced(30, 100*time.Millisecond)(ctx, s)
			}
			return delays(10*time.Millisecond, events(1, 2, true))(ctx, s)
		}
		for range 40 {
			go f.serve(ctx, newPromptRequest("/talk/1", 100, 5000))
			time.Sleep(100 * time.Millisecond)
		}
		results := make(chan bool, 40)
		for range 40 {
			go func() { results <- f.serve(ctx, newPromptRequest("/chat/1", 100, 10)).ended }()
		}
		for range 40 {
			assert.True(t, <-results)
		}
	})
}

// After the time from which a planned stop rejects requests, a request is served
// only if its deadline is not after the end, so that none is aborted. The others
// are rejected and have not run.
func TestPlannedStop(t *testing.T) {
	for _, c := range []struct {
		path   string
		after  time.Duration
		status int
	}{
		{"/write/1", time.Second, 200},
		{"/write/1", 3 * time.Second, 200},
		{"/write/1", 6 * time.Second, 200},
		{"/write/1", 6501 * time.Millisecond, 503},
		{"/write/1", 7490 * time.Millisecond, 503},
		{"/chat/1", 2 * time.Second, 0},
		{"/chat/1", 4 * time.Second, 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addEngines()
			start := time.Now()
			f.Close(start.Add(2500*time.Millisecond), start.Add(7500*time.Millisecond))
			time.Sleep(c.after)
			f.fleet.fallback = succeeds
			if strings.HasPrefix(c.path, "/chat") {
				f.fleet.fallback = events(1, 3, true)
			}
			got := f.serve(t.Context(), newPromptRequest(c.path, 100, 10))
			if c.status == 0 {
				assert.True(t, got.ended, "%s after %v", c.path, c.after)
				return
			}
			require.Len(t, got.replies, 1)
			assert.Equal(t, c.status, got.replies[0].Status, "%s after %v", c.path, c.after)
			assert.Equal(t, c.status == 503, got.replies[0].RetryAfter > 0)
		})
	}
}

// If no other backend server has a permit, an attempt at a stalled one is not
// aborted: the response may still arrive.
func TestAttemptAtOnlyStalledServerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(ctx)
		f.leave("b")
		f.fleet.fallback = delays(usage.StallThreshold+300*time.Millisecond, succeeds)
		got := f.serve(ctx, newRequest("/read/1"))
		require.Len(t, got.replies, 1)
		assert.Equal(t, 200, got.replies[0].Status)
		assert.Len(t, f.fleet.sent, 1)
	})
}
