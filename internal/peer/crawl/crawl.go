// Package crawl asks every process of the system, starting from one.
//
// A process knows its zone and a few contacts in each other zone. A crawl asks
// it, then those that it names, and so on, until every process that anyone
// names has been asked. It is for operators' tools, which may be run from
// anywhere that reaches the peers' addresses.
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

// Client asks processes.
type Client interface {
	Status(ctx context.Context, address netip.AddrPort, q *wire.StatusQuery) (*wire.StatusAnswer, error)
	Events(ctx context.Context, address netip.AddrPort, q *wire.EventQuery) (*wire.EventAnswer, error)
}

// Process is a process that was named, with its status if it answered.
type Process struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// State is what others believe of it, for a process that did not answer.
	State  member.State
	Status *wire.StatusAnswer
	Err    error
}

// maxConcurrent is how many processes are asked at a time.
const maxConcurrent = 16

// Fleet asks every process, sorted by zone and name.
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

// queryStatus reads the status of the processes of a round.
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

// discover returns the addresses that a round has brought up for the first
// time.
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

// Events reads and merges the time lines of the processes that answered.
func Events(ctx context.Context, c Client, fleet []Process, f trace.Filter) []trace.Event {
	var lines [][]trace.Event
	query := &wire.EventQuery{Request: f.Request, Engine: f.Engine, Kind: string(f.Kind), Limit: uint32(f.Limit)}
	for _, p := range fleet {
		if p.Err != nil || f.Process != "" && f.Process != p.Name {
			continue
		}
		answer, err := c.Events(ctx, p.Address, query)
		if err != nil {
			continue
		}
		var line []trace.Event
		for _, e := range answer.Events {
			line = append(line, trace.Event{
				Clock: e.Clock, At: time.Unix(0, e.AtNs).UTC(), Process: e.Process, Sequence: e.Sequence,
				Kind: trace.Kind(e.Kind), Request: e.Request, Engine: e.Engine, Detail: e.Detail,
			})
		}
		lines = append(lines, line)
	}
	merged := trace.Merge(lines...)
	if f.Limit > 0 && len(merged) > f.Limit {
		merged = merged[len(merged)-f.Limit:]
	}
	return merged
}
