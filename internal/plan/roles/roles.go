// Package roles decides which engines do prefill, decode, or both.
//
// An engine in the Mixed role can serve any mix of prompts and outputs, but its
// streams wait while it prefills. If it spends a fraction u of its time on prefill,
// the gap between tokens grows by a factor of 1/(1-u). As long as that gap is
// within the target, mixed engines are best and no role changes. Otherwise engines
// are assigned to prefill and decode in proportion to the forecast demand.
//
// A role change has a cost: the engine is drained and out of service for some time,
// and the deployment configures a weight for each change. Roles change only if the
// predicted gain in goodput over the horizon exceeds the cost by a margin. The gain
// is discounted by the error of the forecast.
//
// # Usage
//
//	decision := roles.Decide(roles.Input{Engines: engines, Demand: forecast.Mean(12), ...})
//	for _, change := range decision.Changes { ... }
//
// Decide is a pure function.
package roles

import (
	"fmt"
	"math"
	"sort"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
)

// Engine is an engine whose role can be planned.
type Engine struct {
	Name string
	Role spec.Role
	// Fixed is set if the role can't be changed now because an order to the
	// engine is still in progress.
	Fixed bool
	// Prefill is the rate at which the engine prefills prompt tokens if it does
	// nothing else, Decode the rate at which it decodes with full slots, both in
	// tokens per second.
	Prefill, Decode float64
	// Gap is the time between tokens with full slots and no prefill.
	Gap time.Duration
	// Running is the number of streams on the engine.
	Running int
}

// Policy is a planning algorithm. All but CostBenefit are baselines for benchmarks.
type Policy int

// The policies.
const (
	// CostBenefit weighs the predicted gain against the cost of changes.
	CostBenefit Policy = iota
	// Never changes no role.
	Never
	// Threshold changes an engine whenever the load of one phase is high and
	// that of the other is low.
	Threshold
)

// String returns the policy's name.
func (p Policy) String() string { return [...]string{"CostBenefit", "Never", "Threshold"}[p] }

// Input has the arguments of Decide.
type Input struct {
	Policy  Policy
	Engines []Engine
	// Demand is the forecast, and Error its mean absolute error, both per
	// second.
	Demand, Error demand.Demand
	// TokenGap is the target for the time between tokens.
	TokenGap time.Duration
	// Horizon is the time ahead over which the gain of a change is counted.
	// Demand is the forecast for that time.
	Horizon time.Duration
	// ChangeDuration is how long an engine is out of service for a role change,
	// draining included.
	ChangeDuration time.Duration
	// GoodputWeight is the value of a request that meets its deadline.
	// RoleChangeWeight is the cost of a change on the same scale, in units of 20
	// requests with GoodputWeight 1.
	GoodputWeight, RoleChangeWeight float64
	// MaxChanges is the largest number of changes in one decision.
	MaxChanges int
	// SinceChange is the time since the last role change.
	SinceChange time.Duration
}

// Change is the change of one engine's role.
type Change struct {
	Engine   string
	From, To spec.Role
}

// Decision is the result of Decide, with the predictions behind it.
type Decision struct {
	// Changes are the role changes to make, none if the roles stay.
	Changes []Change
	// Current and Planned are the fractions of the demand predicted to be served
	// within its targets, with the current roles and with the best roles found.
	// If the gain is too small for the cost, Planned differs from Current
	// although Changes is empty.
	Current, Planned float64
	// Gain and Cost are those of the best roles found, in units of a request
	// with GoodputWeight 1.
	Gain, Cost float64
}

// String returns a summary of the decision for traces.
func (d Decision) String() string {
	return fmt.Sprintf("%d changes, served well %.3f -> %.3f, gain %.1f, cost %.1f", len(d.Changes), d.Current, d.Planned, d.Gain, d.Cost)
}

// Parameters of the prediction.
const (
	// maxLoad is the utilization up to which engines are predicted to meet the
	// targets.
	maxLoad = 0.85
	// gapWeight is the fraction of a response's value that is lost if its token
	// gap is far over the target. The rest is lost only if the response misses
	// its deadline.
	gapWeight = 0.2
	// hysteresis is the factor by which the gain of a plan must exceed its cost.
	hysteresis = 1.5
	// changeRequests is the cost of a change with RoleChangeWeight 1, in
	// requests with GoodputWeight 1.
	changeRequests = 20
	// minIntervalFactor is the least time between two decisions that change
	// roles, as a multiple of ChangeDuration.
	minIntervalFactor = 6
)

// Decide returns the role changes to make, and none if the roles should stay.
func Decide(in Input) Decision {
	current := allocationOf(in.Engines, nil)
	d := Decision{Current: in.served(current)}
	d.Planned = d.Current
	switch in.Policy {
	case Never:
		return d
	case Threshold:
		d.Changes = in.threshold()
		return d
	}
	if in.SinceChange < minIntervalFactor*in.ChangeDuration || in.MaxChanges == 0 || len(in.Engines) < 2 {
		return d
	}
	best, changes := in.search(current)
	if changes == 0 {
		return d
	}
	d.Planned = in.served(best)
	seconds := in.Horizon.Seconds()
	d.Gain = (d.Planned - d.Current) * in.Demand.Requests * seconds * in.GoodputWeight * in.confidence()
	d.Cost = float64(changes) * in.changeCost()
	if d.Gain <= d.Cost*hysteresis {
		return d
	}
	d.Changes = in.changeList(best)
	return d
}

// confidence is the fraction of the forecast that exceeds its own error, for the
// less certain kind of demand.
func (in Input) confidence() float64 {
	part := func(value, err float64) float64 {
		if value <= 0 {
			return 0
		}
		return max(1-err/value, 0)
	}
	return min(part(in.Demand.Prompt, in.Error.Prompt), part(in.Demand.Output, in.Error.Output))
}

// changeCost is the cost of one change: its weight plus the goodput lost while the
// engine is out of service.
func (in Input) changeCost() float64 {
	lost := in.ChangeDuration.Seconds() * in.Demand.Requests / float64(len(in.Engines))
	return in.RoleChangeWeight*changeRequests + lost*in.GoodputWeight
}

// allocation has the number of engines in each role and their capacity.
type allocation struct {
	n [3]int
	// prefill and decode are the sums of the rates of a role's engines, in tokens
	// per second.
	prefill, decode [3]float64
	// gap is the largest Engine.Gap.
	gap time.Duration
}

// allocationOf returns the allocation of engines, with the roles in changed
// replacing the current ones. changed is keyed by engine name.
func allocationOf(engines []Engine, changed map[string]spec.Role) allocation {
	var a allocation
	for _, e := range engines {
		role := e.Role
		if to, ok := changed[e.Name]; ok {
			role = to
		}
		a.n[role]++
		a.prefill[role] += e.Prefill
		a.decode[role] += e.Decode
		a.gap = max(a.gap, e.Gap)
	}
	return a
}

// served predicts the fraction of the demand that is served within its targets:
// what fits within maxLoad, reduced for outputs whose token gap is over the target.
// Prefill and decode engines are filled first, and mixed engines get the rest.
func (in Input) served(a allocation) float64 {
	prompts, outputs := in.Demand.Prompt, in.Demand.Output
	if prompts+outputs <= 0 {
		return 1
	}
	dedicatedPrompts := min(prompts, maxLoad*a.prefill[spec.Prefill])
	dedicatedOutputs := min(outputs, maxLoad*a.decode[spec.Decode])
	restPrompts, restOutputs := prompts-dedicatedPrompts, outputs-dedicatedOutputs
	fit, goodOutputs := 0.0, 0.0
	if a.n[spec.Mixed] > 0 {
		promptLoad := restPrompts / a.prefill[spec.Mixed]
		outputLoad := restOutputs / a.decode[spec.Mixed]
		fit = min(maxLoad/max(promptLoad+outputLoad, 1e-9), 1)
		goodOutputs = fit * (1 - gapWeight*(1-in.gapFactor(a.gap, promptLoad*fit)))
	}
	return combine(prompts, outputs, (dedicatedPrompts+restPrompts*fit)/max(prompts, 1), (dedicatedOutputs+restOutputs*goodOutputs)/max(outputs, 1))
}

// gapFactor is the ratio of the target gap to the predicted gap, at most 1, on mixed
// engines that spend the fraction prefill of their time on prefill.
func (in Input) gapFactor(gap time.Duration, prefill float64) float64 {
	if prefill >= 1 {
		return 0
	}
	predicted := float64(gap) / (1 - prefill)
	if predicted <= float64(in.TokenGap) {
		return 1
	}
	return float64(in.TokenGap) / predicted
}

// combine returns the fraction of requests served, given the fractions p of prompts
// and o of outputs. A request needs both, so the lower fraction counts.
func combine(prompts, outputs, p, o float64) float64 {
	switch {
	case prompts <= 0:
		return o
	case outputs <= 0:
		return p
	}
	return min(p, o)
}

// searchRadius is the largest difference to the current number of prefill engines,
// and likewise of decode engines, that search considers.
const searchRadius = 6

// search returns the best allocation near the current one and the number of changes
// that lead to it.
func (in Input) search(current allocation) (allocation, int) {
	best, changes := current, 0
	bestValue := in.value(current, 0)
	for p := -searchRadius; p <= searchRadius; p++ {
		for d := -searchRadius; d <= searchRadius; d++ {
			changed := in.assign(current.n[spec.Prefill]+p, current.n[spec.Decode]+d)
			if len(changed) == 0 || len(changed) > in.MaxChanges {
				continue
			}
			a := allocationOf(in.Engines, changed)
			if value := in.value(a, len(changed)); value > bestValue {
				best, changes, bestValue = a, len(changed), value
			}
		}
	}
	return best, changes
}

// value is the goodput of an allocation over the horizon less the cost of changes.
func (in Input) value(a allocation, changes int) float64 {
	return in.served(a)*in.Demand.Requests*in.Horizon.Seconds()*in.GoodputWeight - float64(changes)*in.changeCost()
}

// assign returns the engines to change, with their new roles, so that there are the
// given numbers of prefill and decode engines. It returns nil if that is impossible
// because a phase would have no engine or too many engines are fixed.
func (in Input) assign(prefill, decode int) map[string]spec.Role {
	mixed := len(in.Engines) - prefill - decode
	if prefill < 0 || decode < 0 || mixed < 0 || mixed == 0 && (prefill == 0 || decode == 0) {
		return nil
	}
	target := [3]int{spec.Mixed: mixed, spec.Prefill: prefill, spec.Decode: decode}
	order := in.byAdvantage()
	// Keep as many engines as possible in their role, fixed ones first.
	kept := map[string]bool{}
	for _, e := range order {
		if e.Fixed && target[e.Role] == 0 {
			return nil
		}
		if target[e.Role] > 0 && e.Fixed {
			target[e.Role]--
			kept[e.Name] = true
		}
	}
	for _, e := range order {
		if !kept[e.Name] && target[e.Role] > 0 {
			target[e.Role]--
			kept[e.Name] = true
		}
	}
	changed := map[string]spec.Role{}
	for _, e := range order {
		if kept[e.Name] {
			continue
		}
		for _, role := range []spec.Role{spec.Prefill, spec.Mixed, spec.Decode} {
			if target[role] > 0 {
				target[role]--
				changed[e.Name] = role
				break
			}
		}
	}
	return changed
}

// byAdvantage returns the engines sorted by the ratio of their prefill to their
// decode rate, highest first. Engines whose ratios differ by at most 5% are sorted
// by their streams, most first, so that the idle ones are left to change.
func (in Input) byAdvantage() []Engine {
	order := append([]Engine(nil), in.Engines...)
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		ra, rb := a.Prefill/max(a.Decode, 1e-9), b.Prefill/max(b.Decode, 1e-9)
		if math.Abs(ra-rb) > 0.05*max(ra, rb) {
			return ra > rb
		}
		return a.Running > b.Running
	})
	return order
}

// changeList lists the changes that lead to the best allocation.
func (in Input) changeList(best allocation) []Change {
	changed := in.assign(best.n[spec.Prefill], best.n[spec.Decode])
	var list []Change
	for _, e := range in.Engines {
		if to, ok := changed[e.Name]; ok {
			list = append(list, Change{Engine: e.Name, From: e.Role, To: to})
		}
	}
	return list[:min(len(list), in.MaxChanges)]
}

// Bounds of the Threshold policy: the least load of the phase that gets an engine,
// and the largest load of the phase that loses one.
const (
	thresholdHigh = 0.8
	thresholdLow  = 0.5
)

// threshold moves one engine from the less to the more loaded phase if their loads
// are beyond the two bounds.
func (in Input) threshold() []Change {
	a := allocationOf(in.Engines, nil)
	toLoad := in.Demand.Prompt / max(a.prefill[spec.Prefill], 1e-9)
	fromLoad := in.Demand.Output / max(a.decode[spec.Decode], 1e-9)
	from, to := spec.Decode, spec.Prefill
	if fromLoad > toLoad {
		from, to = spec.Prefill, spec.Decode
		toLoad, fromLoad = fromLoad, toLoad
	}
	if toLoad < thresholdHigh || fromLoad > thresholdLow || a.n[from] < 2 {
		return nil
	}
	for _, e := range in.Engines {
		if e.Role == from && !e.Fixed {
			return []Change{{Engine: e.Name, From: from, To: to}}
		}
	}
	return nil
}
