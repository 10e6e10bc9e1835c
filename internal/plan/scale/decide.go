package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Decide returns the orders that are due. The state takes them as sent; the outcome of
// each must be recorded with Record before the next call.
func Decide(now time.Time, s *State) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		p, ok := v.plan(now)
		if !ok {
			continue
		}
		p.noteExcess(now)
		if v.warmingUp(now) {
			continue
		}
		orders = append(orders, v.repeats(now)...)
		more := p.raise(now)
		if len(more) == 0 {
			more = p.lower(now)
		}
		orders = append(orders, more...)
	}
	return orders
}

// repeats returns the orders whose outcome is unknown and that are due again. One that is
// outside the bounds of a later configuration is given up: its effect will be
// observed.
func (v *service) repeats(now time.Time) []Order {
	var list []Order
	for _, u := range v.subjects {
		switch {
		case u.unsettled == nil || now.Before(u.retryAt):
		case v.within(u, u.unsettled.Desired):
			list = append(list, *u.unsettled)
		default:
			u.unsettled = nil
		}
	}
	slices.SortFunc(list, func(a, b Order) int { return compare(a.Subject, b.Subject) })
	return list
}

// plan is the comparison of what a service has with what it needs.
type plan struct {
	*service
	zones []string
	roles []roster.Role
	needs needs
	// onDemand and spot are the servers in the zones that are not cut off.
	onDemand, spot fleet
	// wantOnDemand and wantSpot are the numbers to be reached, limitOnDemand that below
	// which on-demand servers are raised. They follow from the usual shares of the roles,
	// and within roleExcess from the roles that the on-demand servers happen to have: if one
	// is rare by chance, spot servers of that role cost less than on-demand ones.
	wantOnDemand, limitOnDemand, wantSpot int
	// keep is the number of servers of both kinds below which the total is not lowered.
	keep int
	// cutOff is set if a zone is.
	cutOff bool
}

// kept returns the number of servers below which the total is not lowered while the load is
// not known for long enough.
func (v *service) kept(now time.Time) int {
	if now.Sub(v.firstLoad) >= keepFor {
		return 0
	}
	return v.provisioned
}

// plan compares what the service has with what it needs. It returns false if nothing is
// known or no zone can be decided about.
func (v *service) plan(now time.Time) (*plan, bool) {
	p := &plan{service: v, zones: v.byPrice(), roles: v.roles(), keep: v.kept(now)}
	if len(p.zones) == 0 || len(p.roles) == 0 {
		return nil, false
	}
	p.cutOff = len(p.zones) < len(v.Scaling.ZonePrices)
	share := v.shares(p.roles)
	p.onDemand, p.spot = fleet{Counts{}, share}, fleet{Counts{}, share}
	for _, z := range v.Zones {
		if z.Silent < cutOffShare {
			p.onDemand.ready.add(z.OnDemand)
			p.spot.ready.add(z.Spot)
		}
	}
	p.needs = v.needs(p.roles)
	limit := v.Scaling.Max * len(p.zones)
	least := func(n need, f fleet) int {
		return smallest(len(p.zones), limit, func(k int) bool {
			return n.met(func(r roster.Role) float64 { return f.expect(r, k) })
		})
	}
	usual := fleet{share: share}
	base, limitByShare := least(p.needs.base, usual), least(p.needs.limit, usual)
	highest := int(math.Ceil(float64(base) * roleExcess))
	base = max(base, int(math.Ceil(onDemandShare*float64(p.keep))))
	p.wantOnDemand = max(base, min(least(p.needs.limit, p.onDemand), highest))
	p.limitOnDemand = limitByShare
	if settled(now, p.loweredOnDemandAt) {
		// The roles of the servers that left are chance. To raise the number at once because
		// of them would be a swing.
		p.limitOnDemand = max(limitByShare, min(least(p.needs.roles, p.onDemand), highest))
	}
	p.wantSpot = smallest(0, max(limit-p.wantOnDemand, 0), p.enoughSpot)
	return p, true
}

// enoughSpot reports whether n spot servers beside the wanted on-demand ones are enough,
// also without those of the zone that has the most. The size that is kept remains without
// those of lostZones zones.
func (p *plan) enoughSpot(n int) bool {
	remaining := n - (n+len(p.zones)-1)/len(p.zones)
	carries := func(n int) func(roster.Role) float64 {
		return func(r roster.Role) float64 { return p.onDemand.expect(r, p.wantOnDemand) + p.spot.expect(r, n) }
	}
	perZone := (n + len(p.zones) - 1) / len(p.zones)
	return p.wantOnDemand+n-min(lostZones, len(p.zones)-1)*perZone >= p.keep && p.needs.peak.met(carries(n)) && p.needs.loss.met(carries(remaining))
}

// desired returns the number of servers of a kind that are ordered in the zones.
func (p *plan) desired(spot bool) int {
	n := 0
	for _, zone := range p.zones {
		n += p.subject(zone, spot).desired
	}
	return n
}

// noteExcess records since when there are more servers than needed.
func (p *plan) noteExcess(now time.Time) {
	note := func(since *time.Time, excess bool) {
		switch {
		case !excess:
			*since = time.Time{}
		case since.IsZero():
			*since = now
		}
	}
	note(&p.excessOnDemand, float64(p.desired(false)) > float64(p.wantOnDemand)*onDemandSlack)
	note(&p.excessSpot, float64(p.desired(true)) > float64(p.wantSpot)*spotSlack)
}

// raise returns the orders for more servers.
func (p *plan) raise(now time.Time) []Order {
	orders := p.raiseSpot(now)
	onDemand := p.raiseOnDemand(now)
	if len(onDemand) == 0 {
		onDemand = p.raiseToMin(now)
	}
	return append(orders, onDemand...)
}

// raiseSpot returns the orders for spot servers. One more alone waits until the last ones
// have booted.
func (p *plan) raiseSpot(now time.Time) []Order {
	missing := p.wantSpot - p.desired(true)
	if missing <= 0 || missing == 1 && now.Sub(p.raisedSpotAt) < p.Scaling.BootTime+bootSlack {
		return nil
	}
	orders := p.add(now, true, missing, p.reason("headroom for bursts", p.needs.peak))
	if len(orders) > 0 {
		p.raisedSpotAt = now
	}
	return orders
}

// raiseOnDemand returns the orders for on-demand servers: for the mean load, or for the
// present load because spot servers are missing, whichever needs more. What a zone that is
// cut off serves is part of the mean, so that this says nothing then.
func (p *plan) raiseOnDemand(now time.Time) []Order {
	ordered := p.desired(false)
	want, reason := ordered, ""
	if ordered < p.limitOnDemand && !p.cutOff {
		want, reason = p.wantOnDemand, p.reason("on-demand servers are to carry their part of the mean load", p.needs.base)
	}
	if n := p.fallback(now, ordered); n > want {
		want, reason = n, p.reason("the present load, as spot servers are missing", p.needs.fallback)
	}
	if want == ordered {
		return nil
	}
	orders := p.add(now, false, want-ordered, reason)
	if len(orders) > 0 {
		p.raisedOnDemandAt = now
	}
	if p.desired(false) < want {
		orders = append(orders, p.release(now)...)
	}
	return orders
}

// release returns the orders that lower the platform's count of spot servers to those that a
// reclaim has left: it may count the others towards Max, so that no on-demand servers can
// be ordered in their place. They ask for no server, so that the pause does not apply.
func (p *plan) release(now time.Time) []Order {
	if p.raisedSpotAt.Equal(now) {
		return nil
	}
	var orders []Order
	for _, zone := range p.zones {
		u := p.subject(zone, true)
		if u.platformDesired <= u.desired || u.unsettled != nil || now.Before(u.retryAt) || !p.within(u, u.desired) {
			continue
		}
		u.before, u.retryAt = u.desired, now.Add(retryPause)
		orders = append(orders, Order{u.Subject, u.desired, "reclaimed spot servers are not to count towards Max"})
	}
	return orders
}

// fallback returns the number of on-demand servers that the present load needs beside
// the spot servers that are ordered, at least the number ordered. After a reclaim, while no
// spot servers can be ordered, it is what a burst needs. Nothing makes up for a role that is
// rare among the servers that come, so that they are counted by what is likely at least.
func (p *plan) fallback(now time.Time, ordered int) int {
	spot := p.desired(true)
	carries := func(n int) func(roster.Role) float64 {
		present, presentSpot := min(n, p.onDemand.ready.total()), min(spot, p.spot.ready.total())
		return func(r roster.Role) float64 {
			coming := likely(p.onDemand.share[r], n-present+spot-presentSpot)
			return p.onDemand.expect(r, present) + p.spot.expect(r, presentSpot) + coming
		}
	}
	limit, target := p.needs.fallbackLimit, p.needs.fallback
	reclaimed := p.reclaimed(now)
	if reclaimed {
		limit, target = limit.with(p.needs.reclaim), target.with(p.needs.reclaim)
	}
	if limit.met(carries(ordered)) {
		return ordered
	}
	highest := p.Scaling.Max * len(p.zones)
	if p.keep > 0 && !reclaimed {
		// The fleet's size at the start is taken to carry its load. After a reclaim most of
		// the servers are new, and their roles may be other than those of that fleet.
		highest = min(highest, max(p.keep-spot, ordered))
	}
	return smallest(ordered, highest, func(n int) bool { return target.met(carries(n)) })
}

// reclaimed reports whether spot servers were reclaimed lately and none can be ordered in
// any zone.
func (p *plan) reclaimed(now time.Time) bool {
	lately := false
	for _, zone := range p.zones {
		u := p.subject(zone, true)
		if !u.blocked(now) {
			return false
		}
		lately = lately || now.Before(u.reclaimedUntil)
	}
	return lately
}

// raiseToMin returns the orders for zones that have fewer servers than Min.
func (p *plan) raiseToMin(now time.Time) []Order {
	var orders []Order
	for _, zone := range p.zones {
		u := p.subject(zone, false)
		missing := p.Scaling.Min - u.desired - p.subject(zone, true).desired
		if missing > 0 && !u.blocked(now) {
			s := &spread{service: p.service, changed: map[*subject]int{u: missing}}
			orders = append(orders, s.orders("the zone has fewer servers than Min")...)
		}
	}
	return orders
}

// add returns the orders for n more servers of a kind, as far as the zones may have them.
func (p *plan) add(now time.Time, spot bool, n int, reason string) []Order {
	s := p.newSpread(p.zones, spot, p.desired(spot)+max(n, 0))
	for range n {
		if !s.change(now, 1) {
			break
		}
	}
	return s.orders(reason)
}

// lower returns the orders for fewer servers: on-demand ones first, which cost more.
func (p *plan) lower(now time.Time) []Order {
	if now.Sub(p.loweredAt) < stepEvery {
		return nil
	}
	wait := time.Duration(lowFor)
	if p.onDemand.ready.total()+p.spot.ready.total() > p.keep && p.keep > 0 {
		// Spot servers have replaced them already.
		wait = 0
	}
	var orders []Order
	if settled(now, p.raisedOnDemandAt) {
		orders = p.lowerKind(now, false, p.wantOnDemand, p.excessOnDemand, wait)
	}
	if len(orders) > 0 {
		p.loweredOnDemandAt = now
	}
	if len(orders) == 0 {
		orders = p.lowerKind(now, true, p.wantSpot, p.excessSpot, spotLowFor)
	}
	if len(orders) > 0 {
		p.loweredAt = now
	}
	return orders
}

// settled reports whether the last change of the on-demand servers, if any, is settleTime
// ago.
func settled(now, changed time.Time) bool {
	return changed.IsZero() || now.Sub(changed) >= settleTime
}

// lowerKind returns the orders for one step of a kind down to the number wanted.
func (p *plan) lowerKind(now time.Time, spot bool, want int, since time.Time, wait time.Duration) []Order {
	if since.IsZero() || now.Sub(since) < wait {
		return nil
	}
	step := min(p.desired(spot)-want, p.dispensable(now))
	s := p.newSpread(p.zones, spot, want)
	for range step {
		if !s.change(now, -1) {
			break
		}
	}
	return s.orders(p.reason("the load has been lower", p.needs.base))
}

// dispensable returns how many of the ready servers may leave in one step. What remains
// carries the highest load of the horizon, too: spot servers that are wanted for it may not
// be available. Where on-demand servers leave no room for them below Max, what remains carries
// bursts of the mean load: it would keep them for good if a role is rare by chance.
func (p *plan) dispensable(now time.Time) int {
	all := fleet{ready: Counts{}}
	all.ready.add(p.onDemand.ready)
	all.ready.add(p.spot.ready)
	total := all.ready.total()
	n := min(int(float64(total)*stepShare), max(total-p.keep, 0))
	peak := p.needs.peak
	if p.full(now) {
		peak = p.needs.reclaim
	}
	enough := func(n int) bool {
		return peak.met(func(r roster.Role) float64 { return all.expect(r, total-n) }) &&
			p.needs.safe.met(func(r roster.Role) float64 { return float64(all.ready[r] - n) })
	}
	for ; n > 0 && !enough(n); n-- {
	}
	return n
}

// full reports whether spot servers are wanted and could be ordered, but Max leaves room for
// one in no zone.
func (p *plan) full(now time.Time) bool {
	available := false
	for _, zone := range p.zones {
		spot := p.subject(zone, true)
		if p.subject(zone, false).desired+spot.desired < p.Scaling.Max {
			return false
		}
		available = available || !spot.blocked(now)
	}
	return available && p.desired(true) < p.wantSpot
}

// reason explains an order by the loads and what they need.
func (p *plan) reason(text string, n need) string {
	for _, r := range p.roles {
		name := string(r)
		if name == "" {
			name = "load"
		}
		text += fmt.Sprintf("; %s %.1f, mean %.1f, needs %.1f", name, p.needs.now[r], p.needs.mean[r], n[r])
	}
	return text
}
