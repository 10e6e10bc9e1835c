// Package trace keeps the timeline of a process: its recent events, in an order
// that can be merged with the timelines of other processes.
//
// Each event is stamped by a hybrid logical clock. The clock follows the VM's
// wall clock, but is never behind a clock value received with a message. If one
// event causes another, even in another process, the cause therefore has the
// lower clock value, however much the VMs' wall clocks differ.
//
// # Usage
//
//	timeline := &trace.Timeline{Process: "entry-1"}
//	timeline.Add(trace.Event{Kind: trace.Placed, Request: id, Engine: name})
//	timeline.Observe(message.Clock)
//	merged := trace.Merge(timeline.Events(filter), received)
//
// A Timeline holds a bounded number of events. The newest overwrite the oldest,
// which are counted.
package trace

import (
	"sort"
	"sync"
	"time"
)

// Kind is the type of an event. Its text is shown to operators and sent to peers.
type Kind string

// The kinds of events.
const (
	Started         Kind = "Started"         // the process started its tasks
	Stopping        Kind = "Stopping"        // a planned stop began
	Stopped         Kind = "Stopped"         // the process's tasks ended
	ConfigInForce   Kind = "ConfigInForce"   // a configuration became active
	ConfigRefused   Kind = "ConfigRefused"   // a configuration was rejected: a file is missing or invalid
	Admitted        Kind = "Admitted"        // a request passed admission control
	Refused         Kind = "Refused"         // a request was answered with a rejection or an error
	Placed          Kind = "Placed"          // a backend server was selected for an attempt
	Retried         Kind = "Retried"         // an attempt failed and another one follows
	Resumed         Kind = "Resumed"         // a stream that broke off continues with another attempt
	Crossed         Kind = "Crossed"         // a response belonged to another request and was discarded
	Answered        Kind = "Answered"        // a response was complete
	Broken          Kind = "Broken"          // an admitted request failed, or its response broke off
	Abandoned       Kind = "Abandoned"       // the client closed its connection before the response ended
	Claimed         Kind = "Claimed"         // a request's idempotency key was claimed
	Replayed        Kind = "Replayed"        // a request's idempotency key had been claimed before
	LeaseTaken      Kind = "LeaseTaken"      // this process acquired a lease
	LeaseLost       Kind = "LeaseLost"       // this process may no longer hold a lease
	LeaseReleased   Kind = "LeaseReleased"   // this process released a lease
	OrderIntended   Kind = "OrderIntended"   // an order to an engine was recorded, not yet sent
	OrderSent       Kind = "OrderSent"       // an order was recorded as being sent
	OrderConfirmed  Kind = "OrderConfirmed"  // the engine has carried out an order
	OrderAbandoned  Kind = "OrderAbandoned"  // an order will never be sent
	OrderHeldBack   Kind = "OrderHeldBack"   // an order was not sent, since the lease is no longer valid
	RolePlanned     Kind = "RolePlanned"     // a change of an engine's role was decided
	RoleKept        Kind = "RoleKept"        // a role change would help, but not enough to be made
	LeavingSet      Kind = "LeavingSet"      // a source marked a VM or a backend server as leaving
	LeavingCleared  Kind = "LeavingCleared"  // a source no longer marks it as leaving
	MemberJoined    Kind = "MemberJoined"    // a process was discovered, or is live again
	MemberSuspected Kind = "MemberSuspected" // a process did not respond to any probe
	MemberGone      Kind = "MemberGone"      // a suspected process did not refute the suspicion in time
	PlatformLost    Kind = "PlatformLost"    // watch calls to the platform began to fail
	PlatformBack    Kind = "PlatformBack"    // watch calls to the platform succeed, for the first time or again
)

// Event is one entry of a timeline. Add sets Clock, At, Process and Sequence.
type Event struct {
	// Clock is the hybrid logical clock, At the VM's wall clock.
	Clock uint64
	At    time.Time
	// Process is the name of the process that recorded the event, and Sequence
	// numbers the events of that process from 0.
	Process  string
	Sequence uint64
	Kind     Kind
	// Request is the ID of the request, and Engine the name of the backend server
	// or VM, that the event is about, if any. Detail is text for operators.
	Request string `json:",omitempty"`
	Engine  string `json:",omitempty"`
	Detail  string `json:",omitempty"`
}

// DefaultSize is the number of events that a Timeline keeps if its Size is 0.
const DefaultSize = 16384

// Timeline holds the newest events of one process. The zero value is ready to use.
// A Timeline is safe for concurrent use.
type Timeline struct {
	// Process is the name of the process, and Size the number of events that are
	// kept, DefaultSize if it is 0. Neither may be changed after the first Add.
	Process string
	Size    int

	mu sync.Mutex
	// clock is the hybrid logical clock as of the last event or message.
	clock uint64
	// events is a ring buffer: the event with sequence n is at index n modulo
	// Size.
	events []Event
	// next is the sequence of the next event.
	next uint64
}

// Add appends an event, overwriting the oldest one if the timeline is full.
func (t *Timeline) Add(e Event) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Size == 0 {
		t.Size = DefaultSize
	}
	e.Clock, e.At, e.Process, e.Sequence = t.tick(now), now, t.Process, t.next
	if len(t.events) < t.Size {
		t.events = append(t.events, e)
	} else {
		t.events[t.next%uint64(t.Size)] = e
	}
	t.next++
}

// tick advances the clock and returns it. It is the wall clock in microseconds,
// shifted left by logicalBits; the low bits order events of the same
// microsecond. The caller must hold mu.
func (t *Timeline) tick(now time.Time) uint64 {
	t.clock = max(t.clock+1, uint64(now.UnixMicro())<<logicalBits)
	return t.clock
}

// logicalBits is the number of low bits of the clock that count events within a
// microsecond. If they overflow, the clock runs ahead of the wall clock.
const logicalBits = 8

// Clock advances the clock and returns its value for a message to be sent.
func (t *Timeline) Clock() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tick(time.Now())
}

// Observe advances the clock to at least the clock value of a received message.
func (t *Timeline) Observe(clock uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = max(t.clock, clock)
}

// Filter selects events. An empty field matches all events.
type Filter struct {
	Request, Engine, Process string
	Kind                     Kind
	// Limit is the largest number of events, of which the newest are selected. 0
	// means no limit.
	Limit int
}

// Match reports whether the event matches all fields of the filter but Limit.
func (f Filter) Match(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Engine == "" || f.Engine == e.Engine) &&
		(f.Process == "" || f.Process == e.Process) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

// Events returns copies of the selected events, oldest first.
func (t *Timeline) Events(f Filter) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Event
	oldest := t.next - uint64(len(t.events))
	for n := oldest; n < t.next; n++ {
		e := t.events[n%uint64(t.Size)]
		if f.Match(e) {
			list = append(list, e)
		}
	}
	if f.Limit > 0 && len(list) > f.Limit {
		list = list[len(list)-f.Limit:]
	}
	return list
}

// Dropped returns how many events were overwritten so far.
func (t *Timeline) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next - uint64(len(t.events))
}

// Merge merges the events of several timelines in causal order. Events with the
// same clock value are ordered by process and sequence.
func Merge(timelines ...[]Event) []Event {
	var all []Event
	for _, timeline := range timelines {
		all = append(all, timeline...)
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
