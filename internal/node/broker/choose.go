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

// mayTake reports whether this process may take one more place: the places are
// shared by what each process has, since what is known of the others is old. Of
// a share that is no whole number, the rest is taken in some of the slots of
// time only, by one process in this and by another in that.
func (l *line) mayTake(now time.Time, v view, seed uint64) bool {
	own := float64(len(l.places) + len(l.waiting) + 1)
	all := own + float64(v.others.Running+v.others.Waiting)
	share, rest := math.Modf(float64(v.places) * own / all)
	if len(l.places) < int(share) {
		return true
	}
	slot := uint64(now.UnixNano()) / uint64(shareSlot)
	return len(l.places) == int(share) && assign.Draw(seed, slot) < rest
}

// shareSlot is the length of a slot of time, about that of a short request.
const shareSlot = 100 * time.Millisecond

// view is what a process sees of one kind of backend server.
type view struct {
	// server is the best with a free place; it has no ID if there is none.
	server roster.Server
	// usable counts the backend servers, places what they hold.
	usable, places int
	// predicted is the time, in seconds, that server will take from its
	// place to the first event; 0 if nothing is known.
	predicted float64
	// closed is set if none should be sent anything; server is then one of them.
	closed bool
	// others is what the other processes told of their lines.
	others peers.Load
}

// choose looks at the backend servers for a request.
func (b *Broker) choose(now time.Time, w want) view {
	servers := b.Roster.Service(w.key.service)
	candidates := make([]assign.Candidate, 0, len(servers))
	options := make([]option, 0, len(servers))
	v := view{others: b.told(w.key.service, b.Others.Line(w.key.hash())), closed: true}
	closed := 0
	links, reads := b.links(now, w.key, servers), 0
	if w.key.work == usage.Reading {
		reads = readings(servers)
	}
	for _, s := range servers {
		if s.Role != w.key.role {
			continue
		}
		seen := b.Usage.Look(now, s)
		excess := links.excess(seen)
		c := b.candidate(w, s, seen, links.speed(excess), reads)
		v.usable++
		v.places += c.SameLimit
		if c.Closed {
			closed += c.SameLimit
		}
		v.closed = v.closed && (c.Closed || c.Excluded)
		candidates = append(candidates, c)
		options = append(options, option{s, excess})
	}
	if closed < v.places {
		v.places -= closed
	}
	choice := assign.Want{Key: w.share, Pull: w.pull, Zone: b.Zone}
	if b.Others.Heard() > peers.Few {
		choice.Draw = b.next()
	}
	if i := assign.Choose(candidates, choice); i >= 0 {
		v.server = options[i].server
		if excess := options[i].excess; excess > 0 {
			v.predicted = links.whole + excess
		}
	}
	return v
}

// option is a backend server that may be chosen, and by how many seconds its
// handovers take longer than they should.
type option struct {
	server roster.Server
	excess float64
}

// candidate is a backend server as the choice sees it. speed is the share of the
// usual that it gets done, reads how many prompts a decode engine reads at once.
func (b *Broker) candidate(w want, s roster.Server, seen usage.Seen, speed float64, reads int) assign.Candidate {
	part := b.part(s.Zone)
	others := b.told(w.key.service, b.Others.Server(s.Key()))
	granted := b.granted[s.Key()]
	limit := scaled(w.load*float64(s.Slots)*speed, part)
	c := assign.Candidate{
		Hash: xxhash.Sum64String(s.ID), Zone: s.Zone, Running: seen.Running + others.Running + granted, Slots: s.Slots,
		Limit: limit, SameLimit: limit, Slowness: seen.Slowness / speed,
		Suspect: seen.Suspect, Own: seen.Running + granted, Closed: seen.Closed, Excluded: w.excluded[s.ID],
	}
	c.Same = c.Running
	switch w.key.work {
	case usage.Long:
		c.Same = seen.Long + others.Long
		c.SameLimit = min(limit, scaled(float64(s.Slots)-b.reserved(w.key, s.Slots), part))
	case usage.Reading:
		c.Same = seen.Reading + others.Reading + granted
		c.SameLimit = min(limit, scaled(float64(reads), part))
	}
	return c
}

// told is what the others told, less what this process has granted them.
func (b *Broker) told(service string, others peers.Load) peers.Load {
	if b.elected[service] != "" {
		return others
	}
	others.Running -= others.Granted
	others.Reading = max(others.Reading-others.Granted, 0)
	return others
}

// reserved is how many of an engine's slots are kept for short requests: as
// many as these usually have there or wait for, and one.
func (b *Broker) reserved(key lineKey, slots int) float64 {
	key.work = usage.Short
	return min(math.Ceil(1+b.line(key).load), maxReserved*float64(slots))
}

const (
	// maxReserved is the largest share of an engine's slots that is kept for
	// short requests.
	maxReserved = 0.5
	// loadLearnt is the weight of the newest look at a line, every 20 ms.
	loadLearnt = 0.02
)

// weigh learns how many requests of a line an engine usually has.
func (b *Broker) weigh(key lineKey, l *line) {
	engines := 0
	for _, s := range b.Roster.Service(key.service) {
		if s.Role == key.role {
			engines++
		}
	}
	others := b.told(key.service, b.Others.Line(key.hash()))
	load := float64(len(l.places)+len(l.waiting)+others.Running+others.Waiting) / float64(max(engines, 1))
	l.load += loadLearnt * (load - l.load)
}

// minReadings and maxReadings bound how many prompts a decode engine reads at
// once beside its streams.
const (
	minReadings = 2
	maxReadings = 4
)

// readings is how many prompts a decode engine reads at once: the fewer prefill
// engines there are, the more is left to the others. One decode engine is not
// counted, so that long answers keep room.
func readings(servers []roster.Server) int {
	prefills, decodes := 0, 0
	for _, s := range servers {
		switch s.Role {
		case roster.Prefill:
			prefills++
		case roster.Decode:
			decodes++
		}
	}
	return min(max((decodes-1)/max(prefills, 1), minReadings), maxReadings)
}

// part is the part of the places at backend servers of a zone that the
// processes heard of may fill: others may use them, too.
func (b *Broker) part(zone string) float64 {
	heard := float64(b.Others.Heard())
	return heard / (heard + float64(b.Others.Unheard(zone, b.Zone)))
}

func scaled(places, part float64) int { return max(int(math.Ceil(places*part)), 1) }

// home returns the address of the decode engine that keeps what such requests
// share, if there is one that is not the reader. One that this process cannot
// reach is passed over: the reader would wait for it in vain.
func (b *Broker) home(now time.Time, service string, share uint64, reader roster.Server) netip.AddrPort {
	if share == 0 {
		return netip.AddrPort{}
	}
	var home roster.Server
	best := 2.0
	for _, s := range b.Roster.Service(service) {
		if s.Role != roster.Decode {
			continue
		}
		if seen := b.Usage.Look(now, s); seen.Unreachable || seen.Stalled {
			continue
		}
		if at := assign.Draw(xxhash.Sum64String(s.ID), share); at < best {
			best, home = at, s
		}
	}
	if home.ID == reader.ID {
		return netip.AddrPort{}
	}
	return home.Address
}
