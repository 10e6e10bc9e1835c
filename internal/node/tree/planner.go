package tree

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/order"
	"ebonyscale.example/ebonyscale/internal/fleet/stats"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
)

// Timing of the planner.
const (
	// planInterval is the time between two rounds of the planner.
	planInterval = 500 * time.Millisecond
	// forecastHorizon is how far ahead the demand forecast is relied on.
	forecastHorizon = 2 * time.Minute
	// roleChangeDuration is how long an engine is out of service for a change of
	// its role, draining included.
	roleChangeDuration = 15 * time.Second
	// minIntervals is the number of demand intervals that the forecast needs
	// before roles are changed.
	minIntervals = 6
	// roleKeptSpacing is the minimum time between two RoleKept events.
	roleKeptSpacing = time.Minute
)

// maxChangingShare bounds the engines of a zone that may be changing at the same
// time, as a share of all its engines. One engine may always change.
const maxChangingShare = 0.25

// planner decides on the roles of the zone's engines and sends them orders, while
// this process holds the planner's lease of the zone. Only the goroutine of run
// uses it after prepare.
type planner struct {
	node       *Node
	reconciler order.Reconciler
	// fencingToken is that of the lease under which the fields below were set. They
	// are reset when this process acquires the lease again.
	fencingToken uint64
	forecast     demand.Forecast
	// intervalEnd is when the current interval of demand ends.
	intervalEnd time.Time
	// totals has the demand total last read from each process.
	totals map[string]demand.Demand
	// planned has, by engine name, the roles that were decided on and that no
	// confirmed order has put into effect yet.
	planned map[string]spec.Role
	// lastChange is when a role change was last decided on, or the lease was
	// acquired. lastKeptEvent is when the last RoleKept event was added.
	lastChange    time.Time
	lastKeptEvent time.Time
}

// prepare connects the planner to the node, whose Keeper must be set.
func (p *planner) prepare(n *Node) {
	p.node = n
	p.reconciler = order.Reconciler{
		Deployment: n.Deployment, Store: n.Platform, Engines: n.Servers,
		Authority: n.Keeper, Drainer: n, Trace: n.Trace,
	}
}

// SetDraining implements order.Drainer. It marks an engine as leaving, so that it gets
// no new requests before an order, or clears the mark, and pushes that to all zones.
func (n *Node) SetDraining(name string, sequence uint64, draining bool) {
	n.mergeLeave(drain.Entry{Name: name, Source: drain.Order, Sequence: sequence, Leaving: draining})
	n.pushToAllZones()
}

// run is the task of the planner. In each round with a valid lease it updates the
// forecast, plans roles if they are due, and brings the engines closer to the plan.
func (p *planner) run(ctx context.Context) error {
	for timer.Wait(ctx, planInterval) {
		config := p.node.Config.Current()
		if config == nil {
			continue
		}
		grant, ok := p.node.Keeper.Grant()
		if !ok {
			continue
		}
		if grant.Fence != p.fencingToken {
			p.reset(grant.Fence)
		}
		engines := p.engines(config.Deployment)
		p.observeInterval(ctx, config.Deployment, engines)
		p.reconcile(ctx, config.Deployment, engines)
	}
	return ctx.Err()
}

// reset discards the state of an earlier lease and starts anew under the lease with
// the fencing token.
func (p *planner) reset(fencingToken uint64) {
	p.fencingToken = fencingToken
	p.forecast = demand.Forecast{}
	p.totals = map[string]demand.Demand{}
	p.planned = map[string]spec.Role{}
	p.intervalEnd = time.Now().Add(demand.Interval)
	p.lastChange = time.Now()
}

// engines returns the engines of the local zone.
func (p *planner) engines(d *spec.Deployment) []spec.BackendServer {
	var list []spec.BackendServer
	for _, server := range d.Servers {
		if server.Engine() && server.AvailabilityZone == p.node.Self.AvailabilityZone {
			list = append(list, server)
		}
	}
	return list
}

// observeInterval does nothing until the current interval of demand has ended. Then
// it adds the interval's demand to the forecast and plans roles.
func (p *planner) observeInterval(ctx context.Context, d *spec.Deployment, engines []spec.BackendServer) {
	if time.Now().Before(p.intervalEnd) {
		return
	}
	p.intervalEnd = time.Now().Add(demand.Interval)
	firstTotals := len(p.totals) == 0
	observed := p.collectDemand(ctx)
	if firstTotals {
		// The first totals include all demand since the start of the processes,
		// not that of one interval.
		return
	}
	p.forecast.Observe(observed)
	if d.Roles == "Planned" && p.forecast.Intervals() >= minIntervals {
		p.planRoles(d, engines)
	}
}

// collectDemand returns the demand of the zone since the last call, from the totals
// of its processes. The demand of a process that does not respond is included in
// the first call after it responds again.
func (p *planner) collectDemand(ctx context.Context) demand.Demand {
	var sum demand.Demand
	for _, m := range p.node.liveInZone() {
		total := p.node.Tally.Total()
		key := m.Name
		if m.Name != p.node.Self.Name {
			response, err := p.node.Peers.Demand(ctx, m.Address, &wire.DemandQuery{})
			if err != nil {
				continue
			}
			key = fmt.Sprintf("%s/%d", m.Name, response.Incarnation)
			total = demand.Demand{Prompt: response.Prompt, Output: response.Output, Requests: response.Requests}
		}
		sum = sum.Plus(total.Since(p.totals[key]))
		p.totals[key] = total
	}
	return sum
}

// planRoles decides on role changes by the forecast and the policy, and records them
// in planned and in the timeline. It leaves out engines without a load report, and
// engines that get no new requests for another reason than an open order.
func (p *planner) planRoles(d *spec.Deployment, engines []spec.BackendServer) {
	now := time.Now()
	perSecond := 1 / demand.Interval.Seconds()
	in := roles.Input{
		Policy:   p.node.Roles,
		Demand:   p.forecast.Mean(int(forecastHorizon / demand.Interval)).Times(perSecond),
		Error:    p.forecast.Error().Times(perSecond),
		TokenGap: d.TokenGap, Horizon: forecastHorizon, ChangeDuration: roleChangeDuration,
		GoodputWeight: d.GoodputWeight, RoleChangeWeight: d.RoleChangeWeight,
		MaxChanges:  max(int(maxChangingShare*float64(len(engines))), 1) - p.reconciler.Busy(),
		SinceChange: now.Sub(p.lastChange),
	}
	loads := p.loads()
	for _, server := range engines {
		rate, ok := p.node.Estimates.Rate(server.Name)
		_, open := p.reconciler.Open(server.Name)
		if !ok || rate.Leaving && !open || loads[server.Name].Sequence == 0 {
			continue
		}
		in.Engines = append(in.Engines, roles.Engine{
			Name: server.Name, Role: loads[server.Name].Role, Fixed: open,
			Prefill: rate.Prefill, Decode: rate.Decode, Gap: rate.Gap, Running: rate.Running,
		})
	}
	decision := roles.Decide(in)
	forecast := fmt.Sprintf("forecast %.0f prompt and %.0f output tokens/s", in.Demand.Prompt, in.Demand.Output)
	for _, c := range decision.Changes {
		p.planned[c.Engine] = c.To
		p.lastChange = now
		p.node.Meters.Add("RolesPlanned", 1)
		p.node.Trace.Add(trace.Event{Kind: trace.RolePlanned, Engine: c.Engine, Detail: fmt.Sprintf("%s to %s: %s; %s", c.From, c.To, decision, forecast)})
	}
	if len(decision.Changes) == 0 && decision.Planned > decision.Current && now.Sub(p.lastKeptEvent) > roleKeptSpacing {
		p.lastKeptEvent = now
		p.node.Trace.Add(trace.Event{Kind: trace.RoleKept, Detail: fmt.Sprintf("%s; %s", decision, forecast)})
	}
}

// loads returns the known loads of all engines by engine name.
func (p *planner) loads() map[string]stats.Load {
	loads := map[string]stats.Load{}
	for _, l := range p.node.Estimates.Loads() {
		loads[l.Engine] = l
	}
	return loads
}

// reconcile makes one step for each engine of the zone towards its target. It begins
// new orders only as far as maxChangingShare allows; open orders always proceed.
func (p *planner) reconcile(ctx context.Context, d *spec.Deployment, engines []spec.BackendServer) {
	loads := p.loads()
	allowed := max(int(maxChangingShare*float64(len(engines))), 1) - p.reconciler.Busy()
	for _, server := range engines {
		last, ok, err := p.reconciler.Last(ctx, server.Name)
		if err != nil {
			p.recordOrderError(server.Name, err)
		}
		if !ok || err != nil {
			continue
		}
		target, reason := p.target(d, server, last)
		if !last.Open() && !p.needsChange(server.Name, *target, loads[server.Name]) {
			target = nil
		}
		if target != nil && !last.Open() {
			if allowed <= 0 {
				continue
			}
			allowed--
		}
		if _, err := p.reconciler.Step(ctx, server, target, reason); err != nil {
			p.recordOrderError(server.Name, err)
		}
	}
}

// recordOrderError counts and logs a failed step of an engine's order. The next
// round repeats it.
func (p *planner) recordOrderError(name string, err error) {
	p.node.Meters.Add("OrderErrors", 1)
	p.node.Log.Warn("step of an engine's order failed", zap.String("Engine", name), zap.Error(err))
}

// target returns the role and models that an engine should have, and the reason.
//
// If the configuration has Roles = Planned, a planned role stays the target until
// the configuration declares another role for the engine than at the time of the
// plan. The engine's last intent has both roles, unless it was abandoned; it is
// stored in the platform, so it outlives the lease of the planner that recorded it.
func (p *planner) target(d *spec.Deployment, server spec.BackendServer, last order.Intent) (*order.Want, string) {
	target := &order.Want{Role: server.Role, Models: declaredModels(d, server.Name)}
	if d.Roles != "Planned" {
		return target, "declared"
	}
	if role, ok := p.planned[server.Name]; ok {
		if !last.Open() && last.State == order.Confirmed && last.Want.Role == role {
			delete(p.planned, server.Name)
		}
		target.Role = role
		return target, "planned"
	}
	if last.ID != "" && last.Declared == server.Role && last.State != order.Abandoned {
		target.Role = last.Want.Role
		return target, "planned before"
	}
	return target, "declared"
}

// needsChange reports whether the last load report of an engine shows another role
// or other models than its target. It returns false if there is no report or the
// engine is changing.
func (p *planner) needsChange(name string, target order.Want, load stats.Load) bool {
	if load.Sequence == 0 || load.Changing {
		return false
	}
	return target.Role != load.Role || !equalTags(load.Models, p.node.declaredTags(name))
}
