package stats

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/place"
)

// Query describes a request for which Candidates lists the engines.
type Query struct {
	Model string
	// KvBytes is the size of the model's KV cache per token, in bytes.
	KvBytes int64
	// Blocks are the prompt's block hashes, of BlockTokens tokens each.
	Blocks      []uint64
	BlockTokens int
	// Exclude names servers to leave out because they failed this request.
	Exclude []string
}

// Buffer holds the result of Candidates: Servers[i] is the server of Engines[i].
// Candidates reuses its memory.
type Buffer struct {
	Engines []place.Engine
	Servers []spec.BackendServer
}

// Candidates fills the buffer with the engines that serve the query's model and
// may get new requests. Its former contents are overwritten.
func (e *Estimates) Candidates(now time.Time, q Query, buffer *Buffer) {
	buffer.Engines = buffer.Engines[:0]
	buffer.Servers = buffer.Servers[:0]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, en := range e.models[q.Model] {
		if !e.usable(now, en) || contains(q.Exclude, en.server.Name) {
			continue
		}
		c := en.candidate(now, &q, e.Zone)
		// On average, half of a stream's output is left.
		c.Left = e.meanOutput / 2
		buffer.Engines = append(buffer.Engines, c)
		buffer.Servers = append(buffer.Servers, en.server)
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// candidate predicts the engine's state from its last load, its estimated rates
// and this process's requests. An engine without a report counts as idle, with
// the uncertainty of a report that is a minute old.
func (en *entry) candidate(now time.Time, q *Query, zone string) place.Engine {
	age := now.Sub(en.load.At)
	c := place.Engine{
		Role:    en.load.Role,
		Remote:  en.server.AvailabilityZone != zone,
		Running: en.load.Running,
		Waiting: float64(en.load.QueuedTokens),
		Slots:   int(en.server.Slots),
		Cached:  en.prefixes.Match(q.Blocks) * float64(q.BlockTokens),
		PerMove: time.Duration(float64(q.KvBytes) / kvTransferRate * float64(time.Second)),
	}
	c.Overhead, c.PerPrompt = en.firstToken.Durations()
	c.Gap, c.PerStream = en.tokenGap.Durations()
	if !en.reported {
		age = time.Minute
		c.Running, c.Waiting = 0, 0
	}
	if c.PerPrompt > 0 {
		// Subtract what the engine can have prefilled since the report.
		c.Waiting = max(c.Waiting-float64(age)/float64(c.PerPrompt), 0)
	}
	en.addUnreported(&c)
	c.Doubt = min(max(time.Duration(age.Seconds()*float64(uncertaintyPerSecond)), minUncertainty), maxUncertainty)
	return c
}

// addUnreported adds the requests that started after the report, and raises the
// result to at least what this process itself has in flight.
func (en *entry) addUnreported(c *place.Engine) {
	c.Running = max(c.Running+en.unreported, en.inFlight)
	c.Waiting = max(c.Waiting+en.unreportedWaiting, en.inFlightWaiting)
}

// recount recomputes the counts from the tickets, after load.At has changed.
func (en *entry) recount() {
	en.inFlight, en.inFlightWaiting, en.unreported, en.unreportedWaiting = 0, 0, 0, 0
	for t := range en.tickets {
		en.count(t, 1)
	}
}

// count adds a ticket to the counts if sign is 1 and subtracts it if sign is -1.
func (en *entry) count(t *Ticket, sign int) {
	waiting := 0.0
	if t.firstToken.IsZero() {
		waiting = t.uncached * float64(sign)
	}
	en.inFlight += sign
	en.inFlightWaiting += waiting
	if !t.started.Before(en.load.At) {
		en.unreported += sign
		en.unreportedWaiting += waiting
	}
}

// PickServer returns the server of a service with the fewest requests of this
// process in flight. A server in another zone counts as having remotePenalty
// more. Servers named in exclude and those that may not get new requests are left
// out. If all others are ejected, it returns the one whose ejection ends first, as it may
// be back. It returns false if no server remains.
func (e *Estimates) PickServer(now time.Time, service string, exclude []string) (spec.BackendServer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best, ejected *entry
	for _, en := range e.services[service] {
		switch {
		case !e.stays(en) || contains(exclude, en.server.Name):
		case !e.usable(now, en):
			if ejected == nil || en.avoidUntil.Before(ejected.avoidUntil) {
				ejected = en
			}
		case best == nil || en.plainCost(e.Zone) < best.plainCost(e.Zone):
			best = en
		}
	}
	if best == nil {
		best = ejected
	}
	if best == nil {
		return spec.BackendServer{}, false
	}
	return best.server, true
}

// remotePenalty is the cost of a server being in another zone, in requests in
// flight.
const remotePenalty = 8

// plainCost returns the cost of sending a request to a plain server, in requests
// in flight.
func (en *entry) plainCost(zone string) int {
	if en.server.AvailabilityZone != zone {
		return len(en.tickets) + remotePenalty
	}
	return len(en.tickets)
}
