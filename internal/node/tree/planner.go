package tree

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/fleet/order"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/demand"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
)

// Timing of the planner.
const (
	// planTick is the time between two rounds.
	planTick = 500 * time.Millisecond
	// horizon is how far the forecast is trusted.
	horizon = 2 * time.Minute
	// changeTakes is how long an engine is lost for a change of its role, with
	// the time to empty it.
	changeTakes = 15 * time.Second
	// leastSlots is how many slots of demand have to be known before roles are
	// changed.
	leastSlots = 6
	// keptEvery is the least time between two notes of a change not made.
	keptEvery = time.Minute
)

// changesAtOnce is how many engines of a zone may be changing at once, as a
// share of them; one may always.
const changesAtOnce = 0.25

// planner decides on the engines of the zone while this process holds the
// lease.
type planner struct {
	node *Node
	desk order.Reconciler
	// fence is that of the lease for which the plan was made. With another one
	// everything below starts anew.
	fence    uint64
	forecast demand.Forecast
	slotEnds time.Time
	// totals has the demand of each process when it was read last.
	totals map[string]demand.Demand
	// chosen has the roles that were decided on and not yet ordered.
	chosen  map[string]spec.Role
	changed time.Time
	kept    time.Time
}

func (p *planner) start(n *Node) {
	p.node = n
	p.desk = order.Reconciler{
		Deployment: n.Deployment, Store: n.Platform, Engines: n.Servers,
		Authority: n.Keeper, Drainer: n, Trace: n.Trace,
	}
}

// SetDraining implements order.Emptier: it announces that an engine is to get no new
// work, as that is needed before an order.
func (n *Node) SetDraining(name string, sequence uint64, empty bool) {
	n.leaving(leave.Entry{Name: name, Source: leave.Order, Sequence: sequence, Leaving: empty})
	n.tellZones()
}

// run is the duty.
func (p *planner) run(ctx context.Context) error {
	for timer.Wait(ctx, planTick) {
		config := p.node.Config.Current()
		if config == nil {
			continue
		}
		grant, ok := p.node.Keeper.Grant()
		if !ok {
			continue
		}
		if grant.Fence != p.fence {
			p.begin(grant.Fence)
		}
		engines := p.engines(config.Deployment)
		p.closeSlot(ctx, config.Deployment, engines)
		p.round(ctx, config.Deployment, engines)
	}
	return ctx.Err()
}

func (p *planner) begin(fence uint64) {
	p.fence = fence
	p.forecast = demand.Forecast{}
	p.totals = map[string]demand.Demand{}
	p.chosen = map[string]spec.Role{}
	p.slotEnds = time.Now().Add(demand.Interval)
	p.changed = time.Now()
}

// engines returns the engines of the zone.
func (p *planner) engines(d *spec.Deployment) []spec.BackendServer {
	var list []spec.BackendServer
	for _, server := range d.Servers {
		if server.Engine() && server.AvailabilityZone == p.node.Self.AvailabilityZone {
			list = append(list, server)
		}
	}
	return list
}

// closeSlot takes in the demand of a slot that has ended and decides on roles.
func (p *planner) closeSlot(ctx context.Context, d *spec.Deployment, engines []spec.BackendServer) {
	if time.Now().Before(p.slotEnds) {
		return
	}
	p.slotEnds = time.Now().Add(demand.Interval)
	first := len(p.totals) == 0
	demand := p.readDemand(ctx)
	if first {
		// What came before this process held the lease is not of one slot.
		return
	}
	p.forecast.Observe(demand)
	if d.Roles == "Planned" && p.forecast.Intervals() >= leastSlots {
		p.decide(d, engines)
	}
}

// readDemand asks the processes of the zone for their totals. One that does not
// answer is counted when it does.
func (p *planner) readDemand(ctx context.Context) demand.Demand {
	var sum demand.Demand
	for _, m := range p.node.zone() {
		total := p.node.Tally.Total()
		key := m.Name
		if m.Name != p.node.Self.Name {
			answer, err := p.node.Peers.Demand(ctx, m.Address, &wire.DemandQuery{})
			if err != nil {
				continue
			}
			key = fmt.Sprintf("%s/%d", m.Name, answer.Incarnation)
			total = demand.Demand{Prompt: answer.Prompt, Output: answer.Output, Requests: answer.Requests}
		}
		sum = sum.Plus(total.Since(p.totals[key]))
		p.totals[key] = total
	}
	return sum
}

// decide asks the policy for changes of roles.
func (p *planner) decide(d *spec.Deployment, engines []spec.BackendServer) {
	now := time.Now()
	perSecond := 1 / demand.Interval.Seconds()
	in := roles.Input{
		Policy:   p.node.Roles,
		Demand:   p.forecast.Mean(int(horizon / demand.Interval)).Times(perSecond),
		Error:    p.forecast.Error().Times(perSecond),
		TokenGap: d.TokenGap, Horizon: horizon, ChangeDuration: changeTakes,
		GoodputWeight: d.GoodputWeight, RoleChangeWeight: d.RoleChangeWeight,
		MaxChanges:  max(int(changesAtOnce*float64(len(engines))), 1) - p.desk.Busy(),
		SinceChange: now.Sub(p.changed),
	}
	loads := p.loads()
	for _, server := range engines {
		rate, ok := p.node.Board.Rate(server.Name)
		_, open := p.desk.Open(server.Name)
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
		p.chosen[c.Engine] = c.To
		p.changed = now
		p.node.Meters.Add("RolesPlanned", 1)
		p.node.Trace.Add(trace.Event{Kind: trace.RolePlanned, Engine: c.Engine, Detail: fmt.Sprintf("%s to %s: %s; %s", c.From, c.To, decision, forecast)})
	}
	if len(decision.Changes) == 0 && decision.Planned > decision.Current && now.Sub(p.kept) > keptEvery {
		p.kept = now
		p.node.Trace.Add(trace.Event{Kind: trace.RoleKept, Detail: fmt.Sprintf("%s; %s", decision, forecast)})
	}
}

func (p *planner) loads() map[string]board.Load {
	loads := map[string]board.Load{}
	for _, l := range p.node.Board.Loads() {
		loads[l.Engine] = l
	}
	return loads
}

// round takes each engine of the zone a step further.
func (p *planner) round(ctx context.Context, d *spec.Deployment, engines []spec.BackendServer) {
	loads := p.loads()
	room := max(int(changesAtOnce*float64(len(engines))), 1) - p.desk.Busy()
	for _, server := range engines {
		last, ok, err := p.desk.Last(ctx, server.Name)
		if err != nil {
			p.failed(server.Name, err)
		}
		if !ok || err != nil {
			continue
		}
		want, reason := p.want(d, server, last)
		if !last.Open() && !p.differs(server.Name, *want, loads[server.Name]) {
			want = nil
		}
		if want != nil && !last.Open() {
			if room <= 0 {
				continue
			}
			room--
		}
		if _, err := p.desk.Step(ctx, server, want, reason); err != nil {
			p.failed(server.Name, err)
		}
	}
}

func (p *planner) failed(name string, err error) {
	p.node.Meters.Add("OrderErrors", 1)
	p.node.Log.Warn("an order did not get on", zap.String("Engine", name), zap.Error(err))
}

// want returns what an engine shall be, and why. A role that was planned holds
// until the files declare another one than they did then; the record of it is
// the engine's last intent, which outlives the planner.
func (p *planner) want(d *spec.Deployment, server spec.BackendServer, last order.Intent) (*order.Want, string) {
	want := &order.Want{Role: server.Role, Models: wantedModels(d, server.Name)}
	if d.Roles != "Planned" {
		return want, "declared"
	}
	if role, ok := p.chosen[server.Name]; ok {
		if !last.Open() && last.State == order.Confirmed && last.Want.Role == role {
			delete(p.chosen, server.Name)
		}
		want.Role = role
		return want, "planned"
	}
	if last.ID != "" && last.Declared == server.Role && last.State != order.Abandoned {
		want.Role = last.Want.Role
		return want, "planned before"
	}
	return want, "declared"
}

// differs reports whether an engine is known to be other than wanted.
func (p *planner) differs(name string, want order.Want, load board.Load) bool {
	if load.Sequence == 0 || load.Changing {
		return false
	}
	return want.Role != load.Role || !equal(load.Models, p.node.declared(name))
}
