package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// unit is a server of the played platform.
type unit struct {
	zone    string
	role    roster.Role
	spot    bool
	readyAt time.Duration
	// leaving is when it says that it leaves, leavesAt when it is gone; 0 is never.
	leaving, leavesAt time.Duration
}

// played is a platform with one service under a load, in steps of tick.
type played struct {
	scaling table.Scaling
	random  *rand.Rand
	units   []unit
	at      time.Duration
	// load returns the load at a time, in servers.
	load func(at time.Duration) Load
	// none says whether the platform has no server of a kind now.
	none func(at time.Duration, zone string, spot bool) bool
	// outcome, if set, replaces the outcome of an order that had its effect.
	outcome func(at time.Duration, o Order) Outcome
	// silent is the share of a zone's processes that the holder does not hear.
	silent func(at time.Duration, zone string) float64

	state  State
	orders []sentOrder
	// desired has the numbers in effect, also of servers that were reclaimed.
	desired map[Subject]int
	// carried counts the ticks in which the ready servers of a role carry its load.
	carried map[roster.Role]int
	ticks   int
	cost    float64
}

type sentOrder struct {
	at time.Duration
	Order
	// before is the number present, sum that of both kinds ordered in the zone, and left that
	// of the ready servers of both kinds in all zones after the order.
	before, sum, left int
}

const (
	tick       = 250 * time.Millisecond
	reclaimLag = 2500 * time.Millisecond
)

var epoch = time.Unix(1e9, 0)

var prices = map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}

// newPlayed returns a platform with engines on demand, spread over four zones, of which
// three tenths prefill.
func newPlayed(seed uint64, engines int) *played {
	p := &played{
		scaling: table.Scaling{Min: 1, Max: 22, BootTime: 4 * time.Second, SpotPrice: 0.15, ZonePrices: prices},
		random:  rand.New(rand.NewPCG(seed, 1)), carried: map[roster.Role]int{}, desired: map[Subject]int{},
		none:   func(time.Duration, string, bool) bool { return false },
		silent: func(time.Duration, string) float64 { return 0 },
	}
	for i := range engines {
		role := roster.Decode
		if i%10 < 3 {
			role = roster.Prefill
		}
		p.units = append(p.units, unit{zone: p.zones()[i%4], role: role})
		p.desired[Subject{"s", p.zones()[i%4], false}]++
	}
	p.state.Start(epoch, Saved{})
	return p
}

func (p *played) zones() []string { return []string{"a", "b", "c", "d"} }

// bursts is a load with a mean of a quarter of 13 prefill engines and a fifth of 31 decode
// engines, and bursts of 1.5 to 2.5 times the mean for 3 to 15 s.
func bursts(seed uint64) func(time.Duration) Load {
	random := rand.New(rand.NewPCG(seed, 2))
	factors := make([]float64, 4*600)
	for i := range factors {
		factors[i] = 0.85
	}
	for at := 4 * 15; at < len(factors); {
		length := 4 * (3 + random.IntN(13))
		factor := 1.5 + random.Float64()
		for i := at; i < min(at+length, len(factors)); i++ {
			factors[i] = factor
		}
		at += length + 4*(10+random.IntN(40))
	}
	noise := make([]float64, len(factors))
	for i := range noise {
		noise[i] = 0.85 + 0.3*random.Float64()
	}
	return func(at time.Duration) Load {
		i := min(int(at/tick), len(factors)-1)
		f := factors[i] * noise[i]
		return Load{roster.Prefill: 3.25 * f, roster.Decode: 6.2 * f}
	}
}

// run plays up to a time.
func (p *played) run(until time.Duration) {
	for ; p.at < until; p.at += tick {
		p.leave()
		load := p.load(p.at)
		ready, observed := Counts{}, Observation{Service: "s", Scaling: p.scaling, Zones: map[string]Zone{}, Load: Load{}}
		for _, zone := range p.zones() {
			observed.Zones[zone] = Zone{OnDemand: Counts{}, Spot: Counts{}, Silent: p.silent(p.at, zone)}
		}
		for _, u := range p.units {
			p.cost += p.price(u) * tick.Seconds()
			z := observed.Zones[u.zone]
			switch {
			case p.at < u.readyAt:
				continue
			case u.leaving > 0 && p.at >= u.leaving:
				if u.spot {
					z.SpotLeaving++
				}
			case u.spot:
				z.Spot[u.role]++
			default:
				z.OnDemand[u.role]++
			}
			observed.Zones[u.zone] = z
			if u.leaving == 0 || p.at < u.leaving {
				ready[u.role]++
			}
		}
		p.count(load, ready)
		heard := 0.0
		for _, zone := range p.zones() {
			heard += 1 - p.silent(p.at, zone)
		}
		for role, value := range load {
			// Saturated servers show no more than that they are busy, and a short queue.
			observed.Load[role] = min(value, float64(ready[role])*1.2) * heard / 4
		}
		now := epoch.Add(p.at)
		p.state.Observe(now, []Observation{observed})
		for _, o := range Decide(now, &p.state) {
			p.state.Record(now, o, p.send(o))
		}
	}
}

func (p *played) price(u unit) float64 {
	if u.spot {
		return prices[u.zone] * p.scaling.SpotPrice
	}
	return prices[u.zone]
}

func (p *played) count(load Load, ready Counts) {
	p.ticks++
	for role, value := range load {
		if float64(ready[role]) >= value {
			p.carried[role]++
		}
	}
}

// leave removes the servers that have left.
func (p *played) leave() {
	p.units = slices.DeleteFunc(p.units, func(u unit) bool { return u.leavesAt > 0 && p.at >= u.leavesAt })
}

// send carries out an order.
func (p *played) send(o Order) Outcome {
	var present []int
	for i, u := range p.units {
		if u.zone == o.AvailabilityZone && u.spot == o.Spot && u.leavesAt == 0 {
			present = append(present, i)
		}
	}
	other := p.desired[Subject{o.Service, o.AvailabilityZone, !o.Spot}]
	left := 0
	for _, u := range p.units {
		if u.leavesAt == 0 && p.at >= u.readyAt {
			left++
		}
	}
	left -= max(len(present)-o.Desired, 0)
	p.orders = append(p.orders, sentOrder{p.at, o, len(present), o.Desired + other, left})
	if o.Desired > len(present) && p.none(p.at, o.AvailabilityZone, o.Spot) {
		return NoneLeft
	}
	p.desired[o.Subject] = o.Desired
	p.random.Shuffle(len(present), func(i, k int) { present[i], present[k] = present[k], present[i] })
	for i := o.Desired; i < len(present); i++ {
		p.units[present[i]].leaving, p.units[present[i]].leavesAt = p.at+tick, p.at+time.Second
	}
	for range o.Desired - len(present) {
		role := roster.Decode
		if p.random.Float64() < 0.3 {
			role = roster.Prefill
		}
		p.units = append(p.units, unit{zone: o.AvailabilityZone, role: role, spot: o.Spot, readyAt: p.at + p.scaling.BootTime})
	}
	if p.outcome != nil {
		return p.outcome(p.at, o)
	}
	return Done
}

// reclaim takes back the spot servers of zones.
func (p *played) reclaim(zones ...string) {
	for i, u := range p.units {
		if u.spot && u.leavesAt == 0 && slices.Contains(zones, u.zone) {
			p.units[i].leaving, p.units[i].leavesAt = p.at, p.at+reclaimLag
		}
	}
}

// share returns the share of the time in which the servers of a role carried its load.
func (p *played) share(role roster.Role) float64 { return float64(p.carried[role]) / float64(p.ticks) }

// costShare returns the cost beside that of the engines that were there at the start.
func (p *played) costShare(engines int) float64 {
	sum := 0.0
	for i := range engines {
		sum += prices[p.zones()[i%4]]
	}
	return p.cost / (sum * p.at.Seconds())
}

func (p *played) String() string {
	return fmt.Sprintf("%v: Prefill %.3f Decode %.3f cost %.3f orders %d", p.at, p.share(roster.Prefill), p.share(roster.Decode), p.costShare(44), len(p.orders))
}

// turns returns how often the number of a kind was lowered after it was raised, or raised
// after it was lowered.
func (p *played) turns(spot bool) int {
	turns, last := 0, 0
	for _, o := range p.orders {
		step := o.Desired - o.before
		if o.Spot != spot || step == 0 {
			continue
		}
		if last*step < 0 {
			turns++
		}
		last = step
	}
	return turns
}
