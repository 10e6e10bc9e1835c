package broker

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// demand is a kind of permit request that peers send to a coordinator.
type demand struct {
	label     string
	accounts  int
	perSecond float64
	request   PermitRequest
	// largest is the size of the largest prompt if sizes differ; most are small.
	largest int
	// retries is how often a rejected request comes again, after the time wait.
	retries int
	wait    time.Duration
}

// longPrompts are prompts of 9,190 tokens, of which 2,890 aren't shared: the engine does 103
// a second. shortStreams have prompts of 600 tokens.
func longPrompts(label string, perSecond float64, priority int) demand {
	return newDemand(label, perSecond, PermitRequest{OwnTokens: 2890, OutputTokens: 2, Priority: priority, Target: 200 * time.Millisecond, TimeLeft: 2 * time.Second})
}

func shortStreams(perSecond float64, priority int) demand {
	return newDemand("short", perSecond, PermitRequest{OwnTokens: 600, OutputTokens: 72, Priority: priority, Target: 120 * time.Millisecond, TimeLeft: 15 * time.Second})
}

func newDemand(label string, perSecond float64, r PermitRequest) demand {
	r.Service, r.Chain, r.StartWithin, r.MaxWait = "model", []kept.Part{{Hash: 5, Tokens: 6300}}, r.Target, time.Duration(maxPrefillWaitShare*float64(r.Target))
	return demand{label: label, perSecond: perSecond, request: r, retries: 1, wait: 500 * time.Millisecond}
}

// engineRate is the speed of the engine, in tokens per second.
const engineRate = 300e3

// results say what callers got by label, by account, in "all" and of the "largest" tenth.
type results map[string]*result

type result struct{ all, served, onTime float64 }

// of returns which share of the requests was served, and on time.
func (r results) of(key string) (served, onTime float64) {
	return r[key].served / r[key].all, r[key].onTime / r[key].all
}

func (r results) add(key string, served, onTime float64) {
	if r[key] == nil {
		r[key] = &result{}
	}
	r[key].all++
	r[key].served += served
	r[key].onTime += onTime
}

// stand plays the peers of a coordinator and its one prefill engine, which does one prompt
// after the other.
type stand struct {
	*fixture
	mu      sync.Mutex
	free    time.Time
	number  uint64
	answers map[uint64]chan PermitGrant
	results results
}

func newStand(t testing.TB, policy shed.Policy) *stand {
	s := &stand{fixture: newFixture(t), answers: map[uint64]chan PermitGrant{}, results: results{}}
	s.Admission, s.Coordination = policy, s
	s.addServer("p1", "model", roster.Prefill)
	return s
}

func (*stand) Request(string, PermitRequest) {}
func (*stand) Release(string, PermitRelease) {}

func (s *stand) Grant(_ string, g PermitGrant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.Status != Queued {
		s.answers[g.Number] <- g
	}
}

// ask sends a permit request and returns when its prefill is done; false if it was
// rejected.
func (s *stand) ask(r PermitRequest) (end time.Time, granted bool) {
	answer := make(chan PermitGrant, 1)
	s.mu.Lock()
	s.number++
	r.Number = s.number
	s.answers[r.Number] = answer
	s.mu.Unlock()
	s.HandleRequest("peer", r)
	if g := <-answer; g.Status != Granted {
		return end, false
	}
	s.mu.Lock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(r.OwnTokens) / engineRate * float64(time.Second)))
	end = s.free
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	s.HandleRelease("peer", PermitRelease{Number: r.Number, Verdict: usage.OK, Prefilled: true})
	return end, true
}

// serveOne plays one client's request with its retries, and counts it for the keys.
func (s *stand) serveOne(d demand, r PermitRequest, keys ...string) {
	deadline, target := time.Now().Add(r.TimeLeft), time.Now().Add(r.Target)
	served, onTime := 0.0, 0.0
	for range d.retries + 1 {
		r.TimeLeft = time.Until(deadline)
		if end, ok := s.ask(r); ok {
			if !end.After(deadline) {
				served = 1
			}
			if !end.After(target) {
				onTime = 1
			}
			break
		}
		r.Returning = true
		time.Sleep(d.wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.results.add(key, served, onTime)
	}
}

// play offers the demands to a coordinator with the policy for the time.
func play(t *testing.T, policy shed.Policy, length time.Duration, demands ...demand) results {
	var s *stand
	synctest.Test(t, func(t *testing.T) {
		s = newStand(t, policy)
		go s.tick(t.Context())
		var done sync.WaitGroup
		for i, d := range demands {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			done.Go(func() {
				for end := time.Now().Add(length); time.Now().Before(end); {
					time.Sleep(time.Duration(random.ExpFloat64() / d.perSecond * float64(time.Second)))
					r, keys := d.request, []string{"all", d.label}
					if d.accounts > 0 {
						r.Account = fmt.Sprint(d.label, random.IntN(d.accounts))
						keys = append(keys, r.Account)
					}
					if x := random.Float64(); d.largest > 0 {
						r.OwnTokens += int(x * x * x * float64(d.largest-r.OwnTokens))
						if x > 0.9 {
							keys = append(keys, "largest")
						}
					}
					done.Go(func() { s.serveOne(d, r, keys...) })
				}
			})
		}
		done.Wait()
	})
	return s.results
}

// both plays the demands with both policies and logs what callers got.
func both(t *testing.T, demands ...demand) (byCost, byArrival results) {
	const length = 15 * time.Second
	byCost, byArrival = play(t, shed.CostToCallers, length, demands...), play(t, shed.Arrival, length, demands...)
	for _, key := range slices.Sorted(maps.Keys(byCost)) {
		if r := byCost[key]; r.all > 200 {
			served, onTime := byCost.of(key)
			before, onTimeBefore := byArrival.of(key)
			t.Logf("%s: served %.2f, on time %.2f; by arrival %.2f, %.2f", key, served, onTime, before, onTimeBefore)
		}
	}
	return byCost, byArrival
}

// TestOverloadOfTwoRanks guards against requests that are served less often than less
// urgent ones, and against a kind that is starved, whichever kind is the more urgent.
func TestOverloadOfTwoRanks(t *testing.T) {
	for _, load := range []float64{1.5, 2.5} {
		for _, priorities := range []map[string]int{{"short": 0, "long": 1}, {"short": 1, "long": 0}} {
			t.Run(fmt.Sprint(priorities, " load ", load), func(t *testing.T) {
				byCost, byArrival := both(t, longPrompts("long", 103*load*0.95, priorities["long"]), shortStreams(500*load*0.05, priorities["short"]))
				long, _ := byCost.of("long")
				short, _ := byCost.of("short")
				all, onTime := byCost.of("all")
				_, before := byArrival.of("all")
				assert.Equal(t, priorities["short"] < priorities["long"], short > long)
				assert.GreaterOrEqual(t, min(long, short), all/4)
				assert.Greater(t, onTime, before)
			})
		}
	}
}

// TestOverloadOfLargePrompts guards against large prompts that are starved by an order that
// prefers small ones.
func TestOverloadOfLargePrompts(t *testing.T) {
	mixed := newDemand("mixed", 200, PermitRequest{OwnTokens: 600, Target: 200 * time.Millisecond, TimeLeft: 2 * time.Second})
	mixed.largest = 9000
	byCost, byArrival := both(t, mixed)
	large, _ := byCost.of("largest")
	served, onTime := byCost.of("all")
	_, before := byArrival.of("all")
	assert.GreaterOrEqual(t, large, served/2)
	assert.Greater(t, onTime, before)
}

// TestOverloadOfFewAccounts guards against many small accounts that get less since few
// others send ten times as much, and against an account that gets nothing.
func TestOverloadOfFewAccounts(t *testing.T) {
	small, large := longPrompts("small", 206.0*60/90, 0), longPrompts("large", 206.0*30/90, 0)
	small.accounts, large.accounts = 60, 3
	byCost, byArrival := both(t, small, large)
	served, _ := byCost.of("small")
	before, _ := byArrival.of("small")
	all, _ := byCost.of("all")
	allBefore, _ := byArrival.of("all")
	assert.Greater(t, served, 1.2*before)
	assert.GreaterOrEqual(t, all, 0.95*allBefore, "no capacity is idle")
	for account := range 3 {
		got, _ := byCost.of(fmt.Sprint("large", account))
		assert.GreaterOrEqual(t, got, all/4, "account %d", account)
	}
}

// TestImpatientClients guards against clients that retry three times without waiting, and
// so push out those that do wait.
func TestImpatientClients(t *testing.T) {
	impatient, patient := longPrompts("impatient", 100, 0), longPrompts("patient", 100, 0)
	impatient.retries, impatient.wait = 3, time.Millisecond
	byCost, byArrival := both(t, impatient, patient)
	_, onTime := byCost.of("patient")
	_, before := byArrival.of("patient")
	_, other := byCost.of("impatient")
	assert.Greater(t, onTime, before)
	assert.GreaterOrEqual(t, onTime, 0.9*other)
}

// TestNothingIsShedWithRoom guards against rejections while there is capacity.
func TestNothingIsShedWithRoom(t *testing.T) {
	served, onTime := play(t, shed.CostToCallers, 10*time.Second, longPrompts("long", 50, 3), shortStreams(20, 0)).of("all")
	assert.InDelta(t, 1, served, 0)
	assert.Greater(t, onTime, 0.99)
}

// TestPlainOverloadIsShed guards against rejections of a plain service that cost callers
// more than needed: urgent requests among others, and retries that come together.
func TestPlainOverloadIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Admission = shed.CostToCallers
		f.Table().Routes[0].Priority = 1
		f.fleet.fallback = delays(50*time.Millisecond, succeeds)
		go f.tick(t.Context())
		var mu sync.Mutex
		var done sync.WaitGroup
		served, waits := map[string]int{}, map[time.Duration]bool{}
		for i := range 2400 {
			path := []string{"/read/", "/once/"}[i%2]
			done.Go(func() {
				c := f.serve(t.Context(), newRequest(fmt.Sprint(path, i)))
				mu.Lock()
				defer mu.Unlock()
				if c.replies[0].Status == 200 {
					served[path]++
					return
				}
				waits[c.replies[0].RetryAfter] = true
				assert.Less(t, c.replies[0].RetryAfter, time.Second/3)
			})
			time.Sleep(time.Second / 640)
		}
		done.Wait()
		t.Log(served, len(waits), f.Meters.Value("Ended.Shed"))
		assert.Greater(t, served["/once/"], served["/read/"])
		assert.Greater(t, served["/read/"], (served["/read/"]+served["/once/"])/8)
		assert.Len(t, waits, int(f.Meters.Value("Ended.Shed")))
	})
}

// BenchmarkAdmission measures an arrival and its release in a queue of n waiters.
func BenchmarkAdmission(b *testing.B) {
	for _, policy := range []shed.Policy{shed.Arrival, shed.CostToCallers} {
		for _, n := range []int{0, 200} {
			b.Run(fmt.Sprint(policy, " ", n), func(b *testing.B) {
				s := newStand(b, policy)
				r := PermitRequest{Service: "model", OwnTokens: 100, Account: "a", Target: time.Hour, StartWithin: time.Hour, MaxWait: time.Hour, TimeLeft: time.Hour}
				for i := range n + 7 {
					r.Number = uint64(i)
					s.answers[r.Number] = make(chan PermitGrant, 1)
					if i < n+6 && n > 0 {
						s.HandleRequest("peer", r)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					s.HandleRequest("peer", r)
					s.HandleRelease("peer", PermitRelease{Number: r.Number, Verdict: usage.OK, Prefilled: true})
					select {
					case <-s.answers[r.Number]:
					default:
					}
				}
			})
		}
	}
}

// TestIdleServersServeShortDeadlines guards against rejections of all requests with short
// deadlines, for as long as they come, because others of the same service take longer: while
// servers are idle the prediction from the mean time says nothing about one request.
func TestIdleServersServeShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Admission = shed.CostToCallers
		f.fleet.fallback = delays(400*time.Millisecond, succeeds)
		go f.tick(t.Context())
		for range 40 {
			assert.Equal(t, 200, f.serve(t.Context(), newRequest("/read/slow")).replies[0].Status)
		}
		f.fleet.fallback = delays(10*time.Millisecond, succeeds)
		for i := range 3 {
			r := newRequest(fmt.Sprint("/read/", i))
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			assert.Equal(t, 200, f.serve(t.Context(), r).replies[0].Status)
		}
		r := newRequest("/read/late")
		r.Deadline = time.Now().Add(-time.Millisecond)
		assert.NotEqual(t, 200, f.serve(t.Context(), r).replies[0].Status)
	})
}

// TestClaimedTokensAreBounded guards against a client account that is preferred to all others, or
// ends the fair shares of all for minutes, by the number of output tokens that it claims.
func TestClaimedTokensAreBounded(t *testing.T) {
	f := newFixture(t)
	f.Admission = shed.CostToCallers
	now := time.Now()
	for _, output := range []int{1 << 40, 1 << 62} {
		var stage shed.Stage
		charge := func(account string, output int) *cost {
			w := &waiter{since: now, need: need{caller: &caller{account: account, output: output, deadline: now.Add(time.Minute)}}}
			f.mu.Lock()
			defer f.mu.Unlock()
			c := f.newCost(w, f.queue(queueKey{service: "plain"}))
			stage.Serve(now, &c.work, shed.Member{})
			return c
		}
		claims := charge("claims", output)
		used := charge("used", 10_000)
		stage.Assess(now, &claims.work, shed.Member{})
		assert.Greater(t, claims.work.Over, 1.0, "%d tokens", output)
		later := now.Add(time.Minute)
		for range 10 {
			stage.Serve(later, &used.work, shed.Member{})
		}
		stage.Assess(later, &used.work, shed.Member{})
		assert.Greater(t, used.work.Over, 1.0, "%d tokens", output)
	}
}

// TestShortDeadlinesAmongLongRequests guards against requests that are rejected as useless, while
// others wait, by a service time that is not theirs: their own is 10 ms, that of the others 400 ms.
func TestShortDeadlinesAmongLongRequests(t *testing.T) {
	const permits, short, long, deadline = 24, 10 * time.Millisecond, 400 * time.Millisecond, 150 * time.Millisecond
	for _, c := range []struct{ load, least float64 }{{0.8, 1}, {1.5, 0.7}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.Admission = shed.CostToCallers
			f.Table().Routes[2].Priority = 1
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				took := long
				if strings.HasPrefix(s.call.Request.Path, "/read/") {
					took = short
				}
				return delays(took, succeeds)(ctx, s)
			}
			go f.tick(t.Context())
			var done sync.WaitGroup
			var all, served atomic.Int64
			end := time.Now().Add(20 * time.Second)
			done.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					time.Sleep(time.Duration(float64(long) / (c.load*permits - 1)))
					done.Go(func() { f.serve(t.Context(), newRequest(fmt.Sprint("/once/", i))) })
				}
			})
			// Bursts of 20 are one permit in use on average, but find too few free.
			for i := 0; time.Now().Before(end); i++ {
				if i%20 == 0 {
					time.Sleep(20 * short)
				}
				done.Go(func() {
					r := newRequest(fmt.Sprint("/read/", i))
					r.Deadline = time.Now().Add(deadline)
					all.Add(1)
					if f.serve(t.Context(), r).replies[0].Status == 200 {
						served.Add(1)
					}
				})
			}
			done.Wait()
			useless := f.Meters.Value("Shed.Useless")
			t.Logf("load %.1f: %d of %d served, %d useless", c.load, served.Load(), all.Load(), useless)
			assert.Zero(t, useless)
			assert.GreaterOrEqual(t, float64(served.Load()), c.least*float64(all.Load()))
		})
	}
}

// TestRouteIsServedAgain guards against a route that is rejected for good by the mean time of its
// requests from when the backend servers were slow, since without a request the mean stays.
func TestRouteIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.recordHold("read", 2*time.Second)
		n := need{caller: &caller{route: "read"}}
		assert.Equal(t, 2*time.Second, f.serviceTime(time.Now(), n, f.queue(queueKey{service: "plain"})))
		time.Sleep(holdRetention + time.Millisecond)
		assert.Equal(t, 20*time.Millisecond, f.serviceTime(time.Now(), n, f.queue(queueKey{service: "plain"})))
		f.recordHold("read", 2*time.Second)
		assert.Equal(t, 2*time.Second, f.serviceTime(time.Now(), n, f.queue(queueKey{service: "plain"})))
	})
}
