package broker

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// mayAcquire reports whether this process may acquire a permit of size units of the
// queue.
//
// Load reports of peers are delayed, so processes do not race for free
// capacity: each may hold a share of the capacity in proportion to its permits
// and waiters. The fractional part of a share allows one more permit in that
// fraction of the time intervals; seed selects different intervals in each
// process.
func (q *queue) mayAcquire(now time.Time, v view, size int, seed uint64) bool {
	own := float64(q.held + q.waitingUnits() + size)
	all := own + float64(v.peerLoad.Running+v.peerLoad.Waiting)
	share := float64(v.capacity) * own / all
	left := (share - float64(q.held)) / float64(size)
	if left >= 1 {
		return true
	}
	interval := uint64(now.UnixNano()) / uint64(shareInterval)
	return left > 0 && assign.Score(seed, interval) < left
}

// shareInterval is the length of the intervals in which the fractional part of a
// share does or does not allow another permit. It is about the duration of a
// short request.
const shareInterval = 100 * time.Millisecond

// view is the state of the backend servers of a queue as this process estimates
// it.
type view struct {
	// server is the best backend server with a free permit. Its ID is empty if
	// there is none.
	server roster.Server
	// usable counts the ready backend servers, capacity the units of permits of
	// those that are not ejected, or of all if all are ejected.
	usable, capacity int
	// rate is how many units per second these backend servers complete; 0 if
	// unknown.
	rate float64
	// forecast predicts the prefill at server. ahead is how many tokens the
	// engine has to prefill before. Both are zero for other work.
	forecast assign.Forecast
	ahead    int
	// paced is set if server was chosen by its predicted gap. disturbs is set if the
	// prefill at server would interrupt long work, inTime if it is predicted to end
	// within the latency target.
	paced, disturbs, inTime bool
	// ejected is set if every backend server is ejected or excluded. server may
	// be an ejected one only in this case.
	ejected bool
	// peerLoad is the load of the peers in the queue.
	peerLoad peers.Load
	// memory is that of the backend servers, zero if it is not configured.
	memory memory
}

// views are the views of the queues that can serve a waiter.
type views struct {
	first view
	// alternative is nil if there is no second queue.
	alternative *view
}

// views evaluates the queues for a waiter. b.mu must be held.
func (b *Broker) views(now time.Time, w *waiter) views {
	v := views{first: b.choose(now, w.need)}
	if w.alternative != nil {
		alternative := b.choose(now, *w.alternative)
		v.alternative = &alternative
	}
	return v
}

// throughput returns how many units per second the backend servers that can serve a
// request complete, those of the alternative queue included.
func (v views) throughput(n need) float64 {
	rate, usable := v.first.rate, v.first.usable
	if a := v.alternative; a != nil {
		switch {
		case v.first.ejected && !a.ejected:
			rate, usable = a.rate, a.usable
		case v.first.ejected == a.ejected:
			rate += a.rate
			usable += a.usable
		}
	}
	if rate == 0 {
		// Nothing is known about the engines yet.
		rate = float64(usable*n.size()) / initialHold
	}
	return rate
}

// preferAlternative reports whether the alternative queue is predicted to serve a
// request sooner than the first. Ejected backend servers come last. A prefill that would
// interrupt long work goes to the first if that is predicted to end in time.
func preferAlternative(first, alternative view) bool {
	if first.ejected != alternative.ejected {
		return first.ejected && alternative.usable > 0
	}
	switch {
	case alternative.server.ID == "":
		return false
	case first.server.ID == "":
		return true
	}
	if alternative.disturbs && first.inTime {
		return false
	}
	return alternative.forecast.Finish < first.forecast.Finish
}

// choose evaluates the backend servers for a request. b.mu must be held.
func (b *Broker) choose(now time.Time, n need) view {
	if n.key.prefills() {
		return b.choosePrefill(now, n)
	}
	v, candidates, options := b.candidates(now, n)
	request := assign.Request{PrefixHash: n.prompt.PrefixHash, Affinity: n.affinity, Zone: b.Zone}
	if b.Peers.Live() > peers.MaxFresh && !b.coordinates(n.key) {
		request.Seed = b.nextRandom()
	}
	v.paced = b.predictGaps(now, n, candidates, options, &request)
	b.spareLongWork(now, n, candidates, options, &request)
	if i := assign.Choose(candidates, request); i >= 0 {
		v.server = options[i]
	}
	return v
}

// candidates evaluates the backend servers for work other than prefills. The server of the
// view is not chosen yet. The lists are valid until the next call. b.mu must be held.
func (b *Broker) candidates(now time.Time, n need) (v view, candidates []assign.Candidate, options []roster.Server) {
	servers := b.Roster.Service(n.key.service)
	candidates, options = b.candidateBuffer[:0], b.optionBuffer[:0]
	v = view{peerLoad: b.Peers.Queue(n.key.hash()), ejected: true}
	v.memory.cache = b.cacheTokens(n.key.service)
	ejected, throttled := 0, 0.0
	for _, s := range servers {
		if s.Role != n.key.role || !n.software.accepts(s) {
			continue
		}
		snapshot := b.Usage.Get(now, s)
		if snapshot.Paused {
			continue
		}
		if snapshot.Throttled {
			v.usable++
			if !n.excluded[s.ID] {
				v.ejected = false
				throttled += snapshot.LimitShare
			}
			continue
		}
		c := b.candidate(n, s, snapshot, &v.memory)
		v.usable++
		v.capacity += c.SameWorkLimit
		if c.Ejected {
			ejected += c.SameWorkLimit
		}
		v.ejected = v.ejected && (c.Ejected || c.Excluded)
		candidates = append(candidates, c)
		options = append(options, s)
	}
	b.candidateBuffer, b.optionBuffer = candidates, options
	if ejected < v.capacity {
		v.capacity -= ejected
	}
	v.rate = float64(v.capacity)/b.queue(n.key).expectedHold() + throttled
	return v, candidates, options
}

// candidate combines the load of this process and its peers at a backend server
// with its limits, and adds its prompts to m. b.mu must be held.
func (b *Broker) candidate(n need, s roster.Server, snapshot usage.Snapshot, m *memory) assign.Candidate {
	key, share := s.Key(), b.zoneShare(s.Zone)
	peerLoad := b.withoutGrants(n.key.service, b.Peers.Server(key))
	b.addMemory(m, n, key, share, peerLoad)
	granted := b.grantedByEngine[key].Requests
	limit := scaled(n.perSlot*float64(s.Slots), share)
	c := assign.Candidate{
		Hash: xxhash.Sum64String(s.ID), Zone: s.Zone, Running: snapshot.Running + peerLoad.Running + granted, Slots: s.Slots,
		Limit: limit, SameWorkLimit: limit, LatencyRatio: snapshot.LatencyRatio,
		Suspect: snapshot.Suspect, OwnRunning: snapshot.Running + granted, Ejected: snapshot.Ejected, Excluded: n.excluded[s.ID],
		LongWork: snapshot.Long+peerLoad.Long > 0,
	}
	c.SameWork = c.Running
	if b.connectionsUsed(s.Service, snapshot) || !b.promptFits(n, key, share, peerLoad) {
		c.Limit = min(c.Limit, c.Running)
	}
	if n.key.work == usage.Long {
		c.SameWork = snapshot.Long + peerLoad.Long
		c.SameWorkLimit = min(limit, scaled(float64(s.Slots)-b.reserved(n.key, s.Slots), share))
	}
	return c
}

// connectionsUsed reports whether this process has as many requests at a backend server as
// it may have connections. b.mu must be held.
func (b *Broker) connectionsUsed(service string, snapshot usage.Snapshot) bool {
	t := b.Table()
	if t == nil {
		return false
	}
	most := b.maxConnections(t.Services[service])
	return most > 0 && snapshot.Running >= most
}

// withoutGrants subtracts from the peers' load the permits that a coordinator
// granted to them. Unless another process is the coordinator, this process
// granted them and counts them itself. b.mu must be held.
func (b *Broker) withoutGrants(service string, load peers.Load) peers.Load {
	if coordinator, elected := b.elected[service]; !elected || coordinator != "" {
		return load
	}
	return load.WithoutGrants()
}

// reserved returns how many of an engine's slots long requests leave free for
// short ones: the average number of short requests per engine, waiting ones
// included, plus one. b.mu must be held.
func (b *Broker) reserved(key queueKey, slots int) float64 {
	key.work = usage.Short
	return min(math.Ceil(1+b.queue(key).avgLoad), maxReservedShare*float64(slots))
}

const (
	// maxReservedShare is the maximum share of an engine's slots that is
	// reserved for short requests.
	maxReservedShare = 0.5
	// loadWeight is the EWMA weight of the newest sample of queue.avgLoad, at one
	// sample per 20 ms.
	loadWeight = 0.02
)

// updateLoad updates the average number of requests per backend server of a
// queue, those of the peers included. b.mu must be held.
func (b *Broker) updateLoad(key queueKey, q *queue) {
	if key.prefills() {
		return
	}
	engines := 0
	for _, s := range b.Roster.Service(key.service) {
		if s.Role == key.role {
			engines++
		}
	}
	peerLoad := b.withoutGrants(key.service, b.Peers.Queue(key.hash()))
	load := float64(len(q.permits)+len(q.waiting)+peerLoad.Running+peerLoad.Waiting) / float64(max(engines, 1))
	q.avgLoad += loadWeight * (load - q.avgLoad)
}

// zoneShare returns the share of the permits at backend servers of a zone that
// the live processes may use. The rest is left to silent processes, which may
// still send requests there.
func (b *Broker) zoneShare(zone string) float64 {
	live := float64(b.Peers.Live())
	return live / (live + float64(b.Peers.Silent(zone, b.Zone)))
}

// scaled returns the share of a number of permits, rounded up and at least 1.
func scaled(permits, share float64) int { return max(int(math.Ceil(permits*share)), 1) }
