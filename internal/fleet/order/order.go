// Package order changes engines, one order at a time for each, so that an
// engine never receives conflicting orders.
//
// An order goes through states that are recorded in the platform as an Intent,
// each step by a conditional update:
//
//	Intended   the engine is being emptied; the order was certainly not sent
//	Sending    the order may have been sent
//	Confirmed  the engine was read back and has carried it out
//	Abandoned  the order was never sent and never will be
//
// Only the step from Intended to Sending permits to send. A holder that lost
// its lease while it was emptying an engine loses that step to whoever
// abandoned the intent, whether or not the engine checks fencing numbers. An
// intent that is Sending blocks everything else until the engine has been read:
// the next holder finishes the same change under its own number, and never
// begins another.
//
// # Usage
//
//	step := order.Next(order.Situation{...})
//	switch step.Kind { case order.Send: ... }
//
// Next is pure. Desk drives it for the engines of a zone.
package order

import (
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// State is how far an order got.
type State int

// The states.
const (
	Intended State = iota
	Sending
	Confirmed
	Abandoned
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"Intended", "Sending", "Confirmed", "Abandoned"}[s]
}

// Want is what an engine shall be.
type Want struct {
	Role   spec.Role
	Models []engine.Loaded
}

// Equal reports whether two wants are the same.
func (w Want) Equal(other Want) bool {
	return w.Role == other.Role && slices.EqualFunc(w.Models, other.Models, func(a, b engine.Loaded) bool {
		return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
	})
}

// Intent is the record of an order.
type Intent struct {
	ID     string
	Engine string
	Fence  uint64
	Want   Want
	// Declared is the role that the files declared when the order was made.
	Declared spec.Role
	State    State
	// Reason says why the change is made.
	Reason string
	// Write is different for each write, by which a writer knows its own.
	Write string
}

// Open reports whether the intent still has to be brought to an end.
func (i Intent) Open() bool { return i.ID != "" && (i.State == Intended || i.State == Sending) }

// Situation is all that a decision on one engine depends on.
type Situation struct {
	Now time.Time
	// Intent is the engine's record; its ID is empty if there is none.
	Intent Intent
	// Fence is the number of the lease that is held.
	Fence uint64
	// Want is what the plan asks for, and Wanted whether it asks for anything.
	Want   Want
	Wanted bool
	// EmptiedSince is when this process began to keep new work away, zero if
	// it has not.
	EmptiedSince time.Time
	// Report is the newest report, read at ReportAt; zero if there is none.
	Report   engine.Report
	ReportAt time.Time
	// SentAt is when this process last sent the order, zero if it has not.
	SentAt time.Time
}

// Kind is what to do next.
type Kind int

// The kinds of steps.
const (
	// Wait means that nothing is to be done now.
	Wait Kind = iota
	// Intend records a new order.
	Intend
	// Empty keeps new work away from the engine.
	Empty
	// Commit records that the order is about to be sent.
	Commit
	// Send sends the order.
	Send
	// Confirm records that the engine has carried the order out.
	Confirm
	// Abandon records that the order will not be sent.
	Abandon
	// Adopt records the order under the own fencing number and a new identity.
	Adopt
)

// String returns the step's name.
func (k Kind) String() string {
	return [...]string{"Wait", "Intend", "Empty", "Commit", "Send", "Confirm", "Abandon", "Adopt"}[k]
}

// Timing of orders.
const (
	// SpreadFor is how long new work is kept away before an empty engine is
	// believed to stay empty: the time within which every node knows.
	SpreadFor = 4 * time.Second
	// ReportLag is how old an engine's report may be when it is read.
	ReportLag = 2 * time.Second
	// EmptyFor is how long an engine may take to become empty before the
	// change is abandoned.
	EmptyFor = 2 * time.Minute
	// ResendAfter is how long after a sending the engine's report has to show
	// the order before it is sent again.
	ResendAfter = 3 * time.Second
)

// Next decides on the next step for an engine.
func Next(s Situation) Kind {
	if !s.Intent.Open() {
		if s.Wanted && !s.served() && !s.Report.Changing && !s.ReportAt.IsZero() {
			return Intend
		}
		return Wait
	}
	if s.Intent.State == Intended {
		return s.intended()
	}
	return s.sending()
}

// served reports whether the engine is as wanted already.
func (s Situation) served() bool {
	return s.Report.Role == s.Want.Role && Want{Models: s.Report.Models}.Equal(Want{Models: s.Want.Models})
}

func (s Situation) intended() Kind {
	if s.Intent.Fence != s.Fence {
		// The holder before did not get to send it, and cannot any more once
		// this is recorded.
		return Abandon
	}
	if s.Wanted && !s.Want.Equal(s.Intent.Want) {
		return Abandon
	}
	if s.EmptiedSince.IsZero() {
		return Empty
	}
	emptied := s.Now.Sub(s.EmptiedSince)
	switch {
	case emptied > EmptyFor:
		return Abandon
	case s.ReportAt.Before(s.EmptiedSince.Add(SpreadFor + ReportLag)):
		return Wait
	case s.Report.Running+s.Report.Queued > 0 || s.Report.Changing:
		return Wait
	}
	return Commit
}

func (s Situation) sending() Kind {
	if s.ReportAt.IsZero() {
		return Wait
	}
	if s.Report.OrderID == s.Intent.ID {
		if s.Report.Changing {
			return Wait
		}
		return Confirm
	}
	if s.Report.Changing {
		return Wait
	}
	if s.Intent.Fence != s.Fence {
		return Adopt
	}
	if s.SentAt.IsZero() || s.Now.Sub(s.SentAt) > ResendAfter && s.ReportAt.After(s.SentAt.Add(ResendAfter)) {
		return Send
	}
	return Wait
}
