package demo

import (
	"fmt"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
)

// Report is what a demo showed.
type Report struct {
	Deployment string
	Result     *load.Result
	// Again is the result of the second arrivals of keyed calls.
	Again *load.Result
	// Violations are the broken promises that the checkers found.
	Violations []judge.Violation
	// MovedByOrders counts streams that ran on an engine when it took an order
	// and went on elsewhere.
	MovedByOrders    int
	RoleChanges      int
	Drained, Changed string
	// InForce is the time from the apply to the last process; ChangeTook to
	// the engine's new role.
	InForce, ChangeTook time.Duration

	drainedAt, appliedAt time.Time
}

// Bounds of the promises.
const inForceWithin = 7 * time.Second

// Promise is one promise and what was seen of it.
type Promise struct {
	Name string
	Kept bool
	Seen string
}

// judged has the promises that a checker of the demo looks at.
var judged = map[judge.Promise]bool{
	judge.NoConflictingOrders: true, judge.NoEffectWithoutAuthority: true, judge.WholeAnswerToItsCaller: true,
	judge.NotRunIsTrue: true, judge.RunsAtMostOnce: true, judge.NoWorkAfterLeaving: true,
}

// Promises returns every promise that a demo can judge.
func (r *Report) Promises() []Promise {
	all := r.Result.All()
	count := func(name string, n int) Promise { return Promise{name, n == 0, fmt.Sprint(n)} }
	list := []Promise{count("answers cut", all.Cut), count("connections lost", all.Lost)}
	for _, p := range judge.Promises {
		n := 0
		for _, v := range r.Violations {
			if v.Promise == p {
				n++
			}
		}
		if judged[p] {
			list = append(list, count(p.String(), n))
		}
	}
	return append(list,
		Promise{"configuration in force within 7s", r.InForce > 0 && r.InForce <= inForceWithin, r.InForce.Round(time.Millisecond).String()},
		Promise{"role change carried out", r.ChangeTook > 0, r.ChangeTook.Round(time.Millisecond).String()},
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
	fmt.Fprintf(&text, "\nDrained %s and changed the role of %s half-way; role changes: %d; streams moved off the changing engine: %d\n", r.Drained, r.Changed, r.RoleChanges, r.MovedByOrders)
	replayed := 0
	for _, o := range r.Again.Outcomes {
		if o.Whole {
			replayed++
		}
	}
	fmt.Fprintf(&text, "Keyed calls sent again to another entry VM: %d, answered from the record: %d\n\n", len(r.Again.Outcomes), replayed)
	for _, p := range r.Promises() {
		mark := "kept  "
		if !p.Kept {
			mark = "BROKEN"
		}
		fmt.Fprintf(&text, "%s  %-40s %s\n", mark, p.Name, p.Seen)
	}
	return text.String()
}

// Summary is the report as values.
type Summary struct {
	Deployment  string
	Rows        []load.Row
	Promises    []Promise
	RoleChanges int
}

// Summary returns the report as values.
func (r *Report) Summary() Summary {
	return Summary{Deployment: r.Deployment, Rows: r.Result.Rows(), Promises: r.Promises(), RoleChanges: r.RoleChanges}
}
