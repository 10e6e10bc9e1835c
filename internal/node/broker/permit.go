package broker

import (
	"net/netip"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// permit admits one request to a backend server.
type permit struct {
	broker   *Broker
	need     need
	server   roster.Server
	since    time.Time
	waited   time.Duration
	released bool
	// units is how much of the queue's capacity the permit takes: 1, or for a
	// prefill the tokens to be prefilled, and 0 once the prefill has ended.
	// ahead is how many tokens the engine had to prefill before, forecast the
	// prediction for the prefill.
	units, ahead int
	// promptTokens is what the permit has in Broker.promptTokens.
	promptTokens int
	forecast     assign.Forecast
	// prefilled is set once the prefill has completed.
	prefilled bool
	// fetch is the address of an engine from which the prefix is fetched; it is
	// invalid if none is known.
	fetch netip.AddrPort
	// responded is set once a response of the backend server has begun.
	responded bool
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

// grant returns what the permit adds to the sums of its engine if a coordinator granted it.
func (p *permit) grant() Grants {
	g := Grants{Requests: 1, Prompts: p.promptTokens}
	if p.need.key.prefills() {
		g.Prefills, g.Tokens = 1, p.units
	}
	return g
}

// tryAcquire issues a permit to the waiter if one is free. b.mu must be held.
func (b *Broker) tryAcquire(now time.Time, w *waiter, v views) *permit {
	n, chosen, free := b.freePermit(now, w, v)
	if !free {
		return nil
	}
	return b.issueTo(now, w, n, chosen)
}

// freePermit returns the need and the view of the queue that has a free permit for the
// waiter, preferably the one that is predicted to serve it sooner; false if there is none.
// Ejected backend servers are used only if those of both queues are ejected. b.mu must be
// held.
func (b *Broker) freePermit(now time.Time, w *waiter, v views) (need, view, bool) {
	if v.alternative == nil {
		return w.need, v.first, b.isFree(now, w.need, v.first)
	}
	preferred, other := w.need, *w.alternative
	preferredView, otherView := v.first, *v.alternative
	if preferAlternative(v.first, *v.alternative) {
		preferred, other, preferredView, otherView = other, preferred, otherView, preferredView
	}
	if b.isFree(now, preferred, preferredView) {
		return preferred, preferredView, true
	}
	return other, otherView, preferredView.ejected == otherView.ejected && b.isFree(now, other, otherView)
}

// isFree reports whether the view has a backend server with a free permit and this process
// does not have its share already. b.mu must be held.
func (b *Broker) isFree(now time.Time, n need, v view) bool {
	if v.server.ID == "" {
		return false
	}
	// A coordinator decides for all, so that there is nothing to share. The queue's load is
	// that of all versions, which says nothing of the servers of a single one.
	if n.software.limited() || b.coordinates(n.key) {
		return true
	}
	q := b.queue(n.key)
	return q.mayAcquire(now, v, n.size(), b.Seed) && q.mayHold(now, v, n.tokens(), b.Seed)
}

// issueTo issues a permit at the backend server of v to the waiter. b.mu must be held.
func (b *Broker) issueTo(now time.Time, w *waiter, n need, v view) *permit {
	q := b.queue(n.key)
	p := &permit{broker: b, need: n, server: v.server, since: now, units: n.size(), ahead: v.ahead}
	if n.key.prefills() {
		p.units = max(v.forecast.Tokens, 1)
		p.forecast = v.forecast
	}
	if w.requester.process != "" {
		p.requester = w.requester
		b.grant(q, p)
		return p
	}
	p.waited = now.Sub(w.since)
	b.issue(q, p)
	if v.paced {
		b.countPaced(now, p)
	}
	return p
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
	p.finishPrefill(result.Prefilled)
	result.Work, result.Sent = p.need.key.work, p.since
	if p.responded || result.Verdict == usage.OK {
		result.Answer = usage.Responded
	}
	b.Usage.End(now, p.server, result)
	if p.coordinator != "" {
		// It says what the message at the end of the prefill said, which may be lost or
		// arrive after this one.
		b.releaseRemote(p, PermitRelease{Number: p.number, Verdict: result.Verdict, Prefilled: result.Prefilled || p.prefilled})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(now, p, result)
}

// free removes a permit from its queue and serves the queues that can use the
// capacity. b.mu must be held.
func (b *Broker) free(now time.Time, p *permit, result usage.Result) {
	b.freePrompt(p)
	q := b.queue(p.need.key)
	delete(q.permits, p)
	b.adjustEngine(p.server, Grants{Requests: -1})
	q.held -= p.units
	if p.coordinator != "" {
		q.remote -= p.units
	}
	p.units = 0
	p.abort = nil
	if result.Verdict == usage.OK {
		q.holdTime += holdWeight * (now.Sub(p.since).Seconds() - q.holdTime)
	}
	b.serveFreed(now, p.need.key)
}

// serveFreed serves the queues that can use capacity of the queue with the key.
// b.mu must be held.
func (b *Broker) serveFreed(now time.Time, key queueKey) {
	if b.byCost() {
		keys := [...]queueKey{
			{key.service, key.role, usage.Short},
			{key.service, key.role, usage.Long},
			{key.service, key.role, usage.LocalPrefill},
			{key.service, roster.Prefill, usage.Short},
		}
		if key.role == roster.Decode {
			b.serveByRank(now, keys[:])
		} else {
			b.serveByRank(now, keys[:3])
		}
		return
	}
	// Short work is served first, since slots are reserved for it. Requests
	// that wait for a prefill engine can also use a permit of a decode engine.
	for work := usage.Short; work <= usage.LocalPrefill; work++ {
		b.serveIfWaiting(now, queueKey{key.service, key.role, work})
	}
	if key.role == roster.Decode {
		b.serveIfWaiting(now, queueKey{key.service, roster.Prefill, usage.Short})
	}
}

// serveIfWaiting serves a queue if it exists and has waiters. b.mu must be held.
func (b *Broker) serveIfWaiting(now time.Time, key queueKey) {
	if q, ok := b.queues[key]; ok && len(q.waiting) > 0 {
		b.serveQueue(now, key)
	}
}

// issue issues a permit to this process. b.mu must be held.
func (b *Broker) issue(q *queue, p *permit) {
	b.Usage.Start(p.since, p.server, p.need.key.work)
	added := Grants{Requests: 1}
	if p.need.key.prefills() {
		b.Usage.StartPrefill(p.server, p.units)
		b.startPrefill(p)
		added.Prefills, added.Tokens = 1, p.units
	}
	b.adjustEngine(p.server, added)
	b.holdPrompt(p)
	q.add(p)
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
