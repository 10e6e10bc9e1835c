package scale

import (
	"cmp"
	"slices"
	"time"
)

// State has the observations and orders of a holder. Start must be called before the other methods.
type State struct {
	started     time.Time
	saved       map[Subject]SavedEntry
	provisioned map[string]int
	services    map[string]*service
}

// service is the state of one service.
type service struct {
	Observation
	history  history
	subjects map[Subject]*subject
	// excessOnDemand and excessSpot are since when fewer servers of the kind would have
	// been enough; zero if they would not.
	excessOnDemand, excessSpot time.Time
	// raisedSpotAt is when spot servers were last ordered, loweredAt when a number was last
	// lowered.
	raisedSpotAt, loweredAt time.Time
	// raisedOnDemandAt and loweredOnDemandAt are when the number of on-demand servers was last
	// raised and lowered.
	raisedOnDemandAt, loweredOnDemandAt time.Time
	// share has the expected shares of the roles among new servers, once known.
	share need
	// firstLoad is when load was first seen.
	firstLoad time.Time
	// provisioned is the number of ready servers first seen, before any order.
	provisioned int
}

// subject is the state of one kind in one zone.
type subject struct {
	Subject
	// desired is the number last ordered, or the number present if none was; before is
	// that before the last order, to which an order without effect returns.
	desired, before int
	// platformDesired is the number that the platform may hold as the desired one. It may
	// still include reclaimed servers.
	platformDesired int
	ready, leaving  int
	orderedAt       time.Time
	// shortSince is since when fewer servers than desired are ready; zero if enough are.
	shortSince time.Time
	// pausedUntil is until when no order is sent, reclaimedUntil until when this is so
	// because servers were reclaimed.
	pausedUntil, reclaimedUntil time.Time
	// unsettled is the order whose outcome is unknown. It is repeated from retryAt on, as is
	// one that releases reclaimed servers.
	unsettled *Order
	retryAt   time.Time
}

// Start replaces the state by what the last holder has saved. It is called when this
// process becomes the holder.
func (s *State) Start(now time.Time, saved Saved) {
	*s = State{started: now, saved: map[Subject]SavedEntry{}, provisioned: map[string]int{}, services: map[string]*service{}}
	for _, p := range saved.Provisioned {
		s.provisioned[p.Service] = p.Servers
	}
	for _, e := range saved.Entries {
		s.saved[e.Subject] = e
	}
}

// Observe records the observations of all services that may be scaled. The state of a service
// that is no longer among them is removed.
func (s *State) Observe(now time.Time, observations []Observation) {
	seen := map[string]bool{}
	for _, o := range observations {
		seen[o.Service] = true
		v, ok := s.services[o.Service]
		if !ok {
			v = &service{subjects: map[Subject]*subject{}, firstLoad: now}
			s.services[o.Service] = v
		}
		v.Observation = o
		v.history.observe(now, o.Load)
		for zone := range o.Scaling.ZonePrices {
			s.observeZone(now, v, zone)
		}
		if v.warmingUp(now) {
			v.provisioned = cmp.Or(s.provisioned[o.Service], max(v.provisioned, v.readyServers()))
		}
		for key := range v.subjects {
			if _, ok := o.Scaling.ZonePrices[key.AvailabilityZone]; !ok {
				delete(v.subjects, key)
			}
		}
	}
	for name := range s.services {
		if !seen[name] {
			delete(s.services, name)
		}
	}
}

// readyServers returns the number of ready servers of both kinds.
func (v *service) readyServers() int {
	sum := 0
	for _, u := range v.subjects {
		sum += u.ready
	}
	return sum
}

// observeZone updates both subjects of a zone.
func (s *State) observeZone(now time.Time, v *service, zone string) {
	z := v.Zones[zone]
	for _, spot := range []bool{false, true} {
		key := Subject{v.Service, zone, spot}
		u, ok := v.subjects[key]
		if !ok {
			u = &subject{Subject: key}
			v.subjects[key] = u
		}
		leaving := 0
		if spot {
			leaving = z.SpotLeaving
		}
		if v.warmingUp(now) {
			u.adopt(v.firstLoad, z.ready(spot), leaving, s.savedFor(v, key))
			continue
		}
		u.observe(now, z.ready(spot), leaving, v.Scaling.BootTime+bootSlack)
	}
}

// warmingUp reports whether the service has been observed too briefly for orders.
func (v *service) warmingUp(now time.Time) bool { return now.Sub(v.firstLoad) < warmupTime }

// savedFor returns what the last holder has saved, empty if the service became
// scalable only later.
func (s *State) savedFor(v *service, key Subject) SavedEntry {
	if v.firstLoad.Sub(s.started) >= warmupTime {
		return SavedEntry{}
	}
	return s.saved[key]
}

// adopt takes the servers present, or those that the last holder ordered if there are
// more, as ordered. A record from an older copy of the store then lowers nothing.
func (u *subject) adopt(started time.Time, ready, leaving int, saved SavedEntry) {
	u.ready, u.leaving, u.desired = ready, leaving, max(ready, saved.Desired)
	u.platformDesired = u.desired
	u.pausedUntil = started.Add(min(max(saved.PausedFor, 0), reclaimPause))
	if u.desired > ready {
		u.orderedAt = started
	}
}

// observe updates the subject with the numbers of ready and leaving servers. Ordered
// servers are expected within the grace time.
func (u *subject) observe(now time.Time, ready, leaving int, grace time.Duration) {
	// lost is the number of servers that left without an order.
	lost := u.ready - ready - max(u.ready-u.desired, 0)
	reclaimed := u.Spot && lost > 0 && leaving > u.leaving
	u.ready, u.leaving = ready, leaving
	if reclaimed {
		// Those that still boot are in a zone that has no capacity now.
		u.desired, u.unsettled = ready, nil
		u.reclaimedUntil = now.Add(reclaimPause)
		u.pausedUntil = later(u.pausedUntil, u.reclaimedUntil)
	}
	switch {
	case u.unsettled != nil:
	case ready >= u.desired:
		u.shortSince = time.Time{}
		if ready > u.desired && now.Sub(u.orderedAt) > grace {
			// Lowered servers would have left by now: these were not ordered.
			u.desired, u.platformDesired = ready, max(u.platformDesired, ready)
		}
	case u.shortSince.IsZero():
		u.shortSince = now
	case now.Sub(later(u.shortSince, u.orderedAt)) > grace:
		u.desired, u.shortSince = ready, time.Time{}
	}
}

// blocked reports whether nothing may be ordered now.
func (u *subject) blocked(now time.Time) bool {
	return now.Before(u.pausedUntil) || u.unsettled != nil
}

// Record records the outcome of an order that Decide returned.
func (s *State) Record(now time.Time, order Order, outcome Outcome) {
	v, ok := s.services[order.Service]
	if !ok {
		return
	}
	u, ok := v.subjects[order.Subject]
	if !ok {
		return
	}
	switch {
	case outcome == Done:
		u.unsettled, u.orderedAt, u.platformDesired = nil, now, order.Desired
	case outcome == Unknown:
		u.unsettled, u.retryAt, u.orderedAt, u.platformDesired = &order, now.Add(retryPause), now, max(u.platformDesired, order.Desired)
	case u.unsettled != nil && (outcome == RateLimited || outcome == NotSent):
		// An earlier sending may have had an effect.
		u.retryAt = now.Add(retryPause)
	case outcome == RateLimited || outcome == NotSent:
		u.revert(now, retryPause)
	default:
		u.revert(now, noneLeftPause)
	}
}

// revert undoes an order that had no effect. A repeated one that is refused had none
// before either, else it would have been confirmed.
func (u *subject) revert(now time.Time, pause time.Duration) {
	u.unsettled, u.desired = nil, u.before
	u.pausedUntil = later(u.pausedUntil, now.Add(pause))
}

// Saved returns what the next holder needs.
func (s *State) Saved(now time.Time) Saved {
	var saved Saved
	for _, v := range s.services {
		saved.Provisioned = append(saved.Provisioned, Provisioned{v.Service, v.provisioned})
		for key, u := range v.subjects {
			saved.Entries = append(saved.Entries, SavedEntry{Subject: key, Desired: u.desired, PausedFor: max(u.pausedUntil.Sub(now), 0)})
		}
	}
	slices.SortFunc(saved.Provisioned, func(a, b Provisioned) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(saved.Entries, func(a, b SavedEntry) int { return compare(a.Subject, b.Subject) })
	return saved
}

// compare orders subjects by service, zone and kind.
func compare(a, b Subject) int {
	kind := func(s Subject) int {
		if s.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(kind(a), kind(b)))
}

// Totals returns the numbers of servers of a service that are desired and ready.
func (s *State) Totals(name string) (desired, ready int) {
	if v, ok := s.services[name]; ok {
		for _, u := range v.subjects {
			desired, ready = desired+u.desired, ready+u.ready
		}
	}
	return desired, ready
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
