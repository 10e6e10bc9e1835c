// Package judge checks the system's promises, the invariants that have to hold
// under every fault.
//
// Each checker takes what the stand-ins recorded, the outcomes that clients
// observed, or both, and returns the violations. None relies on what the system
// reports about itself.
//
// # Usage
//
//	runs := judge.Runs(plains)
//	violations := judge.RunTwice(runs)
//	violations = append(violations, judge.FalseNotRun(outcomes, runs)...)
//	for name, e := range engines {
//		violations = append(violations, judge.OrderViolations(name, e.Recorded().Orders)...)
//	}
package judge

import (
	"fmt"
	"sort"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/fleet/order"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
)

// Promise is an invariant of the system.
type Promise int

// The promises.
const (
	// NoConflictingOrders: an engine gets no order for another state while it
	// carries out an order.
	NoConflictingOrders Promise = iota
	// NoCutByPlannedChange: an order to an engine truncates no response to a
	// client.
	NoCutByPlannedChange
	// NoEffectWithoutAuthority: only the current lease holder's orders take
	// effect.
	NoEffectWithoutAuthority
	// WholeAnswerToItsCaller: a response that is given as complete is the
	// complete response to the client's own request.
	WholeAnswerToItsCaller
	// NotRunIsTrue: a request that was reported as not run did not run.
	NotRunIsTrue
	// RunsAtMostOnce: a non-idempotent request runs at most once.
	RunsAtMostOnce
	// NoWorkAfterLeaving: a leaving backend server gets no new requests after
	// LeavingWithin.
	NoWorkAfterLeaving
	// NoCutByPlannedStop: a planned stop of a process truncates no response.
	NoCutByPlannedStop
	// ConfigInForceInTime: an accepted configuration is active at every process
	// in time.
	ConfigInForceInTime
	// ConfigNeverReverts: no process goes back to an older configuration, and no
	// version is accepted twice.
	ConfigNeverReverts
)

// Promises has all promises.
var Promises = []Promise{
	NoConflictingOrders, NoCutByPlannedChange, NoEffectWithoutAuthority, WholeAnswerToItsCaller, NotRunIsTrue,
	RunsAtMostOnce, NoWorkAfterLeaving, NoCutByPlannedStop, ConfigInForceInTime, ConfigNeverReverts,
}

// String returns the promise's name.
func (p Promise) String() string {
	return [...]string{
		"NoConflictingOrders", "NoCutByPlannedChange", "NoEffectWithoutAuthority", "WholeAnswerToItsCaller", "NotRunIsTrue",
		"RunsAtMostOnce", "NoWorkAfterLeaving", "NoCutByPlannedStop", "ConfigInForceInTime", "ConfigNeverReverts",
	}[p]
}

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	// Detail describes the violation.
	Detail string
}

// String describes the violation.
func (v Violation) String() string { return v.Promise.String() + ": " + v.Detail }

// Runs returns the executions of the given servers, in no particular order.
func Runs(servers map[string]*plain.Server) []plain.Run {
	var runs []plain.Run
	for _, s := range servers {
		runs = append(runs, s.Executions()...)
	}
	return runs
}

// countRuns returns the number of runs of each non-idempotent request, by its
// body. Requests with method POST are non-idempotent, and their bodies differ.
func countRuns(runs []plain.Run) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		if run.Method == "POST" {
			counts[run.Body]++
		}
	}
	return counts
}

// RunTwice finds non-idempotent requests that ran more than once.
func RunTwice(runs []plain.Run) []Violation {
	var list []Violation
	for body, n := range countRuns(runs) {
		if n > 1 {
			list = append(list, Violation{RunsAtMostOnce, fmt.Sprintf("%s ran %d times", body, n)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}

// FalseNotRun finds non-idempotent requests that ran although each of their
// attempts was reported as not run.
func FalseNotRun(outcomes []load.Outcome, runs []plain.Run) []Violation {
	counts := countRuns(runs)
	var list []Violation
	for _, o := range outcomes {
		if o.Entry.Kind() != load.Write || o.ConnectionLost || o.Reported != retry.NotRun {
			continue
		}
		allNotRun := true
		for _, earlier := range o.Earlier {
			allNotRun = allNotRun && earlier == retry.NotRun
		}
		body := string(o.Entry.Body(o.Number, true))
		if allNotRun && counts[body] > 0 {
			list = append(list, Violation{NotRunIsTrue, fmt.Sprintf("%s was reported as not run (%s) and ran %d times", body, o.Reason, counts[body])})
		}
	}
	return list
}

// FalseSuccess finds non-idempotent requests that got a complete response and did
// not run.
func FalseSuccess(outcomes []load.Outcome, runs []plain.Run) []Violation {
	counts := countRuns(runs)
	var list []Violation
	for _, o := range outcomes {
		body := string(o.Entry.Body(o.Number, true))
		if o.Entry.Kind() == load.Write && o.Complete && counts[body] == 0 {
			list = append(list, Violation{WholeAnswerToItsCaller, body + " got a response and did not run"})
		}
	}
	return list
}

// WrongResponses finds responses that were given as complete and were not the
// correct response to the client's request.
func WrongResponses(outcomes []load.Outcome) []Violation {
	var list []Violation
	for _, o := range outcomes {
		if o.Complete && !o.Correct {
			list = append(list, Violation{WholeAnswerToItsCaller, fmt.Sprintf("request %d (%s): %v", o.Number, o.ID, o.Err)})
		}
	}
	return list
}

// OrderViolations finds orders that an engine received while it carried out an
// order for another state, and orders that it accepted after one with a higher
// fencing token. received is sorted by arrival, and name is the engine's name.
func OrderViolations(name string, received []model.ReceivedOrder) []Violation {
	var list []Violation
	targets := map[string]order.Want{}
	var highest uint64
	for _, r := range received {
		target := order.Want{Role: r.Order.Role, Models: r.Order.Load}
		targets[r.Order.ID] = target
		if r.Refused == nil && r.Order.Fence < highest {
			list = append(list, Violation{NoEffectWithoutAuthority, fmt.Sprintf("%s accepted order %s with fencing token %d after %d", name, r.Order.ID, r.Order.Fence, highest)})
		}
		highest = max(highest, r.Order.Fence)
		if r.During != "" && !targets[r.During].Equal(target) {
			list = append(list, Violation{NoConflictingOrders, fmt.Sprintf("%s got order %s while it carried out %s", name, r.Order.ID, r.During)})
		}
	}
	return list
}

// TruncatedByOrders finds requests that an engine had when it accepted an order
// and whose clients did not get the complete response. truncated has the IDs of
// the requests that engines had then (see model.Record.Cut). excused reports
// whether an outcome has another cause.
func TruncatedByOrders(outcomes []load.Outcome, truncated map[string]bool, excused func(load.Outcome) bool) []Violation {
	var list []Violation
	for _, o := range outcomes {
		if truncated[o.ID] && !o.Complete && !excused(o) {
			list = append(list, Violation{NoCutByPlannedChange, fmt.Sprintf("request %d (%s): %v", o.Number, o.ID, o.Err)})
		}
	}
	return list
}

// LeavingWithin is how long a leaving backend server may still get new requests.
const LeavingWithin = 5 * time.Second

// AfterLeaving finds requests that a server received more than LeavingWithin after
// since, the time at which it began to leave. started has the arrival times of
// requests by ID. excused reports whether a request came from a process that could
// not have been informed in time.
func AfterLeaving(name string, since time.Time, started map[string]time.Time, excused func(id string, at time.Time) bool) []Violation {
	var list []Violation
	for id, at := range started {
		if at.After(since.Add(LeavingWithin)) && !excused(id, at) {
			list = append(list, Violation{NoWorkAfterLeaving, fmt.Sprintf("%s got %s %v after it began to leave", name, id, at.Sub(since))})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}
