package broker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// queue holds the requests that wait for a permit, and the permits issued.
type queue struct {
	waiting []*waiter
	// permits are those held by this process, and as coordinator also those
	// granted to peers.
	permits map[*permit]bool
	// holdTime is the moving average of the time that a permit is held,
	// heldTime the average time that the current permits have been held so far,
	// except at stalled backend servers. Both are in seconds.
	holdTime, heldTime float64
	// avgLoad is the moving average of the requests per backend server, waiting
	// ones included.
	avgLoad float64
	// held counts the units of the permits, granted those of the permits granted
	// to peers, remote those that this process holds from a coordinator.
	held, granted, remote int
	// shedding is set if requests are ordered by their cost to callers.
	shedding *shedding
}

// waiter is a request that waits for a permit.
type waiter struct {
	need need
	// alternative is a second queue whose permits can also serve the request;
	// nil if there is none.
	alternative *need
	since       time.Time
	// deliver receives the permit or the error. It is called at most once, with
	// b.mu held.
	deliver func(*permit, error)
	// requester is set if the request is a peer's.
	requester requester
	// cost is set if requests are ordered by their cost to callers.
	cost *cost
}

// need describes the permit that a request needs.
type need struct {
	key queueKey
	// prompt has the request's prompt; it is zero if there is none. affinity is
	// the weight of prefix locality against load for work other than prefills.
	prompt assign.Prompt
	// chain has the prompt's prefixes.
	chain    []kept.Part
	affinity float64
	// priority is the account's if it has one, else the route's; 0 is served first.
	priority int
	// startBy is when the request needs its permit to meet the latency target: at
	// the end of the target, and earlier by expectedStart for a prefill engine.
	startBy time.Time
	// target is the route's latency target.
	target time.Duration
	// gapTarget is the route's token gap target if the request is long work, else 0.
	gapTarget time.Duration
	// maxWait is the longest wait that is accepted.
	maxWait time.Duration
	// excluded has the IDs of the backend servers that must not be used.
	excluded map[string]bool
	// software restricts the backend servers to those that can go on with a stream,
	// but for prefill engines, which generate no events.
	software software
	// perSlot is the number of permits per slot of a backend server, over all
	// processes, for work other than prefills.
	perSlot float64
	// begun is set if the request's prefill has completed, so that a rejection would
	// waste it. caller is set if requests are ordered by their cost to callers.
	begun  bool
	caller *caller
}

// size returns the units of a permit that the request needs.
func (n need) size() int {
	if n.key.prefills() {
		return max(n.prompt.Own, 1)
	}
	return 1
}

// Errors of acquire.
var (
	errNoServer   = errors.New("no backend server is ready for this kind of request")
	errOverloaded = errors.New("the expected wait for a permit is too long")
)

const (
	// waitSlack is by how much a wait may exceed maxWait once the request is
	// queued.
	waitSlack = 30 * time.Millisecond
	// holdWeight is the EWMA weight of the newest hold or response time.
	holdWeight = 0.05
	// initialHold is the assumed hold time, in seconds, before the first permit
	// is released.
	initialHold = 0.02
)

// acquire waits for a permit that n describes, or for one of the alternative if
// that is not nil. The permit must be released. The error is errNoServer,
// errOverloaded or the cancellation cause of ctx.
func (b *Broker) acquire(ctx context.Context, n need, alternative *need) (*permit, error) {
	type delivery struct {
		permit *permit
		err    error
	}
	delivered := make(chan delivery, 1)
	w := &waiter{need: n, alternative: alternative, since: time.Now(), deliver: func(p *permit, err error) { delivered <- delivery{p, err} }}
	b.mu.Lock()
	b.admit(w)
	b.mu.Unlock()
	select {
	case d := <-delivered:
		return d.permit, d.err
	case <-ctx.Done():
	}
	b.withdraw(w)
	select {
	case d := <-delivered:
		if d.permit != nil {
			d.permit.release(usage.Result{})
		}
	default:
	}
	return nil, context.Cause(ctx)
}

// admit issues a permit to the waiter, rejects it, or enqueues it. b.mu must be
// held.
func (b *Broker) admit(w *waiter) {
	q := b.queue(w.need.key)
	v := b.arrivalViews(w)
	if v.first.usable == 0 {
		if b.pauseEnds(w) {
			q.waiting = slices.Insert(q.waiting, q.firstUnbound(), w)
			return
		}
		w.deliver(nil, errNoServer)
		return
	}
	if b.byCost() {
		b.admitByCost(w, q, v)
		return
	}
	if !q.hasAhead(w.need) {
		if p := b.tryAcquire(w.since, w, v); p != nil {
			w.deliver(p, nil)
			return
		}
	}
	if q.arrivalWait(w.need, v) > w.need.maxWait {
		w.deliver(nil, errOverloaded)
		return
	}
	q.waiting = append(q.waiting, w)
}

// arrivalViews evaluates the queues for an arrival. One that should begin at a version that
// can't serve it may begin at any. b.mu must be held.
func (b *Broker) arrivalViews(w *waiter) views {
	v := b.views(w.since, w)
	if w.need.software.restricted && (v.first.usable == 0 || v.first.ejected) {
		w.unrestrict()
		v = b.views(w.since, w)
	}
	return v
}

// arrivalWait returns the expected wait of an arrival, in the order of arrival.
func (q *queue) arrivalWait(n need, v views) time.Duration {
	ahead := q.ahead(n) + n.size()
	if !n.software.limited() {
		ahead += v.first.peerLoad.Waiting
	}
	return expectedWait(ahead, v.throughput(n))
}

// unrestrict allows backend servers of any version.
func (w *waiter) unrestrict() {
	w.need.software = software{}
	if w.alternative != nil {
		w.alternative.software = software{}
	}
}

// pauseEnds reports whether a backend server that can go on with a resumed stream wants
// no request now, but will before the wait is too long. b.mu must be held.
func (b *Broker) pauseEnds(w *waiter) bool {
	n, end := w.need, w.since.Add(w.need.maxWait)
	return n.software.bound && n.key.role != roster.Prefill && slices.ContainsFunc(b.Roster.Service(n.key.service), func(s roster.Server) bool {
		return s.Role == n.key.role && n.software.accepts(s) && !b.Usage.Get(end, s).Paused
	})
}

// withdraw removes a canceled waiter from its queue.
func (b *Broker) withdraw(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(w)
}

// remove is withdraw with b.mu held.
func (b *Broker) remove(w *waiter) {
	q := b.queue(w.need.key)
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
}

// add adds a permit to those of the queue.
func (q *queue) add(p *permit) {
	if q.permits == nil {
		q.permits = map[*permit]bool{}
	}
	q.permits[p] = true
	q.held += p.units
}

// waitingUnits returns the units that the waiters need.
func (q *queue) waitingUnits() int {
	sum := 0
	for _, w := range q.waiting {
		sum += w.need.size()
	}
	return sum
}

// expectedHold returns for how long, in seconds, a permit is expected to be
// held: the moving average, or the average age of the current permits if that
// is longer already.
func (q *queue) expectedHold() float64 { return max(q.holdTime, q.heldTime) }

// checkHeld updates the average age of the current permits. Those at stalled
// backend servers do not count. Their attempts are aborted if they can be
// retried on another backend server, as far as the retry quota allows. b.mu
// must be held.
func (b *Broker) checkHeld(now time.Time, q *queue) {
	sum, count := 0.0, 0
	for p := range q.permits {
		if !b.Usage.Get(now, p.server).Stalled {
			sum += now.Sub(p.since).Seconds()
			count++
			continue
		}
		if p.abort != nil && (b.canMove(now, p) || b.canCarry(p.need)) && b.quota(p.need.key.service).TryRetry(now, b.Peers.Members()) {
			p.abort()
			p.abort = nil
		}
	}
	q.heldTime = 0
	if count > 0 {
		q.heldTime = sum / float64(count)
	}
}

// canMove reports whether another backend server has a free permit for the
// request of p. b.mu must be held.
func (b *Broker) canMove(now time.Time, p *permit) bool {
	n := p.need
	n.excluded = maps.Clone(n.excluded)
	if n.excluded == nil {
		n.excluded = map[string]bool{}
	}
	n.excluded[p.server.ID] = true
	return b.choose(now, n).server.ID != ""
}

// queue returns the queue of the key. b.mu must be held.
func (b *Broker) queue(key queueKey) *queue {
	q, ok := b.queues[key]
	if !ok {
		if b.queues == nil {
			b.queues = map[queueKey]*queue{}
		}
		q = &queue{holdTime: initialHold}
		b.queues[key] = q
	}
	return q
}

// Tick updates the coordinators, reclaims expired grants and dispatches all
// queues. Call it every 20 ms.
func (b *Broker) Tick(now time.Time) {
	b.mu.Lock()
	b.elect()
	b.expireGrants(now)
	b.sweepKept(now)
	b.sweepGaps(now)
	b.endings.Sweep(now, b.Roster.Superseded, b.markEnded)
	b.mu.Unlock()
	b.Dispatch(now)
}

// Dispatch issues free permits in all queues and rejects late waiters. Tick calls
// it because ejections end after some time; call it also after changes to the
// backend servers.
func (b *Broker) Dispatch(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetEngines()
	for key, q := range b.queues {
		b.checkHeld(now, q)
		b.updateLoad(key, q)
		if len(q.waiting) == 0 {
			continue
		}
		if b.byCost() {
			q.rankWaiting(now)
			b.serveQueue(now, key)
			b.shedLate(now, q)
			continue
		}
		b.serveQueue(now, key)
		b.rejectLate(now, key)
	}
}

// Queues calls do for each queue with waiters or permits of this process.
// Permits granted to peers are left out, since the peers report them. do must
// not call the Broker, which is locked.
func (b *Broker) Queues(do func(hash uint64, load peers.Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, q := range b.queues {
		load := peers.Load{Running: q.held - q.granted, Waiting: q.waitingUnits(), Granted: q.remote}
		if load != (peers.Load{}) {
			do(key.hash(), load)
		}
	}
}
