package board

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/place"
)

// Query asks for the engines of a model.
type Query struct {
	Model   string
	KvBytes int64
	// Blocks are the names of the prompt's blocks, BlockTokens each.
	Blocks      []uint64
	BlockTokens int
	// Not names servers that are left out, as they failed this request.
	Not []string
}

// Buffer holds the result of Candidates and is used again and again.
type Buffer struct {
	Engines []place.Engine
	Servers []spec.BackendServer
}

// Candidates fills the buffer with the engines that may get the request.
func (b *Board) Candidates(now time.Time, q Query, buffer *Buffer) {
	buffer.Engines = buffer.Engines[:0]
	buffer.Servers = buffer.Servers[:0]
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.models[q.Model] {
		if !b.usable(now, e) || contains(q.Not, e.server.Name) {
			continue
		}
		c := e.candidate(now, &q, b.Zone)
		c.Left = b.output / 2
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

// candidate joins the last report with what this process did since.
func (e *entry) candidate(now time.Time, q *Query, zone string) place.Engine {
	age := now.Sub(e.load.At)
	c := place.Engine{
		Role:    e.load.Role,
		Remote:  e.server.AvailabilityZone != zone,
		Running: e.load.Running,
		Waiting: float64(e.load.QueuedTokens),
		Slots:   int(e.server.Slots),
		Cached:  e.known.Match(q.Blocks) * float64(q.BlockTokens),
		PerMove: time.Duration(float64(q.KvBytes) / moveRate * float64(time.Second)),
	}
	c.Overhead, c.PerPrompt = e.first.durations()
	c.Gap, c.PerStream = e.gap.durations()
	if !e.heard {
		age = time.Minute
		c.Running, c.Waiting = 0, 0
	}
	if c.PerPrompt > 0 {
		// The engine has worked since the report.
		c.Waiting = max(c.Waiting-float64(age)/float64(c.PerPrompt), 0)
	}
	e.correct(&c)
	c.Doubt = min(max(time.Duration(age.Seconds()*float64(doubtPerSecond)), doubtLeast), doubtMost)
	return c
}

// correct adds the tickets that the report cannot know of, and never goes below
// what this process itself has there.
func (e *entry) correct(c *place.Engine) {
	c.Running = max(c.Running+e.newer, e.own)
	c.Waiting = max(c.Waiting+e.newerWaiting, e.ownWaiting)
}

// recount counts the tickets anew, as after a new load.
func (e *entry) recount() {
	e.own, e.ownWaiting, e.newer, e.newerWaiting = 0, 0, 0, 0
	for t := range e.tickets {
		e.count(t, 1)
	}
}

// count adds a ticket to the counts, or takes it out with -1.
func (e *entry) count(t *Ticket, sign int) {
	waiting := 0.0
	if t.first.IsZero() {
		waiting = t.tokens * float64(sign)
	}
	e.own += sign
	e.ownWaiting += waiting
	if !t.started.Before(e.load.At) {
		e.newer += sign
		e.newerWaiting += waiting
	}
}

// Plain returns the servers of a service that may get a call, fewest calls of
// this process first, those of the own zone before others.
func (b *Board) Plain(now time.Time, service string, not []string) (spec.BackendServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *entry
	for _, e := range b.services[service] {
		if !b.usable(now, e) || contains(not, e.server.Name) {
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

// remoteCalls is how many calls in flight a server of another zone counts for.
const remoteCalls = 8

func (e *entry) plainCost(zone string) int {
	if e.server.AvailabilityZone != zone {
		return len(e.tickets) + remoteCalls
	}
	return len(e.tickets)
}
