package demo

import (
	"fmt"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
)

// Report is the result of a demo.
type Report struct {
	Deployment string
	// Result has the outcomes of the load.
	Result *load.Result
	// Replays has the outcomes of the retries of keyed requests, whose stored
	// responses must be replayed.
	Replays *load.Result
	// Violations has the violations of promises that the checkers found.
	Violations []judge.Violation
	// MovedByOrders counts requests that were running or waiting on an engine when
	// it accepted an order, so that they had to be resumed on another engine.
	MovedByOrders int
	RoleChanges   int
	// DrainedEngine and ChangedEngine are the names of the engine that was
	// drained and of the one whose role was changed.
	DrainedEngine, ChangedEngine string
	// ActiveAfter is the time from the apply of the change until it was active at
	// every process, RoleChangeAfter until the engine had its new role. They are
	// 0 if that did not happen in time.
	ActiveAfter, RoleChangeAfter time.Duration

	drainedAt, appliedAt time.Time
	// runsOfLoad are the executions of plain services before the replays.
	runsOfLoad []plain.Run
}

// maxActivation is the promised time within which an accepted configuration is
// active at every process.
const maxActivation = 7 * time.Second

// Promise is a promise and whether the demo kept it.
type Promise struct {
	Name string
	Kept bool
	// Seen is the observed number of violations or duration.
	Seen string
}

// checkedPromises has the promises of package judge that the demo checks.
var checkedPromises = map[judge.Promise]bool{
	judge.NoConflictingOrders: true, judge.NoEffectWithoutAuthority: true, judge.WholeAnswerToItsCaller: true,
	judge.NotRunIsTrue: true, judge.RunsAtMostOnce: true, judge.NoWorkAfterLeaving: true,
}

// Promises returns the promises that the demo checks, with the results.
func (r *Report) Promises() []Promise {
	all := r.Result.All()
	none := func(name string, n int) Promise { return Promise{name, n == 0, fmt.Sprint(n)} }
	list := []Promise{none("answers cut", all.Cut), none("connections lost", all.Lost)}
	for _, p := range judge.Promises {
		n := 0
		for _, v := range r.Violations {
			if v.Promise == p {
				n++
			}
		}
		if checkedPromises[p] {
			list = append(list, none(p.String(), n))
		}
	}
	return append(list,
		Promise{"configuration in force within 7s", r.ActiveAfter > 0 && r.ActiveAfter <= maxActivation, r.ActiveAfter.Round(time.Millisecond).String()},
		Promise{"role change carried out", r.RoleChangeAfter > 0, r.RoleChangeAfter.Round(time.Millisecond).String()},
	)
}

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool {
	for _, p := range r.Promises() {
		if !p.Kept {
			return true
		}
	}
	return false
}

// String formats the report.
func (r *Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d requests in %v\n\n", r.Deployment, len(r.Result.Outcomes), r.Result.Took.Round(time.Millisecond))
	text.WriteString(load.Table(r.Result.Rows()))
	fmt.Fprintf(&text, "\nDrained %s and changed the role of %s half-way; role changes: %d; streams moved off the changing engine: %d\n", r.DrainedEngine, r.ChangedEngine, r.RoleChanges, r.MovedByOrders)
	replayed := 0
	for _, o := range r.Replays.Outcomes {
		if o.Complete {
			replayed++
		}
	}
	fmt.Fprintf(&text, "Keyed calls retried at another entry VM: %d, complete responses: %d\n\n", len(r.Replays.Outcomes), replayed)
	for _, p := range r.Promises() {
		mark := "kept  "
		if !p.Kept {
			mark = "BROKEN"
		}
		fmt.Fprintf(&text, "%s  %-40s %s\n", mark, p.Name, p.Seen)
	}
	text.WriteString(r.details())
	return text.String()
}

// details returns a line for each violation, and for each request whose connection was lost
// or that timed out.
func (r *Report) details() string {
	var text strings.Builder
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "%s\n", v)
	}
	for _, o := range r.Result.Outcomes {
		if o.ConnectionLost {
			fmt.Fprintf(&text, "connection lost: request %d (%s) at %v of the load, after %v of %v: %v\n",
				o.Number, o.Entry.Kind(), o.Entry.At.Round(time.Millisecond), o.Total.Round(time.Millisecond), o.Entry.Deadline, o.Err)
		}
	}
	return text.String()
}

// Summary is the part of a report that is encoded, such as in JSON.
type Summary struct {
	Deployment  string
	Rows        []load.Row
	Promises    []Promise
	RoleChanges int
}

// Summary returns the part of the report that is encoded.
func (r *Report) Summary() Summary {
	return Summary{Deployment: r.Deployment, Rows: r.Result.Rows(), Promises: r.Promises(), RoleChanges: r.RoleChanges}
}
