package core

import (
	"maps"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/orders"
)

// scaling returns the task that orders backend servers.
func (n *Node) scaling() *orders.Task {
	return &orders.Task{Authority: n.holder, Orderer: n.Duties.Orders, Store: n.Store, Observe: n.observeServices, Meters: n.Meters, Log: n.Log}
}

// observeServices returns the observations of the services that may be scaled. It returns
// false while the backend servers' entries are not known or may have expired in an outage
// of the store.
func (n *Node) observeServices(now time.Time) ([]scale.Observation, bool) {
	t := n.table.Load()
	if t == nil || !n.serversListed.Load() || n.health.Outage(now) {
		return nil, false
	}
	var list []scale.Observation
	var shared *loads
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if s := t.Services[name]; s.Scaling != nil {
			if shared == nil {
				shared = n.measureLoads()
			}
			list = append(list, n.observeService(now, s, shared))
		}
	}
	return list, true
}

// loads is what the observations of all services have in common.
type loads struct {
	// own has this process's requests in progress by backend server.
	own map[usage.Incarnation]usage.Snapshot
	// queues has the load of this process's queues by their hash.
	queues map[uint64]peers.Load
	// silent has the share of silent processes by availability zone.
	silent map[string]float64
}

// measureLoads returns the loads that this process has and knows now.
func (n *Node) measureLoads() *loads {
	s := &loads{own: map[usage.Incarnation]usage.Snapshot{}, queues: map[uint64]peers.Load{}, silent: n.silentShares()}
	n.usage.Each(func(id string, born int64, counts usage.Snapshot) {
		s.own[usage.Incarnation{ID: id, Born: born}] = counts
	})
	n.Broker.Queues(func(hash uint64, load peers.Load) { s.queues[hash] = load })
	return s
}

// silentShares returns the share of the members of each availability zone that this
// process receives no status messages from.
func (n *Node) silentShares() map[string]float64 {
	quiet := n.peers.Quiet()
	total, silent := map[string]float64{n.Zone: 1}, map[string]float64{}
	for _, m := range n.peers.Peers() {
		total[m.AvailabilityZone]++
		if _, ok := quiet[m.Name]; ok {
			silent[m.AvailabilityZone]++
		}
	}
	for zone := range silent {
		silent[zone] /= total[zone]
	}
	return silent
}

// observeService returns the observation of one service.
func (n *Node) observeService(now time.Time, s table.Service, shared *loads) scale.Observation {
	var servers []scale.Server
	for _, r := range n.roster.All(s.Name) {
		own, others := shared.own[usage.Incarnation{ID: r.ID, Born: r.Born}], n.peers.Server(r.Key())
		server := scale.Server{
			AvailabilityZone: r.Zone, Role: r.Role, Spot: r.Spot, Leaving: r.State == roster.Leaving, Slots: r.Slots,
			Running: own.Running + others.Running, Prefills: own.Prefills + others.Prefills, PrefillTokens: own.PrefillTokens + others.PrefillTokens,
		}
		if r.Role == roster.Prefill {
			server.Rate = n.usage.Get(now, r).Times.Rate
		}
		servers = append(servers, server)
	}
	waits := func(role roster.Role, kinds ...usage.Work) int {
		sum := 0
		for _, work := range kinds {
			hash := broker.QueueHash(s.Name, role, work)
			sum += shared.queues[hash].Waiting + n.peers.Queue(hash).Waiting
		}
		return sum
	}
	waiting := scale.Waiting{"": waits("", usage.Short)}
	if s.Engine != nil {
		waiting = scale.Waiting{roster.Prefill: waits(roster.Prefill, usage.Short), roster.Decode: waits(roster.Decode, usage.Short, usage.Long)}
	}
	zones, load := scale.Measure(servers, waiting)
	for zone := range s.Scaling.ZonePrices {
		z := zones[zone]
		z.Silent = shared.silent[zone]
		zones[zone] = z
	}
	return scale.Observation{Service: s.Name, Scaling: *s.Scaling, Zones: zones, Load: load}
}
