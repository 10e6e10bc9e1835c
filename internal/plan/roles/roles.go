// Package roles decides which engines work on prefill, on decode, or on both.
//
// An engine in the Mixed role takes up any mix of prompts and outputs by
// itself, but its streams wait while it prefills: with a part u of its time
// spent on prefill, the gap between tokens grows by 1/(1-u). As long as that
// gap stays within the target, mixed engines are best and nothing changes. When
// it does not, engines are set apart for prefill and decode in proportion to
// the forecast demand.
//
// A change costs: the engine is empty and out of service for some time, and the
// deployment gives each change a weight. A plan is changed only if the goodput
// it is predicted to gain over the horizon is worth more than that, with a
// margin that grows with the error of the forecast.
//
// # Usage
//
//	decision := roles.Decide(roles.Input{Engines: engines, Demand: forecast.Mean(12), ...})
//	for _, change := range decision.Changes { ... }
//
// Decide is pure.
package roles

import (
	"fmt"
	"math"
	"sort"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
)

// Engine is an engine that can be given a role.
type Engine struct {
	Name string
	Role spec.Role
	// Fixed is set if the role cannot be changed now, as an order is open.
	Fixed bool
	// Prefill is how many prompt tokens it prefills in a second if it does
	// nothing else, Decode how many tokens it decodes with full slots.
	Prefill, Decode float64
	// Gap is the token gap with full slots and no prefill.
	Gap time.Duration
	// Running is how many streams it has.
	Running int
}

// Policy is a way to decide. All but CostBenefit are baselines.
type Policy int

// The policies.
const (
	// CostBenefit weighs the predicted gain against the cost of changes.
	CostBenefit Policy = iota
	// Never keeps the roles.
	Never
	// Threshold changes an engine whenever the demand of a phase is over a
	// bound of what its engines can do, and the other's under another.
	Threshold
)

// String returns the policy's name.
func (p Policy) String() string { return [...]string{"CostBenefit", "Never", "Threshold"}[p] }

// Input is what a decision depends on.
type Input struct {
	Policy  Policy
	Engines []Engine
	// Demand is the forecast, and Error its mean error, for each second.
	Demand, Error demand.Demand
	TokenGap      time.Duration
	// Horizon is how far the forecast is trusted.
	Horizon time.Duration
	// ChangeTakes is how long an engine is lost for a change, emptying
	// included.
	ChangeTakes time.Duration
	// GoodputWeight is what a request within its deadline is worth, and
	// RoleChangeWeight what a change costs, on the same scale.
	GoodputWeight, RoleChangeWeight float64
	// MaxChanges bounds the changes of one decision.
	MaxChanges int
	// Since is the time since the last change.
	Since time.Duration
}

// Change gives an engine a role.
type Change struct {
	Engine   string
	From, To spec.Role
}

// Decision is the outcome, with what it rests on.
type Decision struct {
	Changes []Change
	// Now and Then are the parts of the demand that are predicted to be
	// served well, with the roles as they are and as decided.
	Now, Then float64
	// Gain and Cost are on the scale of the weights.
	Gain, Cost float64
}

// String explains the decision.
func (d Decision) String() string {
	return fmt.Sprintf("%d changes, served well %.3f -> %.3f, gain %.1f, cost %.1f", len(d.Changes), d.Now, d.Then, d.Gain, d.Cost)
}

// Constants of the prediction.
const (
	// maxLoad is the load up to which engines are predicted to serve well.
	maxLoad = 0.85
	// gapWeight is how much of an answer's worth is lost with its token gap; the
	// rest is lost only with its deadline.
	gapWeight = 0.2
	// hysteresis is how much more than its cost a gain has to be.
	hysteresis = 1.5
	// changeRequests is how many requests a change of weight 1 is worth.
	changeRequests = 20
	// minIntervalFactor is the least time between two decisions that change roles, as a
	// multiple of what a change takes.
	minIntervalFactor = 6
)

// Decide decides.
func Decide(in Input) Decision {
	now := count(in.Engines, nil)
	d := Decision{Now: in.served(now)}
	d.Then = d.Now
	switch in.Policy {
	case Never:
		return d
	case Threshold:
		d.Changes = in.threshold()
		return d
	}
	if in.Since < minIntervalFactor*in.ChangeTakes || in.MaxChanges == 0 || len(in.Engines) < 2 {
		return d
	}
	best, changes := in.search(now)
	if changes == 0 {
		return d
	}
	d.Then = in.served(best)
	seconds := in.Horizon.Seconds()
	d.Gain = (d.Then - d.Now) * in.Demand.Requests * seconds * in.GoodputWeight * in.confidence()
	d.Cost = float64(changes) * in.changeCost()
	if d.Gain <= d.Cost*hysteresis {
		return d
	}
	d.Changes = in.changes(best)
	return d
}

// confidence is how much of the forecast is more than its own error.
func (in Input) confidence() float64 {
	part := func(value, err float64) float64 {
		if value <= 0 {
			return 0
		}
		return max(1-err/value, 0)
	}
	return min(part(in.Demand.Prompt, in.Error.Prompt), part(in.Demand.Output, in.Error.Output))
}

// changeCost is the weight of a change and the goodput of an engine while it
// is out of service.
func (in Input) changeCost() float64 {
	lost := in.ChangeTakes.Seconds() * in.Demand.Requests / float64(len(in.Engines))
	return in.RoleChangeWeight*changeRequests + lost*in.GoodputWeight
}

// split is how many engines have each role, by what they can do.
type split struct {
	n [3]int
	// prefill and decode are the sums of what the engines of a role can do.
	prefill, decode [3]float64
	gap             time.Duration
}

// count counts the engines' roles, with some changed.
func count(engines []Engine, changed map[string]spec.Role) split {
	var s split
	for _, e := range engines {
		role := e.Role
		if to, ok := changed[e.Name]; ok {
			role = to
		}
		s.n[role]++
		s.prefill[role] += e.Prefill
		s.decode[role] += e.Decode
		s.gap = max(s.gap, e.Gap)
	}
	return s
}

// served predicts which part of the demand is served well: within the load that
// engines bear and, for outputs, within the target gap.
func (in Input) served(s split) float64 {
	prompts, outputs := in.Demand.Prompt, in.Demand.Output
	if prompts+outputs <= 0 {
		return 1
	}
	apartPrompts := min(prompts, maxLoad*s.prefill[spec.Prefill])
	apartOutputs := min(outputs, maxLoad*s.decode[spec.Decode])
	restPrompts, restOutputs := prompts-apartPrompts, outputs-apartOutputs
	fit, goodOutputs := 0.0, 0.0
	if s.n[spec.Mixed] > 0 {
		shareP := restPrompts / s.prefill[spec.Mixed]
		shareO := restOutputs / s.decode[spec.Mixed]
		fit = min(maxLoad/max(shareP+shareO, 1e-9), 1)
		goodOutputs = fit * (1 - gapWeight*(1-in.gapFactor(s.gap, shareP*fit)))
	}
	return servedPart(prompts, outputs, (apartPrompts+restPrompts*fit)/max(prompts, 1), (apartOutputs+restOutputs*goodOutputs)/max(outputs, 1))
}

// gapFactor is the part of tokens within the target gap on engines that spend a
// part of their time on prefill.
func (in Input) gapFactor(gap time.Duration, prefill float64) float64 {
	if prefill >= 1 {
		return 0
	}
	mixed := float64(gap) / (1 - prefill)
	if mixed <= float64(in.TokenGap) {
		return 1
	}
	return float64(in.TokenGap) / mixed
}

// servedPart joins the parts of prompts and outputs that are served. A request
// needs both, so that the worse part counts.
func servedPart(prompts, outputs, p, o float64) float64 {
	switch {
	case prompts <= 0:
		return o
	case outputs <= 0:
		return p
	}
	return min(p, o)
}

// searchRadius is how far from the present numbers of engines the search looks.
const searchRadius = 6

// search returns the best split by changing engines near the present one, and
// how many changes it takes.
func (in Input) search(now split) (split, int) {
	best, changes := now, 0
	bestWorth := in.value(now, 0)
	for p := -searchRadius; p <= searchRadius; p++ {
		for d := -searchRadius; d <= searchRadius; d++ {
			changed := in.assign(now.n[spec.Prefill]+p, now.n[spec.Decode]+d)
			if len(changed) == 0 || len(changed) > in.MaxChanges {
				continue
			}
			s := count(in.Engines, changed)
			if worth := in.value(s, len(changed)); worth > bestWorth {
				best, changes, bestWorth = s, len(changed), worth
			}
		}
	}
	return best, changes
}

func (in Input) value(s split, changes int) float64 {
	return in.served(s)*in.Demand.Requests*in.Horizon.Seconds()*in.GoodputWeight - float64(changes)*in.changeCost()
}

// assign picks the engines that change so that prefill and decode have the
// numbers given. It returns nil if that is not possible: a phase would be left
// without an engine, or too many engines cannot be changed.
func (in Input) assign(prefill, decode int) map[string]spec.Role {
	mixed := len(in.Engines) - prefill - decode
	if prefill < 0 || decode < 0 || mixed < 0 || mixed == 0 && (prefill == 0 || decode == 0) {
		return nil
	}
	target := [3]int{spec.Mixed: mixed, spec.Prefill: prefill, spec.Decode: decode}
	order := in.byAdvantage()
	// First come the engines that keep their role, which costs nothing.
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

// byAdvantage sorts the engines so that those that are better at prefill than
// at decode come first, and among equals the idle ones last, so that these are
// left over to be changed.
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

// changes lists the changes that lead to the best split.
func (in Input) changes(best split) []Change {
	changed := in.assign(best.n[spec.Prefill], best.n[spec.Decode])
	var list []Change
	for _, e := range in.Engines {
		if to, ok := changed[e.Name]; ok {
			list = append(list, Change{Engine: e.Name, From: e.Role, To: to})
		}
	}
	return list[:min(len(list), in.MaxChanges)]
}

// Bounds of the threshold policy.
const (
	thresholdHigh = 0.8
	thresholdLow  = 0.5
)

// threshold moves one engine to the phase that is loaded over a bound from the
// one that is loaded under another.
func (in Input) threshold() []Change {
	s := count(in.Engines, nil)
	loadP := in.Demand.Prompt / max(s.prefill[spec.Prefill], 1e-9)
	loadD := in.Demand.Output / max(s.decode[spec.Decode], 1e-9)
	from, to := spec.Decode, spec.Prefill
	if loadD > loadP {
		from, to = spec.Prefill, spec.Decode
		loadP, loadD = loadD, loadP
	}
	if loadP < thresholdHigh || loadD > thresholdLow || s.n[from] < 2 {
		return nil
	}
	for _, e := range in.Engines {
		if e.Role == from && !e.Fixed {
			return []Change{{Engine: e.Name, From: from, To: to}}
		}
	}
	return nil
}
