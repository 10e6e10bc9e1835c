package broker

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// engineSet has the engines of a service as they were evaluated at a time, with the
// permits issued and released since. A coordinator evaluates hundreds of engines for
// each prompt, so that it reuses a set for engineSetAge.
type engineSet struct {
	at time.Time
	// byRole has the engines with each role.
	byRole map[roster.Role][]*engineState
	// index has the engine of each key.
	index map[uint64]*engineState
	// hasPrefill is set if an engine that only prefills is not ejected.
	hasPrefill bool
	// sparesLongWork is set if the service has long work on a route with a token gap
	// target.
	sparesLongWork bool
}

// engineState is an engine of a set.
type engineState struct {
	server roster.Server
	// engine has everything but what depends on the prompt.
	engine assign.Engine
	// began is when the engine began the first of its prefills or last completed
	// one.
	began time.Time
	// running counts the requests of all processes, limit bounds it.
	running, limit int
	// peerLoad is the load of the peers without the permits that this process granted, share
	// the share of the engine that live processes may use.
	peerLoad peers.Load
	share    float64
	// throughput is the share of the engine's throughput that this process may
	// count on: less behind a slow link, or if silent peers may use the engine.
	throughput float64
	// throttled is set while this process has used its share of the engine's rate
	// limit, or of its connections.
	throttled bool
	// fetchable is set if KV caches can be fetched from the engine.
	fetchable bool
}

// engineSetAge is for how long a set is reused. Ejections and the loads that peers
// report become visible after that time.
const engineSetAge = 5 * time.Millisecond

// fetchable reports whether KV caches can be fetched from the engine with the key.
func (s *engineSet) fetchable(key uint64) bool {
	e, found := s.index[key]
	return found && e.fetchable
}

// average returns the average times of all engines.
func (s *engineSet) average() assign.Times {
	all := make([]assign.Engine, 0, len(s.index))
	for _, e := range s.index {
		all = append(all, e.engine)
	}
	return assign.Average(all)
}

// engineSet returns the engines of a service. b.mu must be held.
func (b *Broker) engineSet(now time.Time, service string) *engineSet {
	set, ok := b.engineSets[service]
	if ok && !now.Before(set.at) && now.Sub(set.at) < engineSetAge {
		return set
	}
	set = b.evaluateEngines(now, service)
	if b.engineSets == nil {
		b.engineSets = map[string]*engineSet{}
	}
	b.engineSets[service] = set
	return set
}

// forgetEngines makes the next call of engineSet evaluate the engines anew. b.mu must
// be held.
func (b *Broker) forgetEngines() { clear(b.engineSets) }

// evaluateEngines evaluates the engines of a service. b.mu must be held.
func (b *Broker) evaluateEngines(now time.Time, service string) *engineSet {
	servers := b.Roster.Service(service)
	set := &engineSet{at: now, byRole: map[roster.Role][]*engineState{}, index: make(map[uint64]*engineState, len(servers))}
	links := b.links(now, queueKey{service: service, role: roster.Prefill}, servers)
	shares := map[string]float64{}
	for _, s := range servers {
		snapshot := b.Usage.Get(now, s)
		if snapshot.Paused {
			continue
		}
		share, known := shares[s.Zone]
		if !known {
			share = b.zoneShare(s.Zone)
			shares[s.Zone] = share
		}
		e := b.evaluateEngine(s, snapshot, links, share)
		set.index[e.engine.Key] = e
		set.byRole[s.Role] = append(set.byRole[s.Role], e)
		set.hasPrefill = set.hasPrefill || s.Role == roster.Prefill && !e.engine.Ejected
	}
	set.sparesLongWork = b.markLongWork(now, service, set.byRole[roster.Decode])
	return set
}

// evaluateEngine combines the load of this process and its peers at an engine. share
// is the share of its capacity that live processes may use. b.mu must be held.
func (b *Broker) evaluateEngine(s roster.Server, snapshot usage.Snapshot, links links, share float64) *engineState {
	key := s.Key()
	peerLoad := b.withoutGrants(s.Service, b.Peers.Server(key))
	granted := b.grantedByEngine[key]
	e := &engineState{
		server: s, peerLoad: peerLoad, share: share, began: b.progress[key], running: snapshot.Running + peerLoad.Running + granted.Requests,
		limit: scaled(decodePerSlot*float64(s.Slots), share), throughput: share, fetchable: !snapshot.Unreachable && !snapshot.Stalled, throttled: snapshot.Throttled || b.connectionsUsed(s.Service, snapshot),
		engine: assign.Engine{
			Key: key, Hash: xxhash.Sum64String(s.ID),
			Backlog:  max(snapshot.PrefillTokens+peerLoad.PrefillTokens+granted.Tokens, 0),
			Prefills: max(snapshot.Prefills+peerLoad.Prefills+granted.Prefills, 0),
			Times:    snapshot.Times, Suspect: snapshot.Suspect, OwnRunning: snapshot.Running + granted.Requests, Ejected: snapshot.Ejected,
			LongWork: snapshot.Long+peerLoad.Long > 0,
		},
	}
	if s.Role == roster.Prefill {
		excess := links.excess(snapshot)
		e.limit = scaled(prefillPerSlot*float64(s.Slots), share)
		e.throughput = share * links.speed(excess)
		e.engine.Delay = time.Duration(excess * float64(time.Second))
	}
	return e
}

// adjustEngine adds requests and prefills, which may be negative, to the load of an
// engine since the set was evaluated. b.mu must be held.
func (b *Broker) adjustEngine(s roster.Server, added Grants) {
	set, ok := b.engineSets[s.Service]
	if !ok {
		return
	}
	e, ok := set.index[s.Key()]
	if !ok {
		return
	}
	e.running += added.Requests
	e.engine.OwnRunning += added.Requests
	e.engine.Prefills = max(e.engine.Prefills+added.Prefills, 0)
	e.engine.Backlog = max(e.engine.Backlog+added.Tokens, 0)
}

// choosePrefill evaluates the engines for a prefill. b.mu must be held.
func (b *Broker) choosePrefill(now time.Time, n need) view {
	v, engines, states, query := b.prefillers(now, n)
	v.forecast = assign.Prefill(engines, query)
	if i := v.forecast.Index; i >= 0 {
		v.server, v.ahead = states[i].server, engines[i].Backlog
		v.disturbs = query.Spare > 0 && engines[i].LongWork
		v.inTime = v.forecast.EndsWithin(n.startBy.Sub(now))
	}
	return v
}

// prefillers evaluates the engines for a prefill. The server of the view is not chosen yet.
// engines is valid until the next call. b.mu must be held.
func (b *Broker) prefillers(now time.Time, n need) (v view, engines []assign.Engine, states []*engineState, query assign.Query) {
	set := b.engineSet(now, n.key.service)
	v = view{peerLoad: b.withoutGrants(n.key.service, b.Peers.Queue(n.key.hash())), ejected: true}
	states = set.byRole[n.key.role]
	if n.software.limited() && n.key.role == roster.Decode {
		states = slices.DeleteFunc(slices.Clone(states), func(s *engineState) bool { return !n.software.accepts(s.server) })
	}
	lookup := b.kept.Lookup(n.chain)
	engines = b.engineBuffer[:0]
	for _, s := range states {
		e := s.engine
		e.Full, e.Excluded, e.Cached = s.running >= s.limit || s.throttled || !b.promptFits(n, e.Key, s.share, s.peerLoad), n.excluded[s.server.ID], lookup.Tokens(e.Key)
		e.Progress = now.Sub(s.began)
		v.usable++
		v.ejected = v.ejected && (e.Ejected || e.Excluded)
		engines = append(engines, e)
	}
	b.engineBuffer = engines
	query = assign.Query{Prompt: n.prompt, Window: n.window(), AssumePreferred: b.elected[n.key.service] != "", Average: assign.Average(engines)}
	if n.key.work == usage.LocalPrefill && set.hasPrefill {
		query.Longest = b.gapTarget(n.key.service)
	}
	if n.key.work == usage.LocalPrefill && set.sparesLongWork {
		query.Spare = n.startBy.Sub(now) - decodeStart
	}
	if query.Average.Rate == 0 {
		query.Guess = set.average()
	}
	_, query.Fetchable = b.kept.Holder(n.chain, 0, set.fetchable)
	for i, e := range engines {
		if e.Ejected && !v.ejected {
			continue
		}
		rate := e.Or(query.Average).PerSecond(n.size()) * states[i].throughput
		v.rate += rate
		v.capacity += max(int(math.Min(rate*query.Window.Seconds(), maxCapacity)), n.size())
	}
	return v, engines, states, query
}

// maxCapacity bounds the tokens that one engine can take within the window.
const maxCapacity = 1 << 30

// sweepKept forgets the predicted caches of engines that have left. b.mu must be
// held.
func (b *Broker) sweepKept(now time.Time) {
	t := b.Table()
	if t == nil || now.Sub(b.keptSwept) < keptSweepInterval {
		return
	}
	b.keptSwept = now
	present := map[uint64]bool{}
	for name := range t.Services {
		for _, s := range b.Roster.Service(name) {
			present[s.Key()] = true
		}
	}
	b.kept.Retain(func(engine uint64) bool { return present[engine] })
	maps.DeleteFunc(b.progress, func(engine uint64, _ time.Time) bool { return !present[engine] })
}

// keptSweepInterval is the period of sweepKept.
const keptSweepInterval = 5 * time.Second
