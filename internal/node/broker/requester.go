package broker

import (
	"context"
	"errors"
	"time"
)

// errNoDecision means that this process has to issue the permit by itself.
var errNoDecision = errors.New("the coordinator gave no usable decision")

const (
	// coordinatorTimeout is the shortest time to wait for the first decision of a
	// coordinator. It covers a round trip between availability zones and the
	// delay of a busy processor. A request with a longer latency target waits
	// for decisionShare of that: what this process decides by itself it decides
	// without knowing the engines' KV caches.
	coordinatorTimeout = 15 * time.Millisecond
	decisionShare      = 0.125
	// coordinatorBackoff is how long a coordinator is not used after it did not
	// respond.
	coordinatorBackoff = 250 * time.Millisecond
)

// requesterState has the permit requests to coordinators and the permits
// received from them.
type requesterState struct {
	// pending has the permit requests without a final decision, by number.
	pending    map[uint64]*pendingRequest
	lastNumber uint64
	// remoteByEngine sums the permits granted by coordinators, by engine key.
	remoteByEngine map[uint64]Grants
	// avoided has the coordinators that did not respond, and until when they
	// are not used.
	avoided map[string]time.Time
}

// pendingRequest is a permit request that waits for a decision.
type pendingRequest struct {
	coordinator string
	grants      chan PermitGrant
}

// acquirePrefill waits for a permit to prefill, at a prefill engine or at a
// decode engine that prefills locally. Coordinators know nothing of streams that can go on
// at some engines only.
func (j *job) acquirePrefill() (*permit, error) {
	n, alternative := j.prefillNeeds()
	if j.software.limited() {
		return j.broker.acquire(j.ctx, n, &alternative)
	}
	if coordinator := j.broker.coordinatorOf(j.service.Name); coordinator != "" {
		p, err := j.broker.requestPermit(j.ctx, coordinator, j, n, &alternative)
		if !errors.Is(err, errNoDecision) {
			return p, err
		}
	}
	return j.broker.acquire(j.ctx, n, &alternative)
}

// coordinatorOf returns the coordinator of the service, or "" if this process
// issues the permits by itself.
func (b *Broker) coordinatorOf(service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := b.elected[service]
	if name == "" || time.Now().Before(b.avoided[name]) {
		return ""
	}
	return name
}

// requestPermit requests a permit from the coordinator and waits for it. The
// error is errNoDecision if the coordinator did not respond, has no server, or
// granted one that is not in the roster of this process. alternative is nil if there is no
// second queue.
func (b *Broker) requestPermit(ctx context.Context, coordinator string, j *job, n need, alternative *need) (*permit, error) {
	start := time.Now()
	p := &pendingRequest{coordinator, make(chan PermitGrant, 2)}
	number := b.register(p)
	r := PermitRequest{
		Number: number, Request: j.request.ID, Service: n.key.service,
		OwnTokens: n.prompt.Own, Chain: n.chain, Priority: n.priority,
		Target: n.target, StartWithin: time.Until(n.startBy), MaxWait: n.maxWait, TimeLeft: time.Until(j.deadline), Excluded: b.unusable(start, n),
	}
	if c := n.caller; c != nil {
		r.Account, r.OutputTokens, r.Returning = c.account, c.output, c.returning
	}
	b.Coordination.Request(coordinator, r)
	b.Meters.Add("PlacesRequested", 1)
	timer := time.NewTimer(max(coordinatorTimeout, time.Duration(decisionShare*float64(n.target))))
	defer timer.Stop()
	queued := false
	for {
		select {
		case g := <-p.grants:
			switch g.Status {
			case Queued:
				queued = true
				timer.Reset(n.longestWait(start) + waitSlack + coordinatorTimeout)
			case Granted:
				return b.accept(start, coordinator, g, n, alternative)
			case Rejected:
				return nil, errOverloaded
			default:
				// The rosters may differ: this process may have an engine that
				// the coordinator does not have yet.
				return nil, errNoDecision
			}
		case <-timer.C:
			b.cancel(coordinator, n.key, number)
			if queued {
				return nil, errOverloaded
			}
			b.avoid(coordinator)
			return nil, errNoDecision
		case <-ctx.Done():
			b.cancel(coordinator, n.key, number)
			return nil, context.Cause(ctx)
		}
	}
}

// accept registers a permit that the coordinator granted, or releases it if the
// engine is not in the roster of this process or wants no request from it now.
func (b *Broker) accept(start time.Time, coordinator string, g PermitGrant, n need, alternative *need) (*permit, error) {
	server, ok := b.Roster.Find(g.ID, g.Born)
	if snapshot := b.Usage.Get(time.Now(), server); !ok || snapshot.Paused || snapshot.Throttled {
		b.sendRelease(coordinator, n.key, PermitRelease{Number: g.Number})
		return nil, errNoDecision
	}
	if g.LocalPrefill && alternative != nil {
		n = *alternative
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue(n.key)
	p := &permit{broker: b, need: n, server: server, since: now, units: max(g.Tokens, 1)}
	p.coordinator, p.number, p.waited = coordinator, g.Number, now.Sub(start)
	if n.key.prefills() {
		b.Usage.SetTimes(now, server, g.Times)
	}
	b.issue(q, p)
	p.fetch = g.Fetch
	q.remote += p.units
	if b.remoteByEngine == nil {
		b.remoteByEngine = map[uint64]Grants{}
	}
	addGrant(b.remoteByEngine, server.Key(), p.grant())
	return p, nil
}

// releaseRemote returns a permit to the coordinator that granted it.
func (b *Broker) releaseRemote(p *permit, r PermitRelease) {
	b.sendRelease(p.coordinator, p.need.key, r)
	b.mu.Lock()
	defer b.mu.Unlock()
	addGrant(b.remoteByEngine, p.server.Key(), Grants{Requests: -1, Prompts: -p.promptTokens})
}

// register adds a permit request and returns its number.
func (b *Broker) register(p *pendingRequest) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		// Numbers start at the current time, so that those of an earlier
		// incarnation of this process do not recur.
		b.pending, b.lastNumber = map[uint64]*pendingRequest{}, uint64(time.Now().UnixNano())
	}
	b.lastNumber++
	b.pending[b.lastNumber] = p
	return b.lastNumber
}

// cancel cancels a permit request. The coordinator also releases the permit if
// it has granted one meanwhile.
func (b *Broker) cancel(coordinator string, key queueKey, number uint64) {
	b.mu.Lock()
	delete(b.pending, number)
	b.mu.Unlock()
	b.sendRelease(coordinator, key, PermitRelease{Number: number})
}

// avoid backs off from a coordinator that did not respond.
func (b *Broker) avoid(coordinator string) {
	b.Meters.Add("PlaceRequestsUnanswered", 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.avoided == nil {
		b.avoided = map[string]time.Time{}
	}
	b.avoided[coordinator] = time.Now().Add(coordinatorBackoff)
}

// HandleGrant handles a coordinator's decision. A permit whose request no longer
// waits is released.
func (b *Broker) HandleGrant(from string, g PermitGrant) {
	if !b.deliver(from, g) && g.Status == Granted {
		b.Coordination.Release(from, PermitRelease{Number: g.Number})
	}
}

// deliver passes a decision to the request that waits for it. It returns false
// if there is none.
func (b *Broker) deliver(from string, g PermitGrant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pending[g.Number]
	if !ok || p.coordinator != from {
		return false
	}
	if g.Status != Queued {
		delete(b.pending, g.Number)
	}
	select {
	case p.grants <- g:
		return true
	default:
		return false
	}
}

// unusable lists the engines that must not be granted for a request: those
// where it has failed, and those that get no request of this process now.
func (b *Broker) unusable(now time.Time, n need) []string {
	var list []string
	for _, s := range b.Roster.Service(n.key.service) {
		snapshot := b.Usage.Get(now, s)
		if n.excluded[s.ID] || snapshot.Ejected || snapshot.Paused || snapshot.Throttled {
			list = append(list, s.ID)
		}
	}
	return list
}

// GrantsHeld returns the sum of the permits at an engine that coordinators have
// granted to this process.
func (b *Broker) GrantsHeld(server uint64) Grants {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remoteByEngine[server]
}
