package broker

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// Prefill engines are the scarcest resource of a fleet: what they have to do changes
// within milliseconds, and which prefixes they keep follows from all prefills. So one
// process, the service's coordinator, grants the permits for prefill to all, in queue
// order. Only this order and the predictions depend on the coordinator: a process that
// receives no decision issues permits by itself, from the loads that its peers report,
// and so does each side of a network partition.

// PermitRequest asks the coordinator for a permit at an engine that prefills.
// Durations count from the time of the message.
type PermitRequest struct {
	// Number identifies the permit request among those of its process. Request
	// is the ID of the client's request.
	Number  uint64
	Request string
	Service string
	// OwnTokens are the prompt tokens behind the prefix, Chain has the prefixes up
	// to the end of each shared part.
	OwnTokens int
	Chain     []kept.Part
	// Priority is the priority of the account or the route; 0 is served first.
	Priority int
	// Target is the latency target of the route.
	Target time.Duration
	// StartWithin is the time within which the permit is needed to meet the
	// latency target, MaxWait the longest wait that is accepted, and TimeLeft the
	// time left until the request's deadline.
	StartWithin, MaxWait, TimeLeft time.Duration
	// Excluded lists the IDs of engines that must not be granted.
	Excluded []string
	// Account is the client account, empty if there is none or none is known.
	// OutputTokens is the largest number of output tokens. Returning is set if the
	// request has been rejected before. They are set with Admission CostToCallers.
	Account      string
	OutputTokens int
	Returning    bool
}

// PermitGrant is the coordinator's decision on a PermitRequest.
type PermitGrant struct {
	// Number is that of the PermitRequest.
	Number uint64
	Status Decision
	// ID and Born identify the engine of a granted permit.
	ID   string
	Born int64
	// LocalPrefill is set if the engine is a decode engine that prefills locally.
	LocalPrefill bool
	// Fetch is the address of an engine that keeps more of the prefix; it is
	// invalid if none does.
	Fetch netip.AddrPort
	// Times are the coordinator's estimates of the engine, so that its requesters
	// can go on without it.
	Times assign.Times
	// Tokens is how many prompt tokens the engine is expected to prefill.
	Tokens int
}

// PermitRelease gives a permit back, or cancels a permit request. It carries the
// request's result, from which the coordinator updates its state of the engine.
type PermitRelease struct {
	Number  uint64
	Verdict usage.Verdict
	// Prefilled is set if the prefill has completed, also in the last message after one
	// with Kept. Kept is set if only the prefill has ended: the permit is still in use.
	Prefilled, Kept bool
}

// Coordination sends messages to peers. It must be safe for concurrent use. Its
// methods must neither block nor call the Broker, which may hold its lock.
// Messages that cannot be sent are dropped.
type Coordination interface {
	Request(to string, r PermitRequest)
	Grant(to string, g PermitGrant)
	Release(to string, r PermitRelease)
}

// requester identifies another process's permit request.
type requester struct {
	requestKey
	// expires is when the permit is reclaimed even if the requester has not
	// released it.
	expires time.Time
}

// requestKey identifies a permit request among those of all processes.
type requestKey struct {
	process string
	number  uint64
}

// coordinatorState has the permits and the waiters of peers for the services of
// which this process is the coordinator.
type coordinatorState struct {
	// elected has the coordinator of each coordinated service by name; "" if this
	// process issues the permits by itself.
	elected map[string]string
	// grantedByEngine sums the permits granted to peers by engine key.
	grantedByEngine map[uint64]Grants
	// grants and remoteWaiters are the permits and waiters of peers.
	grants        map[requestKey]*permit
	remoteWaiters map[requestKey]*waiter
}

// Grants sums the permits at an engine that one process granted to others: their
// number, that of those whose prefill has not ended, the prompt tokens of these, and
// the tokens of the whole prompts of all of them.
type Grants struct{ Requests, Prefills, Tokens, Prompts int }

// addGrant adds to the sum of an engine, and removes the entry if that is zero.
func addGrant(sums map[uint64]Grants, key uint64, g Grants) {
	sum := sums[key]
	sum = Grants{sum.Requests + g.Requests, sum.Prefills + g.Prefills, sum.Tokens + g.Tokens, sum.Prompts + g.Prompts}
	if sum == (Grants{}) {
		delete(sums, key)
		return
	}
	sums[key] = sum
}

// grantGrace is how long a granted permit is kept after the deadline of its
// request if the requester does not release it.
const grantGrace = 500 * time.Millisecond

// HandleRequest handles a peer's permit request.
func (b *Broker) HandleRequest(from string, r PermitRequest) {
	now := time.Now()
	w := b.remoteWaiter(now, from, r)
	key := w.requester.requestKey
	if b.byCost() {
		w.need.caller = &caller{account: r.Account, output: r.OutputTokens, returning: r.Returning, deadline: now.Add(r.TimeLeft)}
	}
	waiting := true
	w.deliver = func(p *permit, err error) {
		waiting = false
		delete(b.remoteWaiters, key)
		g := PermitGrant{Number: r.Number, Status: decisionOf(err)}
		fields := []zap.Field{zap.String("Request", r.Request), zap.String("For", from), zap.Duration("Waited", time.Since(now)), zap.Error(err)}
		if p != nil {
			b.grants[key] = p
			g.Fetch, g.Times, g.Tokens = p.fetch, b.Usage.Get(time.Now(), p.server).Times, p.units
			g.ID, g.Born, g.LocalPrefill = p.server.ID, p.server.Born, p.need.key.work == usage.LocalPrefill
			fields = append(fields, zap.String("Server", g.ID), zap.Int64("Born", g.Born), zap.Bool("LocalPrefill", g.LocalPrefill),
				zap.Int("Own", p.need.prompt.Own), zap.Object("Forecast", p))
		}
		b.Coordination.Grant(from, g)
		b.Log.Info("permit request decided", fields...)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.grants == nil {
		b.grants, b.remoteWaiters, b.grantedByEngine = map[requestKey]*permit{}, map[requestKey]*waiter{}, map[uint64]Grants{}
	}
	b.admit(w)
	if waiting {
		b.remoteWaiters[key] = w
		b.Coordination.Grant(from, PermitGrant{Number: r.Number, Status: Queued})
	}
}

// remoteWaiter returns the waiter for a peer's permit request.
func (b *Broker) remoteWaiter(now time.Time, from string, r PermitRequest) *waiter {
	w := &waiter{since: now, requester: requester{requestKey{from, r.Number}, now.Add(r.TimeLeft + grantGrace)}}
	if b.isPlain(r.Service) {
		w.need = plainNeed(r.Service)
	} else {
		prefill, local := prefillNeeds(r.Service, newPrompt(r.OwnTokens, r.Chain), r.Chain)
		w.need, w.alternative = prefill, &local
	}
	n := &w.need
	n.excluded = make(map[string]bool, len(r.Excluded))
	for _, id := range r.Excluded {
		n.excluded[id] = true
	}
	n.priority, n.target, n.startBy, n.maxWait = r.Priority, r.Target, now.Add(r.StartWithin), r.MaxWait
	if a := w.alternative; a != nil {
		a.priority, a.target, a.startBy, a.maxWait, a.excluded = n.priority, n.target, n.startBy, n.maxWait, n.excluded
	}
	return w
}

// grant issues a permit of the queue to a peer. b.mu must be held.
func (b *Broker) grant(q *queue, p *permit) {
	if p.need.key.prefills() {
		b.startPrefill(p)
	}
	b.holdPrompt(p)
	q.add(p)
	q.granted += p.units
	added := p.grant()
	addGrant(b.grantedByEngine, p.server.Key(), added)
	b.adjustEngine(p.server, added)
	b.Meters.Add("PlacesGranted", 1)
}

// HandleRelease handles a peer's release of a permit or cancellation of a permit
// request.
func (b *Broker) HandleRelease(from string, r PermitRelease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := requestKey{from, r.Number}
	if w, ok := b.remoteWaiters[key]; ok {
		delete(b.remoteWaiters, key)
		b.remove(w)
		return
	}
	p, ok := b.grants[key]
	if !ok {
		return
	}
	b.recordGranted(p, r)
	b.endGranted(p, r.Prefilled)
	if r.Kept {
		b.serveFreed(time.Now(), p.need.key)
		return
	}
	b.reclaim(time.Now(), p, usage.Result{Verdict: r.Verdict, Work: p.need.key.work})
}

// recordGranted updates the times of the engine after the prefill of a peer's permit. If
// the message at the end of a local prefill has not arrived before the release, when the
// prefill has ended is not known, but that the engine has gone on is. b.mu must be held.
func (b *Broker) recordGranted(p *permit, r PermitRelease) {
	switch {
	case p.units == 0 || !r.Prefilled:
	case r.Kept || p.need.key.role == roster.Prefill:
		b.recordPrefill(p)
	default:
		b.recordProgress(time.Now(), p.server.Key())
	}
}

// endGranted frees the queue's capacity that a peer's permit has: that of a prefill at its
// end, else that of the request. b.mu must be held.
func (b *Broker) endGranted(p *permit, completed bool) {
	if p.units == 0 {
		return
	}
	q := b.queue(p.need.key)
	q.held -= p.units
	q.granted -= p.units
	if p.need.key.prefills() {
		b.recordKept(p, completed)
		ended := Grants{Prefills: -1, Tokens: -p.units}
		addGrant(b.grantedByEngine, p.server.Key(), ended)
		b.adjustEngine(p.server, ended)
	}
	p.units = 0
}

// reclaim takes back a granted permit and records the result. b.mu must be
// held.
func (b *Broker) reclaim(now time.Time, p *permit, result usage.Result) {
	delete(b.grants, p.requester.requestKey)
	b.endGranted(p, false)
	addGrant(b.grantedByEngine, p.server.Key(), Grants{Requests: -1, Prompts: -p.promptTokens})
	switch result.Verdict {
	case usage.OK, usage.Full, usage.Replaced:
		b.Usage.RecordRemote(now, p.server, result)
	default:
		// An engine that is unreachable for one process may work for others.
		// They detect failures themselves.
	}
	b.free(now, p, result)
}

// expireGrants reclaims the permits that were not released in time. b.mu must
// be held.
func (b *Broker) expireGrants(now time.Time) {
	for key, p := range b.grants {
		if now.After(p.requester.expires) {
			b.Meters.Add("GrantsExpired", 1)
			b.Log.Info("granted permit expired", zap.String("For", key.process), zap.String("Server", p.server.ID), zap.Duration("Held", now.Sub(p.since)))
			b.reclaim(now, p, usage.Result{Work: p.need.key.work})
		}
	}
}

// Revoke reclaims all permits granted to a peer and removes its waiters. It is
// called when the peer has become silent.
func (b *Broker) Revoke(process string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, w := range b.remoteWaiters {
		if key.process == process {
			delete(b.remoteWaiters, key)
			b.remove(w)
		}
	}
	for key, p := range b.grants {
		if key.process == process {
			b.reclaim(time.Now(), p, usage.Result{Work: p.need.key.work})
		}
	}
}

// elect updates the coordinator of each service that has engines or few plain servers.
// b.mu must be held.
func (b *Broker) elect() {
	t := b.Table()
	if t == nil || b.Coordination == nil {
		return
	}
	if b.elected == nil {
		b.elected = map[string]string{}
	}
	for name, s := range t.Services {
		if s.Engine == nil && !b.isScarce(name) {
			b.endCoordination(name)
			continue
		}
		coordinator := ""
		if b.Peers.Live() > 1 {
			coordinator = b.Peers.Coordinator(xxhash.Sum64String(name), b.shutdown.Load() != nil || !b.Reaches(name))
		}
		if coordinator == b.Name {
			coordinator = ""
		}
		if previous := b.elected[name]; previous != coordinator {
			b.Log.Info("coordinator changed", zap.String("Service", name), zap.String("Process", coordinator), zap.String("Before", previous))
		}
		b.elected[name] = coordinator
	}
}

// coordinates reports whether this process issues all permits of the queue, as the
// coordinator or as the only process. b.mu must be held.
func (b *Broker) coordinates(key queueKey) bool {
	if key.prefills() {
		return b.elected[key.service] == ""
	}
	coordinator, elected := b.elected[key.service]
	return elected && coordinator == "" && b.isPlain(key.service)
}

// Decision is a coordinator's decision on a permit request. The values are part
// of the wire protocol.
type Decision int

// The decisions on a permit request.
const (
	// Queued means that the request waits; another decision follows.
	Queued Decision = iota
	// Rejected means that the wait would be too long.
	Rejected
	// NoServer means that the coordinator's roster has no engine that prefills.
	NoServer
	// Granted means that the permit is granted.
	Granted
)

// decisionOf returns the decision for the error of a permit request.
func decisionOf(err error) Decision {
	switch {
	case err == nil:
		return Granted
	case errors.Is(err, errNoServer):
		return NoServer
	}
	return Rejected
}
