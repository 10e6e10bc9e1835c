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
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/quota"
)

// What becomes of a request after what its first and second backend server do.
func TestPlainOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		first, second behavior
		status, sends int
		retryAfter    bool
	}{
		{"in order", "/write/1", good, good, 200, 1, false},
		{"lost after it may have run", "/write/1", loses, good, 502, 1, false},
		{"lost, idempotent", "/read/1", loses, good, 200, 2, false},
		{"cut", "/write/1", cuts, good, 502, 1, false},
		{"cut, idempotent", "/read/1", cuts, good, 200, 2, false},
		{"without a seal", "/write/1", unsealed, good, 502, 1, false},
		{"without a seal, idempotent", "/read/1", unsealed, good, 200, 2, false},
		{"refused", "/write/1", refuses, good, 200, 2, false},
		{"refused twice", "/write/1", refuses, refuses, 503, 2, true},
		{"refused, one attempt", "/once/1", refuses, good, 503, 1, true},
		{"another server has the address", "/write/1", replaced, good, 200, 2, false},
		{"not reached", "/write/1", unreachable, good, 200, 2, false},
		{"not reached twice", "/write/1", unreachable, unreachable, 503, 2, true},
		{"not reached, one attempt", "/once/1", unreachable, good, 200, 2, false},
		{"failed, then not reached, idempotent", "/read/1", fails, unreachable, 500, 2, false},
		{"failed, then lost, idempotent", "/read/1", fails, loses, 500, 2, false},
		{"failed, then silent, idempotent", "/read/1", fails, hangs, 500, 2, false},
		{"refused, then lost", "/write/1", refuses, loses, 502, 2, false},
		{"lost, then refused, idempotent", "/read/1", loses, refuses, 502, 2, false},
		{"failed", "/write/1", fails, good, 500, 1, false},
		{"failed, idempotent", "/read/1", fails, good, 200, 2, false},
		{"failed twice, idempotent", "/read/1", fails, fails, 500, 2, false},
		{"silent", "/write/1", hangs, good, 504, 1, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			both := []behavior{c.first, c.second}
			b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
				does := both[0]
				both = both[1:]
				return does(ctx, s)
			}
			got := b.serve(t.Context(), request(c.path))
			require.Len(t, got.answered, 1, c.name)
			assert.Equal(t, c.status, got.answered[0].Status, c.name)
			assert.Len(t, b.fleet.sent, c.sends, c.name)
			assert.Equal(t, c.retryAfter, got.answered[0].RetryAfter > 0, c.name)
			if c.sends == 2 {
				assert.NotEqual(t, b.fleet.sent[0].server, b.fleet.sent[1].server, c.name)
			}
			assert.Zero(t, b.Usage.Look(time.Now(), roster.Server{ID: "a", Born: 1}).Running, c.name)
		})
	}
}

func TestRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bed)
		path   string
		status int
	}{
		{"no route", func(*bed) {}, "/nowhere/", 404},
		{"no configuration", func(b *bed) { b.Table = func() *table.Table { return nil } }, "/read/1", 503},
		{"no server", func(b *bed) { b.leave("a"); b.leave("b") }, "/read/1", 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			c.change(b)
			began := time.Now()
			got := b.serve(t.Context(), request(c.path))
			require.Len(t, got.answered, 1, c.name)
			assert.Equal(t, c.status, got.answered[0].Status, c.name)
			assert.Equal(t, c.status == 503, got.answered[0].RetryAfter > 0, c.name)
			assert.Equal(t, began, got.at, "%s: at once", c.name)
			assert.Empty(t, b.fleet.sent, c.name)
		})
	}
}

func TestTimeIsHandedOnAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.usual = hangs
		r := request("/write/1")
		got := b.serve(t.Context(), r)
		assert.Equal(t, r.Arrived.Add(time.Second), b.fleet.sent[0].call.Deadline, "the route's timeout is shorter")
		assert.Equal(t, r.Arrived.Add(time.Second), got.at)
		r = request("/write/1")
		r.Deadline = r.Arrived.Add(300 * time.Millisecond)
		got = b.serve(t.Context(), r)
		assert.Equal(t, r.Deadline, b.fleet.sent[1].call.Deadline, "the caller's deadline is shorter")
		assert.Equal(t, r.Deadline, got.at)
		assert.Equal(t, 504, got.answered[0].Status)
	})
}

func TestCallerGoneEndsTheSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.usual = hangs
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		got := b.serve(ctx, request("/read/1"))
		assert.Empty(t, got.answered)
		assert.Equal(t, 100*time.Millisecond, time.Since(began))
		assert.Len(t, b.fleet.sent, 1, "and is not sent again")
	})
}

func TestOverloadedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.usual = takes(200*time.Millisecond, good)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.tick(ctx)
		const callers = 200
		results := make([]*caller, callers)
		began := time.Now()
		for i := range results {
			go func() { results[i] = b.serve(t.Context(), request("/write/1")) }()
		}
		time.Sleep(3 * time.Second)
		synctest.Wait()
		statuses := map[int]int{}
		for _, c := range results {
			statuses[c.answered[0].Status]++
			if c.answered[0].Status == 503 {
				assert.LessOrEqual(t, c.at.Sub(began), 300*time.Millisecond+waitSlack+tick, "a refusal is not held back")
				assert.Positive(t, c.answered[0].RetryAfter)
			}
		}
		assert.Greater(t, statuses[200], 24, "all places are used")
		assert.Equal(t, callers, statuses[200]+statuses[503])
		assert.Equal(t, statuses[200], b.fleet.runs(), "what was refused has not run")
	})
}

func TestRepeatsEndWithTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.Rule = quota.Rule{Window: 10 * time.Second, Ratio: 0, Slack: 9}
		for _, id := range []string{"c", "d", "e"} {
			b.add(id, "plain", "")
		}
		for range 20 {
			b.fleet.usual = loses
			b.serve(t.Context(), request("/read/1"))
			time.Sleep(10 * time.Millisecond)
		}
		assert.Len(t, b.fleet.sent, 23, "3 of 9 repeats are this process's")
	})
}

func TestLeavingServerGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.leave("a")
		for range 50 {
			b.serve(t.Context(), request("/read/1"))
		}
		assert.NotContains(t, b.fleet.to(), "a")
	})
}

func (b *bed) engines() {
	b.add("p1", "model", roster.Prefill)
	b.add("d1", "model", roster.Decode)
	b.add("d2", "model", roster.Decode)
	b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
		if s.prefill {
			return takes(20*time.Millisecond, good)(ctx, s)
		}
		return events(1, 3, true)(ctx, s)
	}
}

func TestPromptIsReadApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		got := b.serve(t.Context(), prompt("/chat/1", 9000, 100))
		assert.True(t, got.ended)
		assert.Equal(t, 3, strings.Count(got.events.String(), "data: x"))
		require.Len(t, b.fleet.sent, 2)
		assert.True(t, b.fleet.sent[0].prefill)
		assert.Equal(t, "p1", b.fleet.sent[0].server)
		assert.Equal(t, "h-r1", b.fleet.sent[1].call.Source.Handle)
		assert.Empty(t, b.fleet.released)
		got = b.serve(t.Context(), prompt("/chat/1", 200, 100))
		assert.True(t, got.ended)
		assert.Len(t, b.fleet.sent, 3, "a small prompt is read where it is decoded")
	})
}

func TestPromptWithoutPrefillEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		b.leave("p1")
		got := b.serve(t.Context(), prompt("/chat/1", 9000, 100))
		assert.True(t, got.ended)
		assert.Len(t, b.fleet.sent, 1)
	})
}

func TestPromptIsReadByDecodeEngineWhenPrefillIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		for range 12 {
			go b.serve(t.Context(), prompt("/chat/1", 9000, 100))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		prefills, whole := 0, 0
		for _, s := range b.fleet.sent {
			switch {
			case s.prefill:
				prefills++
			case s.call.Source.Handle == "":
				whole++
			}
		}
		assert.Equal(t, 12, prefills+whole)
		assert.Positive(t, whole)
	})
}

func TestRefusedDecodeFreesWhatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		b.fleet.does["d1"] = []behavior{refuses}
		b.fleet.does["d2"] = []behavior{refuses}
		got := b.serve(t.Context(), prompt("/chat/1", 9000, 100))
		synctest.Wait()
		assert.Equal(t, 503, got.answered[0].Status)
		assert.Len(t, b.fleet.released, 1)
		assert.Zero(t, b.fleet.runs())
	})
}

func TestPrefillThatFailsIsTriedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		b.add("p2", "model", roster.Prefill)
		b.fleet.does["p1"] = []behavior{loses}
		b.fleet.does["p2"] = []behavior{loses}
		got := b.serve(t.Context(), prompt("/chat/1", 9000, 100))
		assert.Equal(t, 503, got.answered[0].Status, "reading a prompt runs nothing")
		assert.Positive(t, got.answered[0].RetryAfter)
	})
}

func TestStreams(t *testing.T) {
	const three = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	for _, c := range []struct {
		name, path    string
		first, second behavior
		events        string
		ended         bool
		status, sends int
	}{
		{"whole", "/chat/1", events(1, 3, true), nil, three, true, 0, 1},
		{"broken", "/chat/1", events(1, 2, false), nil, three[:30], false, 0, 1},
		{"broken, resumable", "/talk/1", events(1, 2, false), events(3, 3, true), three, true, 0, 2},
		{"broken twice, resumable", "/talk/1", events(1, 1, false), events(2, 2, false), three[:30], false, 0, 2},
		{"resumed with an event again", "/talk/1", events(1, 2, false), events(2, 3, true), three[:30], false, 0, 2},
		{"events out of order", "/chat/1", func(ctx context.Context, s *sent) (*Answer, error) {
			response, _ := events(1, 2, true)(ctx, s)
			response.Body = struct {
				*strings.Reader
				nothing
			}{strings.NewReader("id: 1\ndata: x\n\nid: 1\ndata: x\n\n"), nothing{}}
			return response, nil
		}, nil, three[:15], false, 0, 1},
		{"lost before the first event", "/chat/1", loses, nil, "", false, 502, 1},
		{"lost before the first event, resumable", "/talk/1", loses, events(1, 3, true), three, true, 0, 2},
		{"ended without an event", "/chat/1", events(1, 0, true), nil, "", false, 502, 1},
		{"refused", "/chat/1", refuses, events(1, 3, true), three, true, 0, 2},
		{"a failure of its own", "/chat/1", fails, nil, "", false, 500, 1},
		{"a failure of its own, resumable", "/talk/1", fails, events(1, 3, true), three, true, 0, 2},
		{"a failure of its own and a broken stream", "/talk/1", fails, events(1, 2, false), three[:30], false, 0, 2},
		{"a failure of its own and none", "/talk/1", fails, events(1, 0, true), "", false, 500, 2},
		{"two failures of their own", "/talk/1", fails, fails, "", false, 500, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			b.engines()
			both := []behavior{c.first, c.second}
			b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
				does := both[0]
				both = both[1:]
				return does(ctx, s)
			}
			got := b.serve(t.Context(), prompt(c.path, 100, 10))
			assert.Equal(t, c.events, got.events.String(), c.name)
			assert.Equal(t, c.ended, got.ended, c.name)
			assert.Len(t, b.fleet.sent, c.sends, c.name)
			if c.status != 0 {
				require.Len(t, got.answered, 1, c.name)
				assert.Equal(t, c.status, got.answered[0].Status, c.name)
			} else {
				assert.Empty(t, got.answered, c.name)
			}
			if c.sends == 2 && strings.HasPrefix(c.name, "broken") {
				assert.NotEmpty(t, b.fleet.sent[1].call.After, c.name)
			}
		})
	}
}

type nothing struct{}

func (nothing) Close() error { return nil }

func TestCallersOwnResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		b.fleet.usual = events(4, 5, true)
		r := prompt("/talk/1", 100, 10)
		r.After = "3"
		got := b.serve(t.Context(), r)
		assert.True(t, got.ended)
		assert.Equal(t, "3", b.fleet.sent[0].call.After)
	})
}

func TestCallerThatDoesNotReadEndsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		c := &caller{fail: errors.New("gone")}
		b.Broker.Serve(t.Context(), prompt("/talk/1", 100, 10), c)
		assert.False(t, c.ended)
		assert.Len(t, b.fleet.sent, 1)
	})
}

// Requests that take a slot for long leave places for those that do not.
func TestLongRequestsLeavePlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
			if s.call.Request.Output > longOutput {
				return paced(40, 100*time.Millisecond)(ctx, s)
			}
			return events(1, 2, true)(ctx, s)
		}
		for range 60 {
			go b.serve(t.Context(), prompt("/chat/1", 100, 5000))
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		got := b.serve(t.Context(), prompt("/talk/1", 100, 10))
		assert.True(t, got.ended)
		assert.Zero(t, time.Since(began))
	})
}

// Those who can still meet their aim go before those who cannot.
func TestLateRequestsWaitForThoseInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	in := &waiter{need: need{startBy: now.Add(1)}, since: now}
	late := &waiter{need: need{startBy: now.Add(-1)}, since: now.Add(-time.Second)}
	urgent := &waiter{need: need{startBy: now.Add(1), priority: -1}, since: now}
	earlier := &waiter{need: need{startBy: now.Add(1)}, since: now.Add(-time.Millisecond)}
	assert.True(t, in.before(late, now))
	assert.False(t, late.before(in, now))
	assert.True(t, urgent.before(in, now))
	assert.True(t, earlier.before(in, now))
}

func TestExpiredWaitersLeaveTheLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.fleet.usual = hangs
		for range 40 {
			go b.serve(t.Context(), request("/write/1"))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		q := b.queue(queueKey{service: "plain"})
		assert.Empty(t, q.waiting)
		assert.Empty(t, q.permits)
		assert.Zero(t, b.Usage.Look(time.Now(), roster.Server{ID: "a", Born: 1}).Running)
	})
}

// The places are shared by what each process has; all processes together take
// about as many as there are, however old their news are.
func TestPlacesAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view{capacity: 12}
	v.peerLoad.Waiting, v.peerLoad.Running = 10, 10
	taken := func(count int) *queue {
		q := &queue{permits: map[*permit]bool{}, waiting: make([]*waiter, 1)}
		for range count {
			q.permits[&permit{}] = true
		}
		return q
	}
	assert.False(t, taken(3).mayAcquire(now, v, 1), "5 of 25 is 2.4 places")
	assert.True(t, taken(0).mayAcquire(now, v, 1))
	v.peerLoad.Waiting, v.peerLoad.Running = 0, 1
	assert.True(t, taken(9).mayAcquire(now, v, 1), "the others need one")
	assert.False(t, taken(12).mayAcquire(now, v, 1))

	v.capacity = 40
	v.peerLoad.Running = 99
	sum := 0
	for process := range uint64(100) {
		for slot := range 50 {
			q := &queue{}
			if q.mayAcquire(now.Add(time.Duration(slot)*shareInterval), v, process) {
				sum++
			}
		}
	}
	assert.InDelta(t, 40*50, sum, 150, "100 processes with one request each")
}

// Whatever the backend servers do, a request that must not be repeated runs at
// most once, a refusal is true, and an answer is whole.
func TestPromisesHoldWhateverServersDo(t *testing.T) {
	behaviors := []behavior{
		good, fails, refuses, replaced, unsealed, unreachable, loses, hangs, cuts,
		takes(50*time.Millisecond, good), takes(900*time.Millisecond, loses), takes(300*time.Millisecond, refuses),
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 6, 6).Draw(rt, "plan")
		path := rapid.SampledFrom([]string{"/read/1", "/write/1", "/once/1"}).Draw(rt, "path")
		gone := rapid.IntRange(0, 3000).Draw(rt, "gone")
		leave := rapid.Bool().Draw(rt, "leave")
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			for i, does := range plan {
				id := []string{"a", "b"}[i%2]
				b.fleet.does[id] = append(b.fleet.does[id], behaviors[does])
			}
			if leave {
				time.AfterFunc(20*time.Millisecond, func() { b.leave("a") })
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(gone)*time.Millisecond)
			defer cancel()
			got := b.serve(ctx, request(path))
			require.NoError(t, judge(b, path, got))
		})
	})
}

func judge(b *bed, path string, got *caller) error {
	attempts := 2
	if path == "/once/1" {
		attempts = 1
	}
	runs := b.fleet.runs()
	switch {
	case len(got.answered) > 1:
		return fmt.Errorf("%d answers", len(got.answered))
	case path != "/read/1" && runs > 1:
		return fmt.Errorf("%d runs", runs)
	case b.fleet.arrived() > attempts:
		return fmt.Errorf("%d sendings", len(b.fleet.sent))
	case len(got.answered) == 0:
		return nil
	}
	reply := got.answered[0]
	switch {
	case reply.Status == 503 && runs > 0:
		return fmt.Errorf("refused, but ran %d times", runs)
	case reply.Status == 503 && reply.RetryAfter == 0:
		return errors.New("refused without a time to come back")
	case reply.Status == 200 && string(reply.Body) != "ok r1":
		return fmt.Errorf("answer %q", reply.Body)
	case reply.Status < 500 && reply.Status != 200:
		return fmt.Errorf("status %d", reply.Status)
	}
	return nil
}

// A backend server that says nothing any more gets nothing new, and what may be
// repeated goes on elsewhere; what may not waits for its answer.
func TestStalledServer(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		took   time.Duration
	}{
		{"/read/1", 200, usage.Stall + tick},
		{"/write/1", 504, time.Second},
		{"/once/1", 504, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go b.tick(ctx)
			b.fleet.does["a"] = []behavior{hangs, hangs, hangs}
			b.leave("b")
			b.add("c", "plain", "")
			b.leave("c")
			began := time.Now()
			var got *caller
			done := make(chan struct{})
			go func() {
				got = b.serve(ctx, request(c.path))
				close(done)
			}()
			time.Sleep(usage.Stall - 10*time.Millisecond)
			b.add("d", "plain", "")
			<-done
			require.Len(t, got.answered, 1, c.path)
			assert.Equal(t, c.status, got.answered[0].Status, c.path)
			assert.LessOrEqual(t, got.at.Sub(began), c.took+tick, c.path)
		})
	}
}

func TestStalledServerGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.tick(ctx)
		b.fleet.does["a"] = []behavior{hangs, hangs, hangs, hangs, hangs, hangs, hangs, hangs}
		for range 4 {
			go b.serve(ctx, request("/write/1"))
		}
		time.Sleep(usage.Stall + 2*tick)
		before := strings.Count(b.fleet.to(), "a")
		for range 20 {
			assert.Equal(t, 200, b.serve(ctx, request("/write/1")).answered[0].Status)
		}
		assert.Equal(t, before, strings.Count(b.fleet.to(), "a"))
	})
}

// Requests that hang at a stalled server do not make the line look longer.
func TestStalledServerDoesNotRefuseOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.tick(ctx)
		b.fleet.usual = takes(20*time.Millisecond, good)
		for range 12 {
			b.fleet.does["a"] = append(b.fleet.does["a"], hangs)
		}
		results := make(chan int, 200)
		for range 200 {
			go func() { results <- b.serve(ctx, request("/write/1")).answered[0].Status }()
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

// A line learns from its own kind of work only: a short request is not refused
// because long ones take their places for seconds.
func TestLinesLearnApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.tick(ctx)
		b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
			if s.call.Request.Output > longOutput {
				return paced(30, 100*time.Millisecond)(ctx, s)
			}
			return takes(10*time.Millisecond, events(1, 2, true))(ctx, s)
		}
		for range 40 {
			go b.serve(ctx, prompt("/talk/1", 100, 5000))
			time.Sleep(100 * time.Millisecond)
		}
		results := make(chan bool, 40)
		for range 40 {
			go func() { results <- b.serve(ctx, prompt("/chat/1", 100, 10)).ended }()
		}
		for range 40 {
			assert.True(t, <-results)
		}
	})
}

func TestReadingsFollowTheRoles(t *testing.T) {
	engines := func(prefills, decodes int) []roster.Server {
		list := make([]roster.Server, prefills+decodes)
		for i := range list {
			list[i].Role = roster.Decode
			if i < prefills {
				list[i].Role = roster.Prefill
			}
		}
		return list
	}
	for _, c := range []struct{ prefills, decodes, want int }{{3, 6, 2}, {2, 7, 3}, {7, 21, 2}, {0, 9, 4}, {9, 0, 2}, {1, 1, 2}} {
		assert.Equal(t, c.want, localPrefillLimit(engines(c.prefills, c.decodes)), "%d and %d", c.prefills, c.decodes)
	}
}

// At a planned stop a request is taken only if its time is up before the end;
// the others are told that they have not run. None is cut.
func TestClosing(t *testing.T) {
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
			b := newBed(t)
			b.engines()
			began := time.Now()
			b.Close(began.Add(2500*time.Millisecond), began.Add(7500*time.Millisecond))
			time.Sleep(c.after)
			b.fleet.usual = good
			if strings.HasPrefix(c.path, "/chat") {
				b.fleet.usual = events(1, 3, true)
			}
			got := b.serve(t.Context(), prompt(c.path, 100, 10))
			if c.status == 0 {
				assert.True(t, got.ended, "%s after %v", c.path, c.after)
				return
			}
			require.Len(t, got.answered, 1)
			assert.Equal(t, c.status, got.answered[0].Status, "%s after %v", c.path, c.after)
			assert.Equal(t, c.status == 503, got.answered[0].RetryAfter > 0)
		})
	}
}

// Where no other backend server could take the request, silence is no reason to
// end its sending: the answer may still come.
func TestStalledServerIsWaitedForIfItIsTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go b.tick(ctx)
		b.leave("b")
		b.fleet.usual = takes(usage.Stall+300*time.Millisecond, good)
		got := b.serve(ctx, request("/read/1"))
		require.Len(t, got.answered, 1)
		assert.Equal(t, 200, got.answered[0].Status)
		assert.Len(t, b.fleet.sent, 1)
	})
}
