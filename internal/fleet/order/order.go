// Package order changes the role and the models of engines by orders, one at a
// time for each engine, so that an engine never receives conflicting orders.
//
// The state of an order is recorded in the platform as an Intent, which changes
// only by conditional updates:
//
//	Intended   the engine is to be drained; the order has not been sent
//	Sending    the order may have been sent
//	Confirmed  the engine's report shows that it has carried the order out
//	Abandoned  the order was not sent and will not be
//
// An order is sent only after the update from Intended to Sending. If a lease
// holder loses its lease while an engine drains, the next one abandons the
// intent; the former's update to Sending then fails, so that it does not send the
// order, whether or not the engine checks fencing tokens. An intent that is
// Sending blocks any other order until the engine's report has been read: the
// next lease holder finishes the same change under its own fencing token before
// it begins another.
//
// # Usage
//
//	switch order.Next(order.Input{...}) {
//	case order.Send:
//		...
//	}
//
// Next is a pure function. Reconciler calls it for the engines of an
// availability zone and carries out the actions.
package order

import (
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// State is the state of an order. The package comment describes the states.
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

// Want is the desired state of an engine.
type Want struct {
	Role   spec.Role
	Models []engine.Loaded
}

// Equal reports whether the roles and the lists of models are equal.
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
	// Declared is the role in the configuration files when the order was made.
	Declared spec.Role
	State    State
	// Reason says why the change is made.
	Reason string
	// Write identifies the write of this record: a writer that got no response
	// finds out by it whether the stored record is its own.
	Write string
}

// Open reports whether the order is neither confirmed nor abandoned yet.
func (i Intent) Open() bool { return i.ID != "" && (i.State == Intended || i.State == Sending) }

// Input is everything that the next action for an engine depends on.
type Input struct {
	Now time.Time
	// Intent is the engine's record; its ID is empty if there is none.
	Intent Intent
	// Fence is the fencing token of the held lease.
	Fence uint64
	// Want is the planned state of the engine. It is valid if Wanted is set.
	Want   Want
	Wanted bool
	// DrainingSince is when this process began to drain the engine; zero if it
	// is not draining it.
	DrainingSince time.Time
	// Report is the last report of the engine, requested at ReportAt; zero if
	// there is none.
	Report   engine.Report
	ReportAt time.Time
	// SentAt is when this process last sent the order; zero if it has not.
	SentAt time.Time
}

// Action is the next thing to do for an engine.
type Action int

// The actions.
const (
	// Wait does nothing.
	Wait Action = iota
	// Intend records a new order.
	Intend
	// Empty begins to drain the engine: it gets no new requests.
	Empty
	// Commit records that the order may be sent from now on, and sends it.
	Commit
	// Send sends the order, possibly again.
	Send
	// Confirm records that the engine has carried the order out.
	Confirm
	// Abandon records that the order will not be sent.
	Abandon
	// Adopt rewrites the record of an order that an earlier lease holder may have
	// sent: it gets this holder's fencing token and a new ID, and is sent again.
	Adopt
)

// String returns the action's name.
func (a Action) String() string {
	return [...]string{"Wait", "Intend", "Empty", "Commit", "Send", "Confirm", "Abandon", "Adopt"}[a]
}

// Timing of orders.
const (
	// PropagationDelay is the time within which every process has stopped
	// sending new requests to an engine that drains. A report without requests
	// from before that does not mean that the engine stays without them.
	PropagationDelay = 4 * time.Second
	// MaxReportAge is how old an engine's report may be when it is read.
	MaxReportAge = 2 * time.Second
	// DrainTimeout is how long an engine may drain before the order is
	// abandoned.
	DrainTimeout = 2 * time.Minute
	// ResendAfter is how long after it was sent an order must show in the
	// engine's report; otherwise it is sent again.
	ResendAfter = 3 * time.Second
)

// Next returns the next action for an engine.
func Next(in Input) Action {
	if !in.Intent.Open() {
		if in.Wanted && !in.satisfied() && !in.Report.Changing && !in.ReportAt.IsZero() {
			return Intend
		}
		return Wait
	}
	if in.Intent.State == Intended {
		return in.nextIntended()
	}
	return in.nextSending()
}

// satisfied reports whether the engine has the desired state already.
func (in Input) satisfied() bool {
	return in.Report.Role == in.Want.Role && Want{Models: in.Report.Models}.Equal(Want{Models: in.Want.Models})
}

// nextIntended returns the next action for an order that is Intended.
func (in Input) nextIntended() Action {
	if in.Intent.Fence != in.Fence {
		// The previous lease holder has not sent it, and cannot once this is
		// recorded.
		return Abandon
	}
	if in.Wanted && !in.Want.Equal(in.Intent.Want) {
		return Abandon
	}
	if in.DrainingSince.IsZero() {
		return Empty
	}
	draining := in.Now.Sub(in.DrainingSince)
	switch {
	case draining > DrainTimeout:
		return Abandon
	case in.ReportAt.Before(in.DrainingSince.Add(PropagationDelay + MaxReportAge)):
		return Wait
	case in.Report.Running+in.Report.Queued > 0 || in.Report.Changing:
		return Wait
	}
	return Commit
}

// nextSending returns the next action for an order that is Sending.
func (in Input) nextSending() Action {
	if in.ReportAt.IsZero() {
		return Wait
	}
	if in.Report.OrderID == in.Intent.ID {
		if in.Report.Changing {
			return Wait
		}
		return Confirm
	}
	if in.Report.Changing {
		return Wait
	}
	if in.Intent.Fence != in.Fence {
		return Adopt
	}
	if in.SentAt.IsZero() || in.Now.Sub(in.SentAt) > ResendAfter && in.ReportAt.After(in.SentAt.Add(ResendAfter)) {
		return Send
	}
	return Wait
}
