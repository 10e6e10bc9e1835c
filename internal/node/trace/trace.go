// Package trace keeps the time line of a process: what it did, in an order that
// can be merged with the time lines of other processes.
//
// Each event carries a hybrid clock. The clock follows the time of day and
// never runs behind a clock that came with a message, so that of two events of
// which one caused the other, the cause has the lower clock, whatever the VMs'
// clocks say.
//
// # Usage
//
//	line := &trace.Line{Process: "entry-1"}
//	line.Add(trace.Event{Kind: trace.Placed, Request: id, Engine: name})
//	line.Observe(message.Clock)
//	merged := trace.Merge(line.Events(filter), others...)
//
// A Line holds the newest events; older ones are overwritten and counted.
package trace

import (
	"sort"
	"sync"
	"time"
)

// Kind is what happened.
type Kind string

// The kinds of events.
const (
	Started         Kind = "Started"
	Stopping        Kind = "Stopping"
	Stopped         Kind = "Stopped"
	ConfigInForce   Kind = "ConfigInForce"
	ConfigRefused   Kind = "ConfigRefused"
	Admitted        Kind = "Admitted"
	Refused         Kind = "Refused"
	Placed          Kind = "Placed"
	Retried         Kind = "Retried"
	Resumed         Kind = "Resumed"
	Crossed         Kind = "Crossed"
	Answered        Kind = "Answered"
	Broken          Kind = "Broken"
	Abandoned       Kind = "Abandoned"
	Claimed         Kind = "Claimed"
	Replayed        Kind = "Replayed"
	LeaseTaken      Kind = "LeaseTaken"
	LeaseLost       Kind = "LeaseLost"
	LeaseReleased   Kind = "LeaseReleased"
	OrderIntended   Kind = "OrderIntended"
	OrderSent       Kind = "OrderSent"
	OrderConfirmed  Kind = "OrderConfirmed"
	OrderAbandoned  Kind = "OrderAbandoned"
	OrderHeldBack   Kind = "OrderHeldBack"
	RolePlanned     Kind = "RolePlanned"
	RoleKept        Kind = "RoleKept"
	LeavingSet      Kind = "LeavingSet"
	LeavingCleared  Kind = "LeavingCleared"
	MemberJoined    Kind = "MemberJoined"
	MemberSuspected Kind = "MemberSuspected"
	MemberGone      Kind = "MemberGone"
	PlatformLost    Kind = "PlatformLost"
	PlatformBack    Kind = "PlatformBack"
)

// Event is one entry of a time line. Clock, At, Process and Sequence are filled
// in by Add.
type Event struct {
	Clock    uint64
	At       time.Time
	Process  string
	Sequence uint64
	Kind     Kind
	Request  string `json:",omitempty"`
	Engine   string `json:",omitempty"`
	Detail   string `json:",omitempty"`
}

// DefaultSize is how many events a Line holds if its Size is zero.
const DefaultSize = 16384

// Line is the time line of one process. Its zero value is ready to use.
type Line struct {
	Process string
	Size    int

	mu     sync.Mutex
	clock  uint64
	events []Event
	// next counts all events ever added; the event with sequence n stands at
	// n modulo the size.
	next uint64
}

// Add appends an event.
func (l *Line) Add(e Event) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Size == 0 {
		l.Size = DefaultSize
	}
	e.Clock, e.At, e.Process, e.Sequence = l.tick(now), now, l.Process, l.next
	if len(l.events) < l.Size {
		l.events = append(l.events, e)
	} else {
		l.events[l.next%uint64(l.Size)] = e
	}
	l.next++
}

// tick advances the clock. The low bits count events of the same microsecond.
func (l *Line) tick(now time.Time) uint64 {
	l.clock = max(l.clock+1, uint64(now.UnixMicro())<<logicalBits)
	return l.clock
}

const logicalBits = 8

// Clock returns a clock for a message that is about to be sent.
func (l *Line) Clock() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tick(time.Now())
}

// Observe takes in the clock of a message that was received.
func (l *Line) Observe(clock uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = max(l.clock, clock)
}

// Filter selects events; empty fields select all.
type Filter struct {
	Request, Engine, Process string
	Kind                     Kind
	// Limit bounds the events to the newest ones; 0 means no bound.
	Limit int
}

// Match reports whether an event is selected.
func (f Filter) Match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Engine == "" || f.Engine == e.Engine) &&
		(f.Process == "" || f.Process == e.Process) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

// Events returns the selected events, oldest first.
func (l *Line) Events(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Event
	oldest := l.next - uint64(len(l.events))
	for n := oldest; n < l.next; n++ {
		e := l.events[n%uint64(l.Size)]
		if f.Match(e) {
			list = append(list, e)
		}
	}
	if f.Limit > 0 && len(list) > f.Limit {
		list = list[len(list)-f.Limit:]
	}
	return list
}

// Dropped returns how many events were overwritten.
func (l *Line) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next - uint64(len(l.events))
}

// Merge joins time lines in causal order.
func Merge(lines ...[]Event) []Event {
	var all []Event
	for _, line := range lines {
		all = append(all, line...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if a.Clock != b.Clock {
			return a.Clock < b.Clock
		}
		if a.Process != b.Process {
			return a.Process < b.Process
		}
		return a.Sequence < b.Sequence
	})
	return all
}
