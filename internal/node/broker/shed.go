package broker

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// With Admission CostToCallers the waiters of a queue are kept in order of shed.Rank.
// An arrival that no waiter precedes takes a free permit at once; else it is inserted,
// and shed.Choose says who is rejected. Ranks change with time, and are computed anew at
// each Dispatch.

// caller is what the order by cost to callers needs of a request.
type caller struct {
	// route is empty if the request is a peer's.
	route     string
	account   string
	output    int
	returning bool
	deadline  time.Time
}

// cost is the state of a waiter in the order by cost to callers.
type cost struct {
	work   shed.Work
	member shed.Member
	rank   float64
}

// shedding is the state of a queue with the order by cost to callers.
type shedding struct {
	stage shed.Stage
	// works and refuse are reused.
	works  []*shed.Work
	refuse []int
}

// shedError is the rejection of a request. It is an errOverloaded.
type shedError struct {
	reason string
	// rank is that of the request, preferred that of the last one that is served
	// before it, 0 if there is none.
	rank, preferred float64
	// wait is the time in which the requests that wait are predicted to be served.
	wait time.Duration
}

// Error returns the reason and the ranks.
func (e *shedError) Error() string {
	return fmt.Sprintf("shed: %s: rank %.4f, preferred %.4f", e.reason, e.rank, e.preferred)
}

// Unwrap returns errOverloaded.
func (e *shedError) Unwrap() error { return errOverloaded }

// The reasons of a shedError, in the metrics Shed.REASON.
const (
	// shedUseless is a request that can't be served before its deadline, or not
	// before a retry would be better.
	shedUseless = "Useless"
	// shedArrival is an arrival that would start too late.
	shedArrival = "Arrival"
	// shedWaiting is a request that has waited, and others precede it now.
	shedWaiting = "Waiting"
)

// lateWaitShare is the share of the time to the deadline that a request may wait for a
// permit once it misses its latency target. Its client retries within a third of what is
// left then.
const lateWaitShare = 0.25

// maxWorkTokens bounds the work of a request, in tokens: clients state their numbers of tokens
// themselves, and an excessive one would outweigh the use of all accounts for minutes. It is more
// than the KV cache of a known engine holds.
const maxWorkTokens = 1 << 21

// holdRetention is for how long the mean hold time of a route is used without a new sample even if
// that of the queue is shorter. A route of which all requests are rejected gets no sample, so that
// its mean would reject them after the backend servers have become faster.
const holdRetention = 10 * time.Second

// byCost reports whether requests are ordered by their cost to callers.
func (b *Broker) byCost() bool { return b.Admission == shed.CostToCallers }

// accountName returns the name of the client account, empty if there is none.
func (j *job) accountName() string { return j.account.Name }

// caller returns what the order by cost to callers needs of the request, nil if that
// isn't used.
func (j *job) caller() *caller {
	b := j.broker
	if !b.byCost() {
		return nil
	}
	if j.cachedCaller == nil {
		b.mu.Lock()
		returning := b.returns.Returned(time.Now(), j.request.content)
		b.mu.Unlock()
		j.cachedCaller = &caller{route: j.route.Name, account: j.accountName(), output: j.request.MaxOutputTokens, returning: returning, deadline: j.deadline}
	}
	return j.cachedCaller
}

// longestWait returns the longest wait from now that may be useful.
func (n need) longestWait(now time.Time) time.Duration {
	if n.caller == nil {
		return n.maxWait
	}
	return max(n.maxWait, time.Duration(lateWaitShare*float64(n.caller.deadline.Sub(now))))
}

// serviceTime returns for how long a request is predicted to hold a permit of the queue: the mean of
// its route, or that of the queue while the route's is not known. The queue's alone would reject a
// route with short deadlines whose requests take less time than the others. b.mu must be held.
func (b *Broker) serviceTime(now time.Time, n need, q *queue) time.Duration {
	seconds := q.expectedHold()
	if n.caller != nil {
		if own, known := b.routeHolds[n.caller.route]; known {
			if now.Sub(own.at) > holdRetention {
				own.mean = min(own.mean, seconds)
			}
			seconds = own.mean
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// newCost returns the cost of a waiter. b.mu must be held.
func (b *Broker) newCost(w *waiter, q *queue) *cost {
	n := w.need
	c := &cost{work: shed.Work{
		Priority: n.priority, Target: n.target, Units: float64(n.size()), Begun: n.begun, StartBy: w.since.Add(n.maxWait),
	}}
	if n.startBy.Before(c.work.StartBy) {
		c.work.StartBy = n.startBy
	}
	if n.software.limited() {
		// It leaves the other backend servers free.
		c.work.Units = 0
	}
	uncached := n.prompt.Own + n.prompt.Shared
	service := b.serviceTime(w.since, n, q)
	if n.key.prefills() {
		_, held := b.kept.Holder(n.chain, 0, b.engineSet(w.since, n.key.service).fetchable)
		uncached -= held
		service = b.startTime(n.key.service)
	}
	if n.begun {
		uncached, service = 0, 0
	}
	if n.caller == nil {
		c.work.Latest = w.since.Add(n.maxWait)
		return c
	}
	c.work.Account, c.work.Returning = n.caller.account, n.caller.returning
	if uncached > 0 || n.caller.output > 0 {
		c.work.Tokens = min(shed.Tokens(uncached, n.caller.output), maxWorkTokens)
	}
	c.work.Latest = n.caller.deadline.Add(-service)
	if end := w.since.Add(n.longestWait(w.since)); !n.begun && end.Before(c.work.Latest) {
		c.work.Latest = end
	}
	return c
}

// admitByCost issues a permit to the waiter, or enqueues it and rejects those that have
// no room then. b.mu must be held.
func (b *Broker) admitByCost(w *waiter, q *queue, v views) {
	if q.shedding == nil {
		q.shedding = &shedding{}
	}
	w.cost = b.newCost(w, q)
	stage := &q.shedding.stage
	if w.since.After(w.cost.work.Latest) {
		b.admitLate(w, q, v)
		return
	}
	w.cost.member = stage.Arrive(w.since, &w.cost.work)
	if len(q.waiting) > 0 {
		w.assess(w.since, stage)
	}
	at, first := q.position(w)
	if first {
		if p := b.tryAcquire(w.since, w, v); p != nil {
			q.countServed(w.since, w)
			w.deliver(p, nil)
			return
		}
	}
	if len(q.waiting) == 0 {
		w.assess(w.since, stage)
	}
	q.waiting = slices.Insert(q.waiting, at, w)
	b.shedQueue(w.since, q, w, v)
	w.cost.work.StartBy = w.cost.work.StartBy.Add(waitSlack)
}

// admitLate issues a permit to an arrival that is predicted to miss its deadline if there is
// capacity that nobody waits for, else rejects it. The prediction may be from the mean time of
// all requests of the queue: without this, requests of a new route with short deadlines among
// long ones would all be rejected beside idle servers. b.mu must be held.
func (b *Broker) admitLate(w *waiter, q *queue, v views) {
	if q.servesLate(w) {
		if p := b.tryAcquire(w.since, w, v); p != nil {
			w.cost.member = q.shedding.stage.Arrive(w.since, &w.cost.work)
			q.countServed(w.since, w)
			w.deliver(p, nil)
			return
		}
	}
	b.shed(w, &shedError{reason: shedUseless})
}

// servesLate reports whether an arrival that is predicted to miss its deadline may be served
// all the same if a permit is free.
func (q *queue) servesLate(w *waiter) bool {
	c := w.need.caller
	return len(q.waiting) == 0 && c != nil && w.since.Before(c.deadline)
}

// position returns where an arrival is to be inserted, and whether none of those before
// competes with it.
func (q *queue) position(w *waiter) (at int, first bool) {
	// Those that wait have got waitSlack: without it an arrival would go before its equals.
	startBy := w.cost.work.StartBy
	w.cost.work.StartBy = startBy.Add(waitSlack)
	defer func() { w.cost.work.StartBy = startBy }()
	at, _ = slices.BinarySearchFunc(q.waiting, w, func(o, w *waiter) int {
		if w.ranksBefore(o) {
			return 1
		}
		return -1
	})
	return at, !slices.ContainsFunc(q.waiting[:at], func(o *waiter) bool { return w.need.competes(o.need) })
}

// assess computes the rank of a waiter.
func (w *waiter) assess(now time.Time, stage *shed.Stage) {
	stage.Assess(now, &w.cost.work, w.cost.member)
	w.cost.rank = shed.Rank(&w.cost.work, now)
}

// ranksBefore reports whether w is served before o: resumed streams first, and then by
// rank.
func (w *waiter) ranksBefore(o *waiter) bool {
	if w.need.software.bound != o.need.software.bound {
		return w.need.software.bound
	}
	if w.cost == nil || o.cost == nil {
		return w.since.Before(o.since)
	}
	return shed.Before(&w.cost.work, w.cost.rank, &o.cost.work, o.cost.rank)
}

// countServed counts that a waiter has got its permit.
func (q *queue) countServed(now time.Time, w *waiter) {
	if w.cost != nil {
		q.shedding.stage.Serve(now, &w.cost.work, w.cost.member)
	}
}

// rankWaiting computes the ranks of all waiters and sorts them.
func (q *queue) rankWaiting(now time.Time) {
	for _, w := range q.waiting {
		if w.cost != nil {
			w.assess(now, &q.shedding.stage)
		}
	}
	slices.SortStableFunc(q.waiting, func(w, o *waiter) int {
		switch {
		case w.ranksBefore(o):
			return -1
		case o.ranksBefore(w):
			return 1
		}
		return 0
	})
}

// shedLate rejects the waiters that have no room. b.mu must be held.
func (b *Broker) shedLate(now time.Time, q *queue) {
	if len(q.waiting) == 0 {
		return
	}
	typical := q.waiting[max(slices.IndexFunc(q.waiting, func(w *waiter) bool { return !w.need.software.limited() }), 0)]
	b.shedQueue(now, q, nil, b.views(now, typical))
}

// shedQueue rejects the waiters that have no room. arrival is the one that has just
// arrived; nil if there is none. b.mu must be held.
func (b *Broker) shedQueue(now time.Time, q *queue, arrival *waiter, v views) {
	if q.shedding == nil {
		q.shedding = &shedding{}
	}
	s := q.shedding
	first := q.firstUnbound()
	s.works = s.works[:0]
	for _, w := range q.waiting[first:] {
		s.works = append(s.works, &w.cost.work)
	}
	s.refuse = s.refuse[:0]
	rate := 0.0
	if len(s.works) > 0 {
		var ahead int
		rate, ahead = b.ownRate(q, q.waiting[first].need, v)
		s.refuse = shed.Choose(now, s.works, s.stage.Room(now, rate, float64(ahead)), s.refuse)
	}
	clear(s.works)
	b.refuseChosen(now, q, first, arrival, rate)
}

// firstUnbound returns the index of the first waiter that is no resumed stream, or the
// number of waiters if there is none.
func (q *queue) firstUnbound() int {
	if first := slices.IndexFunc(q.waiting, func(w *waiter) bool { return !w.need.software.bound }); first >= 0 {
		return first
	}
	return len(q.waiting)
}

// ownRate returns how many units per second are completed for the waiters of the queue,
// and how many units are ahead of them. Without a coordinator each process orders its own
// waiters, and gets permits in proportion to them (see mayAcquire). b.mu must be held.
func (b *Broker) ownRate(q *queue, n need, v views) (rate float64, ahead int) {
	rate = v.throughput(n)
	if b.coordinates(n.key) {
		return rate, v.first.peerLoad.Waiting
	}
	own := float64(q.held + q.waitingUnits())
	return rate * own / max(own+float64(v.first.peerLoad.Running+v.first.peerLoad.Waiting), 1), 0
}

// refuseChosen rejects the waiters that shedQueue has chosen, whose indices count from
// first, and the resumed streams before that have waited too long. b.mu must be held.
func (b *Broker) refuseChosen(now time.Time, q *queue, first int, arrival *waiter, rate float64) {
	kept, refuse := q.waiting[:0], q.shedding.refuse
	wait := expectedWait(q.waitingUnits(), rate)
	preferred := 0.0
	for i, w := range q.waiting {
		switch {
		case i < first:
			if now.Sub(w.since) > w.need.maxWait+waitSlack {
				w.deliver(nil, errOverloaded)
				continue
			}
		case len(refuse) > 0 && refuse[0] == i-first:
			refuse = refuse[1:]
			reason := shedWaiting
			switch {
			case now.After(w.cost.work.Latest):
				reason = shedUseless
			case w == arrival:
				reason = shedArrival
			}
			b.shed(w, &shedError{reason: reason, rank: w.cost.rank, preferred: preferred, wait: wait})
			continue
		default:
			preferred = w.cost.rank
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// shed rejects a waiter.
func (b *Broker) shed(w *waiter, err *shedError) {
	b.Meters.Add("Shed."+err.reason, 1)
	w.deliver(nil, err)
}

// serveByRank serves the queues, the one first whose first waiter has the highest rank.
// b.mu must be held.
func (b *Broker) serveByRank(now time.Time, keys []queueKey) {
	head := func(key queueKey) *waiter {
		if q, ok := b.queues[key]; ok && len(q.waiting) > 0 {
			return q.waiting[0]
		}
		return nil
	}
	keys = slices.DeleteFunc(keys, func(key queueKey) bool { return head(key) == nil })
	slices.SortStableFunc(keys, func(x, y queueKey) int {
		switch w, o := head(x), head(y); {
		case w.ranksBefore(o):
			return -1
		case o.ranksBefore(w):
			return 1
		}
		return 0
	})
	for _, key := range keys {
		b.serveIfWaiting(now, key)
	}
}

// shedReason returns the reason of a rejection for lack of capacity, and keeps what the
// log and Retry-After need of it.
func (j *job) shedReason(cause error) Reason {
	if !j.broker.byCost() {
		return overloaded
	}
	var e *shedError
	if errors.As(cause, &e) {
		j.shedWait = e.wait
		j.stages = append(j.stages, zap.String("Shed", e.reason), zap.Float64("Rank", e.rank), zap.Float64("Preferred", e.preferred))
	}
	return rejectedByCost
}

// shedRetryAfter returns when a rejected client should retry, and records the rejection.
func (j *job) shedRetryAfter() time.Duration {
	b := j.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	after := shed.RetryAfter(j.shedWait, j.deadline.Sub(now), b.nextRandom())
	b.returns.Rejected(now, j.request.content, after)
	b.Meters.Observe("RetryAfter", after)
	return after
}
