// Package crawl queries the status of every process of the system, starting from
// one of them.
//
// The status of a process lists the processes of its availability zone and a few
// in each other zone. A crawl queries the first process, then those that it lists,
// and so on, until every listed process has been queried. It is for operators'
// tools, which may run wherever the processes' peer addresses can be reached.
//
// # Usage
//
//	fleet := crawl.Fleet(ctx, client, start)
//	events := crawl.Events(ctx, client, fleet, trace.Filter{Request: id})
package crawl

import (
	"context"
	"net/netip"
	"sort"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// Client calls the processes. It must be safe for concurrent use.
type Client interface {
	Status(ctx context.Context, address netip.AddrPort, q *wire.StatusQuery) (*wire.StatusAnswer, error)
	Events(ctx context.Context, address netip.AddrPort, q *wire.EventQuery) (*wire.EventAnswer, error)
}

// Process is a process that was found. Err is the error of the query of its
// status; Status is nil then.
type Process struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// State is the state in which a peer listed the process, for processes whose own
	// status could not be read. It is the zero value for the start addresses.
	State  member.State
	Status *wire.StatusAnswer
	Err    error
}

// maxConcurrent is the number of processes queried at a time.
const maxConcurrent = 16

// Fleet queries every process that can be found from the start addresses. The
// result is sorted by zone and name, and includes processes that did not respond.
func Fleet(ctx context.Context, c Client, start ...netip.AddrPort) []Process {
	found := map[netip.AddrPort]*Process{}
	var round []netip.AddrPort
	for _, address := range start {
		found[address] = &Process{Address: address}
		round = append(round, address)
	}
	for len(round) > 0 {
		queryStatus(ctx, c, found, round)
		round = discover(found, round)
	}
	list := make([]Process, 0, len(found))
	for _, p := range found {
		list = append(list, *p)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Zone != list[j].Zone {
			return list[i].Zone < list[j].Zone
		}
		if list[i].Name != list[j].Name {
			return list[i].Name < list[j].Name
		}
		return list[i].Address.Compare(list[j].Address) < 0
	})
	return list
}

// queryStatus queries the processes of one round and records their status in
// found.
func queryStatus(ctx context.Context, c Client, found map[netip.AddrPort]*Process, round []netip.AddrPort) {
	slots := make(chan struct{}, maxConcurrent)
	var group sync.WaitGroup
	for _, address := range round {
		p := found[address]
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			p.Status, p.Err = c.Status(ctx, address, &wire.StatusQuery{})
			if p.Err == nil {
				p.Name, p.Zone = p.Status.Self.GetName(), p.Status.Self.GetAvailabilityZone()
			}
		})
	}
	group.Wait()
}

// discover adds the processes that those of a round have listed to found, and
// returns the addresses of the new ones.
func discover(found map[netip.AddrPort]*Process, round []netip.AddrPort) []netip.AddrPort {
	var next []netip.AddrPort
	for _, address := range round {
		p := found[address]
		if p.Err != nil {
			continue
		}
		for _, m := range p.Status.Members {
			a, err := netip.ParseAddrPort(m.Address)
			if err != nil {
				continue
			}
			if known, ok := found[a]; ok {
				if known.Name == "" {
					known.Name, known.Zone = m.Name, m.AvailabilityZone
				}
				continue
			}
			found[a] = &Process{Name: m.Name, Zone: m.AvailabilityZone, Address: a, State: member.State(m.State)}
			next = append(next, a)
		}
	}
	return next
}

// Events reads the timelines of the processes whose status could be read, and
// merges them in causal order. If f.Process is set, only that process is queried.
// Processes whose timeline cannot be read are skipped. The result has the last
// f.Limit events, or all if it is 0.
func Events(ctx context.Context, c Client, fleet []Process, f trace.Filter) []trace.Event {
	var timelines [][]trace.Event
	query := &wire.EventQuery{Request: f.Request, Engine: f.Engine, Kind: string(f.Kind), Limit: uint32(f.Limit)}
	for _, p := range fleet {
		if p.Err != nil || f.Process != "" && f.Process != p.Name {
			continue
		}
		response, err := c.Events(ctx, p.Address, query)
		if err != nil {
			continue
		}
		var events []trace.Event
		for _, e := range response.Events {
			events = append(events, trace.Event{
				Clock: e.Clock, At: time.Unix(0, e.AtNs).UTC(), Process: e.Process, Sequence: e.Sequence,
				Kind: trace.Kind(e.Kind), Request: e.Request, Engine: e.Engine, Detail: e.Detail,
			})
		}
		timelines = append(timelines, events)
	}
	merged := trace.Merge(timelines...)
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return merged
}
