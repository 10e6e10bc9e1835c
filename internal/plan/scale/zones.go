package scale

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// allocate splits a number of on-demand servers over zones, which are sorted by price:
// each gets zoneShare of its even part, the rest goes to the cheapest ones, up to
// zoneExcess of the even part.
func allocate(n, zones int) []int {
	split := make([]int, zones)
	if zones == 0 {
		return split
	}
	even := float64(n) / float64(zones)
	floor := int(math.Ceil(zoneShare * even))
	ceiling := int(math.Ceil(zoneExcess * even))
	for i := range split {
		split[i] = min(floor, n)
		n -= split[i]
	}
	for i := range split {
		more := min(max(ceiling-split[i], 0), n)
		split[i] += more
		n -= more
	}
	return split
}

// byPrice returns the zones that may get orders, the cheapest first: those with a price
// that are not cut off.
func (v *service) byPrice() []string {
	var zones []string
	for zone := range v.Scaling.ZonePrices {
		if v.Zones[zone].Silent < cutOffShare {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(v.Scaling.ZonePrices[a], v.Scaling.ZonePrices[b]), cmp.Compare(a, b))
	})
	return zones
}

// spread is the change of the numbers of one kind over the zones.
type spread struct {
	service *service
	zones   []string
	spot    bool
	// target is what each zone should have.
	target  []int
	changed map[*subject]int
}

// newSpread returns the spread of a kind with n servers in all.
func (v *service) newSpread(zones []string, spot bool, n int) *spread {
	s := &spread{service: v, zones: zones, spot: spot, changed: map[*subject]int{}, target: make([]int, len(zones))}
	for i := range s.target {
		// Spot servers are spread evenly: those of a zone are lost together.
		s.target[i] = (n + len(zones) - 1 - i) / len(zones)
	}
	if !spot {
		s.target = allocate(n, len(zones))
	}
	return s
}

// subject returns the subject of a zone.
func (v *service) subject(zone string, spot bool) *subject {
	return v.subjects[Subject{v.Service, zone, spot}]
}

// number returns the number of the subject after the changes so far.
func (s *spread) number(u *subject) int { return u.desired + s.changed[u] }

// sum returns the number of both kinds in a zone after the changes so far. Whether the
// platform counts reclaimed servers is not known: highest counts them for the other kind.
func (s *spread) sum(zone string, highest bool) int {
	u, other := s.service.subject(zone, s.spot), s.service.subject(zone, !s.spot)
	if highest {
		return s.number(u) + max(other.desired, other.platformDesired)
	}
	return s.number(u) + other.desired
}

// change raises, or lowers if the step is -1, the number by one in the zone that is
// furthest from its target. It returns false if there is none where this is allowed.
func (s *spread) change(now time.Time, step int) bool {
	var best *subject
	bestGap := 0
	for i, zone := range s.zones {
		u := s.service.subject(zone, s.spot)
		if u.blocked(now) || !s.allowed(zone, u, step) {
			continue
		}
		// Cheaper zones come first, so that of equals the dearer one is lowered.
		gap := step * (s.target[i] - s.number(u))
		if best == nil || gap > bestGap || gap == bestGap && step < 0 {
			best, bestGap = u, gap
		}
	}
	if best == nil {
		return false
	}
	s.changed[best] += step
	return true
}

// allowed reports whether the number of both kinds stays within the bounds.
func (s *spread) allowed(zone string, u *subject, step int) bool {
	if step > 0 {
		return s.sum(zone, true)+step <= s.service.Scaling.Max
	}
	return s.sum(zone, false)+step >= s.service.Scaling.Min && s.number(u) > 0 && s.service.Zones[zone].Silent <= silentShare
}

// orders returns the orders for the changes and takes them as sent.
func (s *spread) orders(reason string) []Order {
	var list []Order
	for u, change := range s.changed {
		if change == 0 {
			continue
		}
		desired := s.service.bounded(u, u.desired+change)
		if !s.service.within(u, desired) {
			continue
		}
		u.before = u.desired
		u.desired = desired
		list = append(list, Order{u.Subject, u.desired, reason})
	}
	slices.SortFunc(list, func(a, b Order) int { return compare(a.Subject, b.Subject) })
	return list
}

// within reports whether a number for the subject, with the other kind's in its zone, is
// within Min and Max.
func (v *service) within(u *subject, desired int) bool {
	sum := desired + v.subject(u.AvailabilityZone, !u.Spot).desired
	return sum >= v.Scaling.Min && sum <= v.Scaling.Max
}

// bounded returns the number nearest to a changed one for which the zone is within its
// bounds: a later configuration may have other bounds than those of the present numbers. It
// is not raised further than the platform's count of the other kind leaves room for.
func (v *service) bounded(u *subject, desired int) int {
	other := v.subject(u.AvailabilityZone, !u.Spot)
	least, most := v.Scaling.Min-other.desired, v.Scaling.Max-other.desired
	if desired > u.desired {
		least = min(least, max(desired, v.Scaling.Max-other.platformDesired))
	}
	return max(min(max(desired, least), most), 0)
}
