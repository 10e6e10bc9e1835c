package feed

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MinProcesses is the number of processes with an entry in the store from which on relays
// are used.
const MinProcesses = 24

// Process is a process of the system that may be a relay.
type Process struct {
	Name, AvailabilityZone string
	Address                netip.AddrPort
	// Cores is the number of processor cores of its VM.
	Cores float64
	// Live is set if its status messages arrive, Heard if any has arrived since this process
	// started, and Stopping during its planned stop.
	Live, Heard, Stopping bool
}

// Choice says from where a process reads.
type Choice struct {
	// Active is set if the system has enough processes for relays.
	Active bool
	// Relay is set if this process is one of the relays of its availability zone.
	Relay bool
	// Relays are the other ones, in the order in which this process asks them.
	Relays []Process
}

// Choose chooses the relays of the availability zone of the process self: the first count of
// its live processes, those with the most cores first. Processes with the same live peers
// choose alike. While self is young, processes without any status message so far count
// as live: a process that has just started has received none. processes includes self.
func Choose(self string, processes []Process, count int, young bool) Choice {
	if count <= 0 || len(processes) < MinProcesses {
		return Choice{}
	}
	own := slices.IndexFunc(processes, func(p Process) bool { return p.Name == self })
	if own < 0 {
		return Choice{Active: true}
	}
	zone := processes[own].AvailabilityZone
	var candidates []Process
	for _, p := range processes {
		running := p.Name == self || p.Live || young && !p.Heard
		if p.AvailabilityZone == zone && running && !p.Stopping {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b Process) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(score(a.Name, zone), score(b.Name, zone)))
	})
	choice := Choice{Active: true}
	for _, p := range candidates[:min(count, len(candidates))] {
		if p.Name == self {
			choice.Relay = true
			continue
		}
		choice.Relays = append(choice.Relays, p)
	}
	// Each process asks the relays in an order of its own, so that they share the work.
	slices.SortFunc(choice.Relays, func(a, b Process) int { return cmp.Compare(score(a.Name, self), score(b.Name, self)) })
	return choice
}

// score returns the rendezvous score of a process for a key. The lowest comes first.
func score(name, key string) uint64 {
	return xxhash.Sum64String(name + "/" + strconv.FormatUint(xxhash.Sum64String(key), 16))
}
