package scale

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// seeds are the first ones and those for which the servers were too few after a reclaim, or
// the on-demand servers swung: with a burst after it, with rare roles, or without room below
// Max.
var seeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 16, 18, 20, 40, 47, 59, 75, 76, 102, 148, 175, 213}

// play plays bursts until a time for several seeds and checks what holds in each case: the
// bounds, the size of a step down, and that the numbers do not swing.
func play(t *testing.T, until time.Duration, prepare func(*played), check func(*played)) {
	t.Helper()
	for _, seed := range seeds {
		p := newPlayed(seed, 44)
		p.load = bursts(seed)
		prepare(p)
		p.run(until)
		t.Logf("seed %d, %v", seed, p)
		p.checkOrders(t, seed)
		check(p)
	}
}

func (p *played) checkOrders(t *testing.T, seed uint64) {
	t.Helper()
	lowered, last := map[time.Duration]int{}, map[Subject]time.Duration{}
	for _, o := range p.orders {
		before, ordered := last[o.Subject]
		assert.False(t, ordered && before == o.at, "seed %d: two orders at a time: %v", seed, o)
		last[o.Subject] = o.at
		if o.Desired < o.before {
			lowered[o.at] += o.before - o.Desired
			assert.True(t, o.at >= keepFor || o.left >= 44, "seed %d: fewer servers than first seen, too early: %v", seed, o)
		}
		assert.False(t, o.Desired > o.before && o.sum > p.scaling.Max || o.sum < p.scaling.Min, "seed %d: out of bounds: %v", seed, o)
		assert.GreaterOrEqual(t, o.at, warmupTime, "seed %d: a new holder ordered", seed)
	}
	step := -time.Hour
	for _, at := range slices.Sorted(maps.Keys(lowered)) {
		assert.GreaterOrEqual(t, at-step, stepEvery, "seed %d", seed)
		assert.LessOrEqual(t, lowered[at], 22, "seed %d: step at %v", seed, at)
		step = at
	}
	assert.LessOrEqual(t, p.turns(false), 2+int(p.at/(40*time.Second)), "seed %d: on-demand servers swing", seed)
}

// carries checks that each role carried its load for a share of the time.
func (p *played) carries(t *testing.T, prefill, decode float64) {
	t.Helper()
	assert.GreaterOrEqual(t, p.share(roster.Prefill), prefill, p)
	assert.GreaterOrEqual(t, p.share(roster.Decode), decode, p)
}

// TestBurstsAreCarriedForHalfTheCost guards against capacity that follows the mean load and
// lacks in bursts, and against savings that come too late to matter.
func TestBurstsAreCarriedForHalfTheCost(t *testing.T) {
	sum := 0.0
	play(t, 5*time.Minute, func(*played) {}, func(p *played) {
		p.carries(t, 1, 1)
		assert.Less(t, p.costShare(44), 0.65, p)
		sum += p.costShare(44)
	})
	assert.Less(t, sum/float64(len(seeds)), 0.5)
}

// TestFleetIsKeptBeforeTraffic guards against a fleet that is lowered for the load of the
// first seconds, before clients come, and lacks when they do.
func TestFleetIsKeptBeforeTraffic(t *testing.T) {
	p := newPlayed(1, 44)
	p.load = func(time.Duration) Load { return Load{roster.Prefill: 0, roster.Decode: 0} }
	p.run(time.Minute)
	p.checkOrders(t, 1)
	ready := Counts{}
	for _, u := range p.units {
		ready[u.role]++
	}
	assert.GreaterOrEqual(t, ready.total(), 44)
	assert.Less(t, p.costShare(44), 0.6, "replaced by spot servers all the same")
}

// TestFirstBurstWithoutSpotServers guards against on-demand servers that are lowered by a mean
// load that is still low, while the first burst saturates the fleet and no spot servers can be
// ordered.
func TestFirstBurstWithoutSpotServers(t *testing.T) {
	begin, end := 12*time.Second, 30*time.Second
	for seed := range uint64(12) {
		p := newPlayed(seed, 44)
		p.load = func(at time.Duration) Load {
			if at < begin {
				return Load{roster.Prefill: 0, roster.Decode: 0}
			}
			return Load{roster.Prefill: 11, roster.Decode: 8}
		}
		p.none = func(at time.Duration, _ string, spot bool) bool { return spot && at >= begin && at < end }
		p.run(end)
		p.checkOrders(t, seed)
		for _, o := range p.orders {
			assert.False(t, o.at > begin && o.Desired < o.before, "seed %d: lowered in a burst: %v", seed, o)
		}
	}
}

// TestReclaims guards against a loss of service when the spot servers of one zone, or of
// all shortly after each other with none available for 10 s, are reclaimed.
func TestReclaims(t *testing.T) {
	at := 80 * time.Second
	play(t, 160*time.Second, func(p *played) { p.run(at); p.reclaim("b") }, func(p *played) {
		p.carries(t, 1, 1)
		for _, o := range p.orders {
			late := o.at > at && o.at < at+reclaimPause
			assert.False(t, late && o.Spot && o.AvailabilityZone == "b" && o.Desired > o.before, "spot order soon after a reclaim: %v", o)
		}
	})
	play(t, 160*time.Second, func(p *played) {
		p.none = func(now time.Duration, _ string, spot bool) bool { return spot && now >= at && now < at+10*time.Second }
		p.run(at)
		p.reclaim("a", "b")
		p.run(at + time.Second)
		p.reclaim("c", "d")
	}, func(p *played) {
		p.carries(t, 0.95, 0.97)
		assert.Less(t, p.costShare(44), 0.7, p)
	})
}

// TestOnDemandServersMakeRoom guards against on-demand servers that stay for good where the zones
// have Max servers of which few have a role: none left, as the bursts were not carried without
// them, and the spot servers that would carry them had no room.
func TestOnDemandServersMakeRoom(t *testing.T) {
	p := newPlayed(1, 0)
	p.load = func(time.Duration) Load { return Load{roster.Prefill: 3.25, roster.Decode: 6.2} }
	for i := range 88 {
		u := unit{zone: p.zones()[i%4], role: roster.Decode}
		if i < 10 {
			u.role = roster.Prefill
		}
		p.units = append(p.units, u)
		p.desired[Subject{"s", u.zone, false}]++
	}
	p.state.Start(epoch, Saved{Provisioned: []Provisioned{{"s", 44}}})
	p.run(time.Minute)
	p.carries(t, 1, 1)
	onDemand := 0
	for _, u := range p.units {
		if !u.spot {
			onDemand++
		}
	}
	assert.Less(t, onDemand, 22)
}

// TestNoSpotServersAtAll guards against endless orders, and a fleet lowered below what
// bursts need, where the platform never has spot servers.
func TestNoSpotServersAtAll(t *testing.T) {
	play(t, 2*time.Minute, func(p *played) {
		p.none = func(_ time.Duration, _ string, spot bool) bool { return spot }
	}, func(p *played) {
		p.carries(t, 0.97, 0.97)
		assert.Less(t, len(p.orders), 24*5+60, "each zone is asked once in %v", noneLeftPause)
	})
}

// TestLostResponses guards against another order in place of one whose outcome is unknown.
func TestLostResponses(t *testing.T) {
	play(t, 2*time.Minute, func(p *played) {
		p.outcome = func(time.Duration, Order) Outcome {
			if p.random.IntN(3) == 0 {
				return Unknown
			}
			return Done
		}
	}, func(p *played) {
		p.carries(t, 1, 1)
		assert.Less(t, p.costShare(44), 0.75, p)
	})
	p := newPlayed(1, 44)
	p.load = bursts(1)
	p.outcome = func(time.Duration, Order) Outcome { return Unknown }
	p.run(20 * time.Second)
	first := map[Subject]Order{}
	for _, o := range p.orders {
		if before, ok := first[o.Subject]; ok {
			assert.Equal(t, before, o.Order, "the same order until its outcome is known")
		}
		first[o.Subject] = o.Order
	}
	assert.NotEmpty(t, first)
}

// TestHolderChange guards against a new holder that orders fewer than are on their way, or
// swings, as it knows no load yet.
func TestHolderChange(t *testing.T) {
	for _, at := range []time.Duration{4 * time.Second, 12 * time.Second, 31 * time.Second} {
		play(t, at+time.Minute, func(p *played) {
			p.run(at)
			n := len(p.orders)
			p.state.Start(epoch.Add(at), p.state.Saved(epoch.Add(at)))
			p.run(at + 10*time.Second)
			for _, o := range p.orders[n:] {
				assert.GreaterOrEqual(t, o.at, at+warmupTime)
				assert.True(t, o.Desired >= o.before || o.left >= 44, "lowered by a new holder: %v", o)
			}
		}, func(p *played) { p.carries(t, 1, 1) })
	}
}

// TestZoneCutOff guards against lowered servers in a zone whose load is not heard, and
// against capacity elsewhere that counts on it.
func TestZoneCutOff(t *testing.T) {
	from, to := 6*time.Second, 40*time.Second
	for _, share := range []float64{0.3, 1} {
		play(t, 2*time.Minute, func(p *played) {
			p.silent = func(at time.Duration, zone string) float64 {
				if zone == "c" && at >= from && at < to {
					return share
				}
				return 0
			}
		}, func(p *played) {
			p.carries(t, 1, 1)
			for _, o := range p.orders {
				inside := o.AvailabilityZone == "c" && o.at >= from && o.at < to
				assert.False(t, inside && o.Desired < o.before, "lowered in the silent zone: %v", o)
			}
		})
	}
}

// TestSmallPlainService guards against a service lowered below two servers, or below Min,
// by a load of nearly nothing.
func TestSmallPlainService(t *testing.T) {
	var s State
	s.Start(epoch, Saved{})
	o := Observation{Service: "p", Scaling: newPlayed(0, 0).scaling, Zones: map[string]Zone{}, Load: Load{"": 0.02}}
	for zone := range prices {
		o.Zones[zone] = Zone{OnDemand: Counts{"": 2}, Spot: Counts{}}
	}
	for at := time.Duration(0); at < time.Minute; at += tick {
		s.Observe(epoch.Add(at), []Observation{o})
		for _, order := range Decide(epoch.Add(at), &s) {
			z := o.Zones[order.AvailabilityZone]
			map[bool]Counts{false: z.OnDemand, true: z.Spot}[order.Spot][""] = order.Desired
			s.Record(epoch.Add(at), order, Done)
		}
	}
	total := 0
	for zone, z := range o.Zones {
		assert.GreaterOrEqual(t, z.OnDemand.total()+z.Spot.total(), 1, "zone %s", zone)
		total += z.OnDemand.total()
	}
	assert.Equal(t, 4, total, "Min in each zone")
}

// TestRefusedOrderLeavesNumbers guards against counting servers that were refused.
func TestRefusedOrderLeavesNumbers(t *testing.T) {
	for _, outcome := range []Outcome{NoneLeft, Refused, RateLimited, NotSent} {
		p := newPlayed(1, 44)
		p.load = bursts(1)
		p.run(warmupTime)
		before := p.state.Saved(epoch)
		p.outcome = func(time.Duration, Order) Outcome { return outcome }
		p.run(warmupTime + tick)
		assert.NotEmpty(t, p.orders)
		after := p.state.Saved(epoch)
		for i, e := range after.Entries {
			assert.Equal(t, before.Entries[i].Desired, e.Desired, outcome)
		}
	}
}

// TestScalingIsSwitchedOnLater guards against orders by the first moment of load, or by an
// old record, for a service that may be scaled only since a later configuration.
func TestScalingIsSwitchedOnLater(t *testing.T) {
	var s State
	s.Start(epoch, Saved{Entries: []SavedEntry{{Subject: Subject{"s", "b", false}, Desired: 20}}})
	p := newPlayed(1, 44)
	p.state, p.load = s, bursts(1)
	p.at = time.Hour
	p.run(time.Hour + warmupTime)
	assert.Empty(t, p.orders)
	desired, ready := p.state.Totals("s")
	assert.Equal(t, 44, ready)
	assert.Equal(t, 44, desired)
}

// TestOrdersWithinNewBounds guards against orders outside the bounds of a configuration that
// has changed: numbers were lowered, or raised, by a step from where they were, and an order
// whose outcome was unknown was repeated.
func TestOrdersWithinNewBounds(t *testing.T) {
	for _, c := range []struct {
		name                    string
		ready, minimum, maximum int
		load                    float64
		// then replaces maximum later, while each outcome is unknown.
		then int
	}{
		{"Max below the number present", 12, 1, 5, 2, 5},
		{"Min above the number present", 1, 4, 9, 3, 9},
		{"Max lowered after an order", 2, 1, 9, 6, 3},
	} {
		scaling := newPlayed(0, 0).scaling
		scaling.Min, scaling.Max = c.minimum, c.maximum
		o := Observation{Service: "p", Scaling: scaling, Zones: map[string]Zone{}, Load: Load{"": c.load}}
		for zone := range prices {
			o.Zones[zone] = Zone{OnDemand: Counts{"": c.ready}, Spot: Counts{}}
		}
		var s State
		s.Start(epoch, Saved{})
		ordered, outcome := 0, Done
		if c.then != c.maximum {
			outcome = Unknown
		}
		for at := time.Duration(0); at < keepFor+time.Minute; at += tick {
			if at == warmupTime+time.Second {
				o.Scaling.Max = c.then
			}
			s.Observe(epoch.Add(at), []Observation{o})
			list := Decide(epoch.Add(at), &s)
			for _, order := range list {
				ordered++
				sum := order.Desired + s.services["p"].subject(order.AvailabilityZone, !order.Spot).desired
				assert.LessOrEqual(t, sum, o.Scaling.Max, "%s: %v", c.name, order)
				assert.GreaterOrEqual(t, sum, o.Scaling.Min, "%s: %v", c.name, order)
			}
			for _, order := range list {
				if outcome == Done {
					z := o.Zones[order.AvailabilityZone]
					map[bool]Counts{false: z.OnDemand, true: z.Spot}[order.Spot][""] = order.Desired
				}
				s.Record(epoch.Add(at), order, outcome)
			}
		}
		assert.NotZero(t, ordered, c.name)
	}
}

// TestMeasure checks that waiting work counts: a saturated fleet would look just busy.
func TestMeasure(t *testing.T) {
	servers := []Server{
		{AvailabilityZone: "a", Role: roster.Prefill, Slots: 8, Prefills: 2, PrefillTokens: 3000, Rate: 1000},
		{AvailabilityZone: "b", Role: roster.Decode, Slots: 8, Running: 4, Spot: true},
		{AvailabilityZone: "b", Role: roster.Decode, Slots: 8, Running: 4, Spot: true, Leaving: true},
	}
	zones, load := Measure(servers, Waiting{roster.Prefill: 1000, roster.Decode: 8})
	assert.Equal(t, Load{roster.Prefill: 4, roster.Decode: 2}, load)
	assert.Equal(t, Zone{OnDemand: Counts{}, Spot: Counts{roster.Decode: 1}, SpotLeaving: 1}, zones["b"])
	_, load = Measure(nil, Waiting{roster.Decode: 3})
	assert.Equal(t, Load{roster.Decode: 3}, load, "work without a server counts")
}
