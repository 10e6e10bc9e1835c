// Package judge finds broken promises in what the callers and the stand-ins
// saw.
//
// No checker asks the system how it did. Each takes the records of the
// stand-ins, the outcomes of the callers, or both, and returns the violations.
//
// # Usage
//
//	var v judge.Violations
//	v.Add(judge.RunTwice(runs)...)
//	v.Add(judge.Orders(name, checksFence, seen)...)
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

// Promise is one of the promises that must always hold.
type Promise int

// The promises.
const (
	NoConflictingOrders Promise = iota
	NoCutByPlannedChange
	NoEffectWithoutAuthority
	WholeAnswerToItsCaller
	NotRunIsTrue
	RunsAtMostOnce
	NoWorkAfterLeaving
	NoCutByPlannedStop
	ConfigInForceInTime
	ConfigNeverReverts
)

// Promises are all promises.
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
	What    string
}

// String describes the violation.
func (v Violation) String() string { return v.Promise.String() + ": " + v.What }

// Runs collects the executions of the plain servers.
func Runs(servers map[string]*plain.Server) []plain.Run {
	var runs []plain.Run
	for _, s := range servers {
		runs = append(runs, s.Seen()...)
	}
	return runs
}

// count returns how often each non-idempotent request ran, by its body.
func count(runs []plain.Run) map[string]int {
	n := map[string]int{}
	for _, run := range runs {
		if run.Method == "POST" {
			n[run.Body]++
		}
	}
	return n
}

// RunTwice finds non-idempotent requests that ran more than once.
func RunTwice(runs []plain.Run) []Violation {
	var list []Violation
	for body, n := range count(runs) {
		if n > 1 {
			list = append(list, Violation{RunsAtMostOnce, fmt.Sprintf("%s ran %d times", body, n)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].What < list[j].What })
	return list
}

// FalseNotRun finds requests of which every word was that they had not run, and
// that ran.
func FalseNotRun(outcomes []load.Outcome, runs []plain.Run) []Violation {
	n := count(runs)
	var list []Violation
	for _, o := range outcomes {
		if o.Entry.Kind() != load.Write || o.Lost || o.Said != retry.NotRun {
			continue
		}
		all := true
		for _, said := range o.Earlier {
			all = all && said == retry.NotRun
		}
		body := string(o.Entry.Body(o.Number, true))
		if all && n[body] > 0 {
			list = append(list, Violation{NotRunIsTrue, fmt.Sprintf("%s was said not to have run (%s) and ran %d times", body, o.Reason, n[body])})
		}
	}
	return list
}

// SaidRun finds requests that were said to have run and had not.
func SaidRun(outcomes []load.Outcome, runs []plain.Run) []Violation {
	n := count(runs)
	var list []Violation
	for _, o := range outcomes {
		body := string(o.Entry.Body(o.Number, true))
		if o.Entry.Kind() == load.Write && o.Whole && n[body] == 0 {
			list = append(list, Violation{WholeAnswerToItsCaller, body + " was answered and had not run"})
		}
	}
	return list
}

// Answers finds answers that were given as whole and were not the whole answer
// to the caller's request.
func Answers(outcomes []load.Outcome) []Violation {
	var list []Violation
	for _, o := range outcomes {
		if o.Whole && !o.Right {
			list = append(list, Violation{WholeAnswerToItsCaller, fmt.Sprintf("request %d (%s): %v", o.Number, o.ID, o.Err)})
		}
	}
	return list
}

// Orders finds orders of an engine that conflict, and orders that took effect
// after one with a higher number.
func Orders(name string, seen []model.SeenOrder) []Violation {
	var list []Violation
	wants := map[string]order.Want{}
	var highest uint64
	for _, s := range seen {
		want := order.Want{Role: s.Order.Role, Models: s.Order.Load}
		wants[s.Order.ID] = want
		if s.Refused == nil && s.Order.Fence < highest {
			list = append(list, Violation{NoEffectWithoutAuthority, fmt.Sprintf("%s took order %s with number %d after %d", name, s.Order.ID, s.Order.Fence, highest)})
		}
		highest = max(highest, s.Order.Fence)
		if s.During != "" && !wants[s.During].Equal(want) {
			list = append(list, Violation{NoConflictingOrders, fmt.Sprintf("%s got order %s while it carried out %s", name, s.Order.ID, s.During)})
		}
	}
	return list
}

// CutByOrders finds requests that ran on an engine when it took an order and
// whose callers did not get the whole answer. excused says which outcomes have
// another cause.
func CutByOrders(outcomes []load.Outcome, cut map[string]bool, excused func(load.Outcome) bool) []Violation {
	var list []Violation
	for _, o := range outcomes {
		if cut[o.ID] && !o.Whole && !excused(o) {
			list = append(list, Violation{NoCutByPlannedChange, fmt.Sprintf("request %d (%s): %v", o.Number, o.ID, o.Err)})
		}
	}
	return list
}

// LeavingWithin is how long a leaving backend server may still get new work.
const LeavingWithin = 5 * time.Second

// AfterLeaving finds calls that a server got more than LeavingWithin after it
// began to leave. excused says which calls came from processes that could not
// know.
func AfterLeaving(name string, since time.Time, started map[string]time.Time, excused func(id string, at time.Time) bool) []Violation {
	var list []Violation
	for id, at := range started {
		if at.After(since.Add(LeavingWithin)) && !excused(id, at) {
			list = append(list, Violation{NoWorkAfterLeaving, fmt.Sprintf("%s got %s %v after it began to leave", name, id, at.Sub(since))})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].What < list[j].What })
	return list
}
