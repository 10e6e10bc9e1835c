package broker

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// queueKey identifies the queue for one kind of backend server and one kind of
// work. Kinds of work are separate because their permits are held for different
// times.
type queueKey struct {
	service string
	role    roster.Role
	work    usage.Work
}

// hash identifies the queue in messages between processes.
func (k queueKey) hash() uint64 {
	return xxhash.Sum64String(fmt.Sprint(k.service, "/", k.role, "/", int(k.work)))
}

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
	// granted counts the permits granted to peers, remote those that this
	// process holds from a coordinator.
	granted, remote int
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
}

// need describes the permit that a request needs.
type need struct {
	key queueKey
	// prefixHash is the hash of the prompt prefix that the request shares with
	// others, or 0. affinity is the weight of prefix locality against load.
	prefixHash uint64
	affinity   float64
	// priority is the route's; 0 is served first.
	priority int
	// startBy is when the request needs its permit to meet the latency target: at
	// the end of the target, and earlier by expectedStart for a prefill engine.
	startBy time.Time
	// maxWait is the longest wait that is accepted.
	maxWait time.Duration
	// excluded has the IDs of the backend servers that must not be used.
	excluded map[string]bool
	// perSlot is the number of permits per slot of a backend server, over all
	// processes.
	perSlot float64
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
	v := b.choose(w.since, w.need)
	if v.usable == 0 {
		w.deliver(nil, errNoServer)
		return
	}
	if !q.hasAhead(w.need) {
		if p := b.tryAcquire(w.since, w); p != nil {
			w.deliver(p, nil)
			return
		}
	}
	if b.expectedWait(w.since, w, v, q.ahead(w.need)) > w.need.maxWait {
		w.deliver(nil, errOverloaded)
		return
	}
	q.waiting = append(q.waiting, w)
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

// tryAcquire issues a permit to the waiter if one is free, preferably from the
// queue that is predicted to serve it sooner. Ejected backend servers are used
// only if those of both queues are ejected. b.mu must be held.
func (b *Broker) tryAcquire(now time.Time, w *waiter) *permit {
	v := b.choose(now, w.need)
	if w.alternative == nil {
		return b.tryAcquireFrom(now, w, w.need, v)
	}
	preferFirst := !v.ejected && v.firstEventTime <= b.queue(w.alternative.key).expectedHold()
	if preferFirst {
		if p := b.tryAcquireFrom(now, w, w.need, v); p != nil {
			return p
		}
	}
	altView := b.choose(now, *w.alternative)
	if v.ejected && altView.ejected {
		if p := b.tryAcquireFrom(now, w, w.need, v); p != nil {
			return p
		}
	}
	if !altView.ejected || v.ejected {
		if p := b.tryAcquireFrom(now, w, *w.alternative, altView); p != nil {
			return p
		}
	}
	if preferFirst || v.ejected {
		return nil
	}
	return b.tryAcquireFrom(now, w, w.need, v)
}

// tryAcquireFrom issues a permit at the backend server of v. It returns nil if
// there is none or this process has its share already. b.mu must be held.
func (b *Broker) tryAcquireFrom(now time.Time, w *waiter, n need, v view) *permit {
	q := b.queue(n.key)
	if v.server.ID == "" || !q.mayAcquire(now, v, b.Seed) {
		return nil
	}
	if w.requester.process != "" {
		return b.grant(now, q, v.server, n, w.requester)
	}
	p := b.issue(now, q, v.server, n)
	p.waited = now.Sub(w.since)
	return p
}

// issue issues a permit to this process. b.mu must be held.
func (b *Broker) issue(now time.Time, q *queue, server roster.Server, n need) *permit {
	b.Usage.Start(now, server, n.key.work)
	p := &permit{broker: b, need: n, server: server, since: now}
	if q.permits == nil {
		q.permits = map[*permit]bool{}
	}
	q.permits[p] = true
	return p
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
		if p.abort != nil && b.canMove(now, p) && b.quota(p.need.key.service).TryRetry(now, b.Peers.Members()) {
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

// hasAhead reports whether waiters of the same or a higher priority are queued.
func (q *queue) hasAhead(n need) bool { return q.ahead(n) > 0 }

// expectedWait returns how long a request with the view v is expected to wait
// behind the given number of waiters and those of the peers. b.mu must be held.
func (b *Broker) expectedWait(now time.Time, w *waiter, v view, ahead int) time.Duration {
	rate := float64(v.capacity) / b.queue(w.need.key).expectedHold()
	if w.alternative != nil {
		altView := b.choose(now, *w.alternative)
		altRate := float64(altView.capacity) / b.queue(w.alternative.key).expectedHold()
		switch {
		case v.ejected && !altView.ejected:
			rate = altRate
		case v.ejected == altView.ejected:
			rate += altRate
		}
	}
	if rate == 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(ahead+1+v.peerLoad.Waiting) / rate * float64(time.Second))
}

// ahead counts the waiters of the same or a higher priority.
func (q *queue) ahead(n need) int {
	count := 0
	for _, other := range q.waiting {
		if other.need.priority <= n.priority {
			count++
		}
	}
	return count
}

// rejectLate rejects the waiters whose total wait is now expected to exceed
// maxWait, so that their clients can retry early. b.mu must be held.
func (b *Broker) rejectLate(now time.Time, key queueKey) {
	q := b.queue(key)
	kept := q.waiting[:0]
	for i, w := range q.waiting {
		waited := now.Sub(w.since)
		if waited+b.expectedWait(now, w, b.choose(now, w.need), i) > w.need.maxWait+waitSlack {
			w.deliver(nil, errOverloaded)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// serveQueue issues free permits to the waiters in order. b.mu must be held.
func (b *Broker) serveQueue(now time.Time, key queueKey) {
	q := b.queue(key)
	sort.SliceStable(q.waiting, func(i, k int) bool { return q.waiting[i].before(q.waiting[k], now) })
	kept := q.waiting[:0]
	for i, w := range q.waiting {
		p := b.tryAcquire(now, w)
		if p == nil && len(w.need.excluded) > 0 {
			// This waiter excludes backend servers that may have permits for
			// those behind it.
			kept = append(kept, w)
			continue
		}
		if p == nil {
			kept = append(kept, q.waiting[i:]...)
			break
		}
		w.deliver(p, nil)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// before reports whether w is served before o: first those that can still meet
// their latency target, then by priority, then by arrival.
func (w *waiter) before(o *waiter, now time.Time) bool {
	late, otherLate := now.After(w.need.startBy), now.After(o.need.startBy)
	if late != otherLate {
		return otherLate
	}
	if w.need.priority != o.need.priority {
		return w.need.priority < o.need.priority
	}
	return w.since.Before(o.since)
}

// Tick updates the coordinators, reclaims expired grants and dispatches all
// queues. Call it every 20 ms.
func (b *Broker) Tick(now time.Time) {
	b.mu.Lock()
	b.elect()
	b.expireGrants(now)
	b.mu.Unlock()
	b.Dispatch(now)
}

// Dispatch issues free permits in all queues and rejects late waiters. Tick calls
// it because ejections end after some time; call it also after changes to the
// backend servers.
func (b *Broker) Dispatch(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, q := range b.queues {
		b.checkHeld(now, q)
		b.updateLoad(key, q)
		if len(q.waiting) > 0 {
			b.serveQueue(now, key)
			b.rejectLate(now, key)
		}
	}
}

// permit admits one request to a backend server.
type permit struct {
	broker   *Broker
	need     need
	server   roster.Server
	since    time.Time
	waited   time.Duration
	released bool
	// abort cancels the attempt so that the request can be retried on another
	// backend server; nil if it cannot.
	abort func()
	// coordinator is the process that granted the permit, empty if this process
	// issued it by itself. number is that of the permit request.
	coordinator string
	number      uint64
	// requester is set if the permit was granted to a peer.
	requester requester
}

// release gives the permit back with the request's result. Further calls have
// no effect.
func (p *permit) release(result usage.Result) {
	if p.released {
		return
	}
	p.released = true
	now := time.Now()
	b := p.broker
	result.Work = p.need.key.work
	b.Usage.End(now, p.server, result)
	if p.coordinator != "" {
		b.releaseRemote(p, PermitRelease{p.number, result.Verdict, result.LatencyRatio})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(now, p, result)
}

// free removes a permit from its queue and serves the queues that can use the
// capacity. b.mu must be held.
func (b *Broker) free(now time.Time, p *permit, result usage.Result) {
	q := b.queue(p.need.key)
	delete(q.permits, p)
	p.abort = nil
	if result.Verdict == usage.OK {
		q.holdTime += holdWeight * (now.Sub(p.since).Seconds() - q.holdTime)
	}
	// Short work is served first, since slots are reserved for it. Requests
	// that wait for a prefill engine can also use a permit of a decode engine.
	for work := usage.Short; work <= usage.LocalPrefill; work++ {
		b.serveIfWaiting(now, queueKey{p.need.key.service, p.need.key.role, work})
	}
	if p.need.key.role == roster.Decode {
		b.serveIfWaiting(now, queueKey{p.need.key.service, roster.Prefill, usage.Short})
	}
}

// serveIfWaiting serves a queue if it exists and has waiters. b.mu must be held.
func (b *Broker) serveIfWaiting(now time.Time, key queueKey) {
	if q, ok := b.queues[key]; ok && len(q.waiting) > 0 {
		b.serveQueue(now, key)
	}
}

// Queues calls do for each queue with waiters or permits of this process.
// Permits granted to peers are left out, since the peers report them. do must
// not call the Broker, which is locked.
func (b *Broker) Queues(do func(hash uint64, load peers.Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, q := range b.queues {
		load := peers.Load{Running: len(q.permits) - q.granted, Waiting: len(q.waiting), Granted: q.remote}
		if load != (peers.Load{}) {
			do(key.hash(), load)
		}
	}
}

// setAbort allows the attempt at p's backend server to be aborted when that
// server stalls.
func (b *Broker) setAbort(p *permit, abort func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.abort = abort
}

// clearAbort disallows aborting the attempt.
func (b *Broker) clearAbort(p *permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.abort = nil
}
