package tree

import (
	"context"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/board"
	"ebonyscale.example/ebonyscale/internal/fleet/leave"
	"ebonyscale.example/ebonyscale/internal/fleet/order"
)

// planTick is the time between two rounds of the planner.
const planTick = 500 * time.Millisecond

// changesAtOnce is how many engines of a zone may be changing at once, as a
// share of them; one may always.
const changesAtOnce = 0.25

// planner decides on the engines of the zone while this process holds the
// lease.
type planner struct {
	node *Node
	desk order.Desk
}

func (p *planner) start(n *Node) {
	p.node = n
	p.desk = order.Desk{
		Deployment: n.Deployment, Store: n.Platform, Engines: n.Servers,
		Authority: n.Keeper, Emptier: n, Trace: n.Trace,
	}
}

// Empty implements order.Emptier: it announces that an engine is to get no new
// work, as that is needed before an order.
func (n *Node) Empty(name string, sequence uint64, empty bool) {
	n.leaving(leave.Entry{Name: name, Source: leave.Order, Sequence: sequence, Leaving: empty})
	n.tellSome()
}

// run is the duty.
func (p *planner) run(ctx context.Context) error {
	for pause(ctx, planTick) {
		config := p.node.Config.Current()
		if config == nil {
			continue
		}
		if _, ok := p.node.Keeper.Grant(); !ok {
			continue
		}
		p.round(ctx, config.Deployment)
	}
	return ctx.Err()
}

// round takes each engine of the zone a step further.
func (p *planner) round(ctx context.Context, d *spec.Deployment) {
	loads := map[string]board.Load{}
	engines := 0
	for _, l := range p.node.Board.Loads() {
		loads[l.Engine] = l
	}
	for _, server := range d.Servers {
		if server.Engine() && server.AvailabilityZone == p.node.Self.AvailabilityZone {
			engines++
		}
	}
	room := max(int(changesAtOnce*float64(engines)), 1) - p.desk.Busy()
	for _, server := range d.Servers {
		if !server.Engine() || server.AvailabilityZone != p.node.Self.AvailabilityZone {
			continue
		}
		want, reason := p.want(d, server)
		_, open := p.desk.Open(server.Name)
		if !open && !p.differs(server.Name, *want, loads[server.Name]) {
			want = nil
		}
		if want != nil && !open {
			if room <= 0 {
				continue
			}
			room--
		}
		if _, err := p.desk.Step(ctx, server, want, reason); err != nil {
			p.node.Meters.Add("OrderErrors", 1)
			p.node.Log.Warn("an order did not get on", zap.String("Engine", server.Name), zap.Error(err))
		}
	}
}

// want returns what an engine shall be, and why.
func (p *planner) want(d *spec.Deployment, server spec.BackendServer) (*order.Want, string) {
	return &order.Want{Role: server.Role, Models: wantedModels(d, server.Name)}, "declared"
}

// differs reports whether an engine is known to be other than wanted.
func (p *planner) differs(name string, want order.Want, load board.Load) bool {
	if load.Sequence == 0 || load.Changing {
		return false
	}
	return want.Role != load.Role || !equal(load.Models, p.node.declared(name))
}
