// Package scale decides how many backend servers of each kind are ordered in each
// availability zone.
//
// On-demand servers carry half of the mean load. Spot servers, which cost a fraction and may
// be reclaimed, carry the rest and provide the headroom for bursts. They are spread evenly
// over the zones, since those of a zone are reclaimed together. If spot servers are
// not available, on-demand servers carry the present load until they are. Capacity is
// raised at once and lowered in steps; policy.go has the thresholds.
//
// The roles of new engines, and which servers leave when a number is lowered, are the
// platform's choice. So each number is chosen by the roles expected of new servers, and a
// step down is small enough for the present load even if all servers that leave have the
// same role.
//
// # Usage
//
//	var state scale.State
//	state.Start(now, saved)           // when this process becomes the holder
//	state.Observe(now, observations)  // several times a second
//	for _, order := range scale.Decide(now, &state) {
//		state.Record(time.Now(), order, send(order))
//	}
//
// Nothing here has a clock or does I/O. A State is not safe for concurrent use.
package scale

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Subject is what one order is about: a service's backend servers of one kind in one
// availability zone.
type Subject struct {
	Service, AvailabilityZone string
	Spot                      bool
}

// Order is the number of backend servers that a subject is to have. Repeating it has no effect.
type Order struct {
	Subject
	Desired int
	// Reason explains the order to operators.
	Reason string
}

// Outcome is the known result of an order.
type Outcome string

// The outcomes.
const (
	// Done means that the platform has confirmed the order.
	Done Outcome = "Done"
	// NoneLeft, RateLimited and Refused mean that it had no effect, for lack of capacity,
	// because of too many calls, or for another reason.
	NoneLeft    Outcome = "NoneLeft"
	RateLimited Outcome = "RateLimited"
	Refused     Outcome = "Refused"
	// Unknown means that it may have had an effect.
	Unknown Outcome = "Unknown"
	// NotSent means that it was not sent, as the grant ended or the state could not be
	// written.
	NotSent Outcome = "NotSent"
)

// Load is the work at the backend servers of each role, measured in servers: 2.5 keeps two
// and a half of them busy all the time. Waiting work counts too.
type Load map[roster.Role]float64

// Counts has the numbers of servers by role.
type Counts map[roster.Role]int

// total returns the number of servers of all roles.
func (c Counts) total() int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// Zone has the observed servers of a service in one availability zone.
type Zone struct {
	// OnDemand and Spot are the servers that are ready, SpotLeaving the number of spot
	// servers that are leaving.
	OnDemand, Spot Counts
	SpotLeaving    int
	// Silent is the share of the zone's processes from which no status messages arrive.
	Silent float64
}

// ready returns the number of ready servers of one kind.
func (z Zone) ready(spot bool) int {
	if spot {
		return z.Spot.total()
	}
	return z.OnDemand.total()
}

// Observation has the servers and the load of one service at a time.
type Observation struct {
	Service string
	Scaling table.Scaling
	Zones   map[string]Zone
	Load    Load
}

// Saved is the part of the state that the next holder needs.
type Saved struct {
	Entries     []SavedEntry
	Provisioned []Provisioned `json:",omitempty"`
}

// Provisioned is the number of ready servers of a service that the first holder saw.
type Provisioned struct {
	Service string
	Servers int
}

// SavedEntry is the state of one subject.
type SavedEntry struct {
	Subject
	Desired int
	// PausedFor is how long no order was to be sent when this was written.
	PausedFor time.Duration `json:",omitempty"`
}
