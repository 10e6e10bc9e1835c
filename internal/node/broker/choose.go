package broker

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// mayAcquire reports whether this process may acquire one more permit of the
// queue.
//
// Load reports of peers are delayed, so processes do not race for free
// capacity: each may hold a share of the capacity in proportion to its permits
// and waiters. The fractional part of a share allows one more permit in that
// fraction of the time intervals; seed selects different intervals in each
// process.
func (q *queue) mayAcquire(now time.Time, v view, seed uint64) bool {
	own := float64(len(q.permits) + len(q.waiting) + 1)
	all := own + float64(v.peerLoad.Running+v.peerLoad.Waiting)
	share, fraction := math.Modf(float64(v.capacity) * own / all)
	if len(q.permits) < int(share) {
		return true
	}
	interval := uint64(now.UnixNano()) / uint64(shareInterval)
	return len(q.permits) == int(share) && assign.Score(seed, interval) < fraction
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
	// usable counts the ready backend servers, capacity the permits of those
	// that are not ejected, or of all if all are ejected.
	usable, capacity int
	// firstEventTime is the predicted time, in seconds, from the permit to the
	// first event if the KV transfers of server are slow, otherwise 0.
	firstEventTime float64
	// ejected is set if every backend server is ejected or excluded. server may
	// be an ejected one only in this case.
	ejected bool
	// peerLoad is the load of the peers in the queue.
	peerLoad peers.Load
}

// choose evaluates the backend servers for a request. b.mu must be held.
func (b *Broker) choose(now time.Time, n need) view {
	servers := b.Roster.Service(n.key.service)
	candidates := make([]assign.Candidate, 0, len(servers))
	options := make([]option, 0, len(servers))
	v := view{peerLoad: b.withoutGrants(n.key.service, b.Peers.Queue(n.key.hash())), ejected: true}
	ejected := 0
	links, localPrefills := b.links(now, n.key, servers), 0
	if n.key.work == usage.LocalPrefill {
		localPrefills = localPrefillLimit(servers)
	}
	for _, s := range servers {
		if s.Role != n.key.role {
			continue
		}
		snapshot := b.Usage.Get(now, s)
		excess := links.excess(snapshot)
		c := b.candidate(n, s, snapshot, links.speed(excess), localPrefills)
		v.usable++
		v.capacity += c.SameWorkLimit
		if c.Ejected {
			ejected += c.SameWorkLimit
		}
		v.ejected = v.ejected && (c.Ejected || c.Excluded)
		candidates = append(candidates, c)
		options = append(options, option{s, excess})
	}
	if ejected < v.capacity {
		v.capacity -= ejected
	}
	request := assign.Request{PrefixHash: n.prefixHash, Affinity: n.affinity, Zone: b.Zone}
	if b.Peers.Live() > peers.MaxUncoordinated {
		request.Seed = b.nextRandom()
	}
	if i := assign.Choose(candidates, request); i >= 0 {
		v.server = options[i].server
		if excess := options[i].excess; excess > 0 {
			v.firstEventTime = links.total + excess
		}
	}
	return v
}

// option is a candidate's backend server. excess is by how many seconds its KV
// transfers exceed the fastest engine's plus the slack.
type option struct {
	server roster.Server
	excess float64
}

// candidate combines the load of this process and its peers at a backend server
// with its limits. speed, from 0 to 1, scales the limits of an engine with slow
// KV transfers. localPrefills is the maximum number of local prefills per
// decode engine. b.mu must be held.
func (b *Broker) candidate(n need, s roster.Server, snapshot usage.Snapshot, speed float64, localPrefills int) assign.Candidate {
	share := b.zoneShare(s.Zone)
	peerLoad := b.withoutGrants(n.key.service, b.Peers.Server(s.Key()))
	granted := b.grantedByEngine[s.Key()]
	limit := scaled(n.perSlot*float64(s.Slots)*speed, share)
	c := assign.Candidate{
		Hash: xxhash.Sum64String(s.ID), Zone: s.Zone, Running: snapshot.Running + peerLoad.Running + granted, Slots: s.Slots,
		Limit: limit, SameWorkLimit: limit, LatencyRatio: snapshot.LatencyRatio / speed,
		Suspect: snapshot.Suspect, OwnRunning: snapshot.Running + granted, Ejected: snapshot.Ejected, Excluded: n.excluded[s.ID],
	}
	c.SameWork = c.Running
	switch n.key.work {
	case usage.Long:
		c.SameWork = snapshot.Long + peerLoad.Long
		c.SameWorkLimit = min(limit, scaled(float64(s.Slots)-b.reserved(n.key, s.Slots), share))
	case usage.LocalPrefill:
		c.SameWork = snapshot.LocalPrefills + peerLoad.LocalPrefills + granted
		c.SameWorkLimit = min(limit, scaled(float64(localPrefills), share))
	}
	return c
}

// withoutGrants subtracts from the peers' load the permits that a coordinator
// granted to them. Unless another process is the coordinator, this process
// granted them and counts them itself. b.mu must be held.
func (b *Broker) withoutGrants(service string, load peers.Load) peers.Load {
	if b.elected[service] != "" {
		return load
	}
	load.Running -= load.Granted
	load.LocalPrefills = max(load.LocalPrefills-load.Granted, 0)
	return load
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

// minLocalPrefills and maxLocalPrefills bound how many local prefills a decode
// engine runs at once beside its streams.
const (
	minLocalPrefills = 2
	maxLocalPrefills = 4
)

// localPrefillLimit returns how many local prefills a decode engine may run at
// once: the ratio of decode to prefill engines, within bounds. One decode
// engine is left out of the ratio to keep capacity for long responses.
func localPrefillLimit(servers []roster.Server) int {
	prefills, decodes := 0, 0
	for _, s := range servers {
		switch s.Role {
		case roster.Prefill:
			prefills++
		case roster.Decode:
			decodes++
		}
	}
	return min(max((decodes-1)/max(prefills, 1), minLocalPrefills), maxLocalPrefills)
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

// preferredEngine returns the address of the decode engine that comes first in
// the rendezvous order of the prefix hash, from which requester can fetch the
// prefix's KV cache. Engines that are unreachable or stalled are skipped,
// because the fetch would not complete. The address is invalid if
// there is no such engine or if it is requester itself.
func (b *Broker) preferredEngine(now time.Time, service string, prefixHash uint64, requester roster.Server) netip.AddrPort {
	if prefixHash == 0 {
		return netip.AddrPort{}
	}
	var preferred roster.Server
	bestScore := 2.0
	for _, s := range b.Roster.Service(service) {
		if s.Role != roster.Decode {
			continue
		}
		if snapshot := b.Usage.Get(now, s); snapshot.Unreachable || snapshot.Stalled {
			continue
		}
		if score := assign.Score(xxhash.Sum64String(s.ID), prefixHash); score < bestScore {
			bestScore, preferred = score, s
		}
	}
	if preferred.ID == requester.ID {
		return netip.AddrPort{}
	}
	return preferred.Address
}
