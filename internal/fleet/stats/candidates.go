package stats

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/place"
)

// Query describes a request to Candidates.
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
func (b *Estimates) Candidates(now time.Time, q Query, buffer *Buffer) {
	buffer.Engines = buffer.Engines[:0]
	buffer.Servers = buffer.Servers[:0]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.models[q.Model] {
		if !b.usable(now, e) || contains(q.Exclude, e.server.Name) {
			continue
		}
		c := e.candidate(now, &q, b.Zone)
		// On average, half of a stream's output is left.
		c.Left = b.meanOutput / 2
		buffer.Engines = append(buffer.Engines, c)
		buffer.Servers = append(buffer.Servers, e.server)
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
func (e *entry) candidate(now time.Time, q *Query, zone string) place.Engine {
	age := now.Sub(e.load.At)
	c := place.Engine{
		Role:    e.load.Role,
		Remote:  e.server.AvailabilityZone != zone,
		Running: e.load.Running,
		Waiting: float64(e.load.QueuedTokens),
		Slots:   int(e.server.Slots),
		Cached:  e.prefixes.Match(q.Blocks) * float64(q.BlockTokens),
		PerMove: time.Duration(float64(q.KvBytes) / kvTransferRate * float64(time.Second)),
	}
	c.Overhead, c.PerPrompt = e.firstToken.durations()
	c.Gap, c.PerStream = e.tokenGap.durations()
	if !e.reported {
		age = time.Minute
		c.Running, c.Waiting = 0, 0
	}
	if c.PerPrompt > 0 {
		// Subtract what the engine can have prefilled since the report.
		c.Waiting = max(c.Waiting-float64(age)/float64(c.PerPrompt), 0)
	}
	e.addUnreported(&c)
	c.Doubt = min(max(time.Duration(age.Seconds()*float64(uncertaintyPerSecond)), minUncertainty), maxUncertainty)
	return c
}

// addUnreported adds the requests that started after the report, and raises the
// result to at least what this process itself has in flight.
func (e *entry) addUnreported(c *place.Engine) {
	c.Running = max(c.Running+e.unreported, e.inFlight)
	c.Waiting = max(c.Waiting+e.unreportedWaiting, e.inFlightWaiting)
}

// recount recomputes the counts from the tickets, after load.At has changed.
func (e *entry) recount() {
	e.inFlight, e.inFlightWaiting, e.unreported, e.unreportedWaiting = 0, 0, 0, 0
	for t := range e.tickets {
		e.count(t, 1)
	}
}

// count adds a ticket to the counts if sign is 1 and subtracts it if sign is -1.
func (e *entry) count(t *Ticket, sign int) {
	waiting := 0.0
	if t.firstToken.IsZero() {
		waiting = t.uncached * float64(sign)
	}
	e.inFlight += sign
	e.inFlightWaiting += waiting
	if !t.started.Before(e.load.At) {
		e.unreported += sign
		e.unreportedWaiting += waiting
	}
}

// PickServer returns the server of a service with the fewest requests of this
// process in flight. A server in another zone counts as having remotePenalty
// more. Servers named in exclude and those that may not get new requests are left
// out. It returns false if no server remains.
func (b *Estimates) PickServer(now time.Time, service string, exclude []string) (spec.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *entry
	for _, e := range b.services[service] {
		if !b.usable(now, e) || contains(exclude, e.server.Name) {
			continue
		}
		if best == nil || e.plainCost(b.Zone) < best.plainCost(b.Zone) {
			best = e
		}
	}
	if best == nil {
		return spec.BackendServer{}, false
	}
	return best.server, true
}

// remotePenalty is the cost of a server being in another zone, in requests in
// flight.
const remotePenalty = 8

// plainCost returns the cost of the choice of a plain server, in requests in
// flight.
func (e *entry) plainCost(zone string) int {
	if e.server.AvailabilityZone != zone {
		return len(e.tickets) + remotePenalty
	}
	return len(e.tickets)
}
