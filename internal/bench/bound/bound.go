// Package bound computes an upper bound of the traffic that a planner could serve
// on a day that it knows in advance, from the users' site files. A site file has a
// deployment and several days of traffic for it.
//
// # Usage
//
//	site, err := bound.Read("malabar-diag.toml")
//	for _, day := range site.Days {
//		fmt.Println(day.Name, site.Bound(day, bound.Overlapped).Worth)
//	}
//
// The bound is a fluid approximation with these assumptions:
//
//   - All engines of a service prefill together at their joint speed, whichever
//     engine a prompt is sent to. Every prompt has the mean length, and a shared
//     prefix is prefilled once in the whole day.
//   - A request whose wait is within its latency target is served on time. Requests
//     over that may be served late with the capacity that is left over.
//   - Streams need decode slots for their duration, plain requests slots of their
//     service.
//   - There are no faults but bursts of requests, no costs, and all zones are
//     served equally well.
//
// Each of these only helps, so that no system does better on average. The random
// variation of a day (sizes, gaps between requests) is not covered.
//
// The site files don't specify how fast an engine prefills beside its decode
// steps. Overlapped assumes the full prefill rate. Stepped and Disaggregated are
// estimates, not bounds: in Stepped each chunk of a prompt waits for a decode
// step; Disaggregated is the same without any prefill on decode engines.
package bound

import (
	"math"
	"sort"
)

// PrefillModel is a model of the speed at which engines prefill.
type PrefillModel int

// The models.
const (
	// Overlapped prefills at the full rate, beside the decode steps.
	Overlapped PrefillModel = iota
	// Stepped has each chunk wait for a decode step.
	Stepped
	// Disaggregated is Stepped on prefill engines only.
	Disaggregated
)

// Result is what can be served of a day at most. The credit of a request is what
// it is worth if it is served on time or late (see Class).
type Result struct {
	// WholeDay is the credit earned on the day over the possible credit,
	// WorstWindows that of the two worst windows, WorstClass that of the worst
	// class.
	WholeDay, WorstWindows, WorstClass float64
	// Worth is the sum of these weighted by the site's goal. WholeDay also stands
	// for the worst zone.
	Worth float64
	// Load is the mean prefill work over the engines' capacity, Peak the highest
	// of a window.
	Load, Peak float64
}

const (
	// tick is the time step of the simulation, in seconds.
	tick = 0.01
	// window is the length of a window, in seconds.
	window = 2.0
	// decodeSpeedShare and decodeChunkShare are the prefill rate and chunk size
	// of a decode engine, as shares of those of a prefill engine.
	decodeSpeedShare = 0.5
	decodeChunkShare = 0.25
)

// prefillSpeed returns the joint prefill speed of a service's engines, in tokens
// per second.
func (s Service) prefillSpeed(m PrefillModel) float64 {
	e := s.Engine
	prefills := math.Ceil(s.serverCount() * e.Prefill)
	// perMs returns an engine's speed in tokens per millisecond.
	perMs := func(rate, chunk float64) float64 {
		if m != Overlapped {
			return chunk / (e.StepMs + chunk/rate)
		}
		return rate
	}
	rate := e.PrefillTokensPerMs
	if m == Disaggregated {
		return 1000 * prefills * perMs(rate, e.Chunk)
	}
	return 1000 * (prefills*perMs(rate, e.Chunk) + (s.serverCount()-prefills)*perMs(decodeSpeedShare*rate, decodeChunkShare*e.Chunk))
}

// credit is the worth of requests: what could be earned if all were served on
// time, and what was earned.
type credit struct{ possible, earned float64 }

// ratio returns the earned part of the possible credit, 1 if none is possible.
func (t credit) ratio() float64 {
	if t.possible == 0 {
		return 1
	}
	return t.earned / t.possible
}

// fluid is the requests of one class as a fluid that waits to be served. Its
// amounts are work: prompt tokens, or slot-seconds.
type fluid struct {
	class Class
	// work is the work of a request, without that for a shared prefix.
	work float64
	// prefixWork is the work for a shared prefix when it is used first, prefixes
	// the number of prefixes to choose from, and arrived the number of requests
	// so far.
	prefixWork, prefixes, arrived float64
	// onTime and late are the waiting work that can still be served on time and
	// that is late. They are limited to what the servers can do within the latency
	// target and within the deadline.
	onTime, late float64
	total        credit
	// windows has the credit by the number of the window.
	windows map[int]credit
}

// Bound computes the bound of a day.
func (s Site) Bound(d Day, m PrefillModel) Result {
	length := d.LengthS
	if length == 0 {
		length = s.LengthS
	}
	if len(d.Traffic) == 0 {
		d.Traffic = s.Traffic
	}
	var all []*fluid
	result := Result{}
	for _, service := range s.Services {
		pools := s.pools(service, m)
		for _, p := range pools {
			p.simulate(d, length, &result)
			all = append(all, p.fluids...)
		}
	}
	return result.score(all, s.Goal, length)
}

// pool is a capacity that several classes of requests share.
type pool struct {
	fluids []*fluid
	// speed is the work that can be done per second.
	speed float64
	// prefill is set for the capacity to prefill prompts, not set for slots.
	prefill bool
}

// pools returns the capacities of a service: prefill and decode slots of
// engines, slots of plain servers.
func (s Site) pools(service Service, m PrefillModel) []*pool {
	prefills := &pool{prefill: true}
	slots := &pool{speed: service.serverCount() * float64(service.Slots)}
	if service.Engine != nil {
		prefills.speed = service.prefillSpeed(m)
		slots.speed -= math.Ceil(service.serverCount()*service.Engine.Prefill) * float64(service.Slots)
	}
	for _, c := range s.Classes {
		switch {
		case c.Service != service.Name:
		case c.Stream == nil:
			slots.fluids = append(slots.fluids, &fluid{class: c, work: c.WorkMs.Mean / 1000})
		case c.Stream.Pieces.Mean*service.Engine.Stride*service.Engine.StepMs > 1000:
			// A stream of over a second is bound by decode slots.
			hold := c.Stream.Pieces.Mean * service.Engine.Stride * service.Engine.StepMs / 1000
			slots.fluids = append(slots.fluids, &fluid{class: c, work: hold})
		default:
			f := &fluid{class: c, work: c.Stream.PromptTokens.Mean}
			for _, part := range c.Stream.Chain {
				if float64(part.Things) > f.prefixes {
					f.prefixWork, f.prefixes = part.Tokens.Mean, float64(part.Things)
				}
			}
			prefills.fluids = append(prefills.fluids, f)
		}
	}
	return []*pool{prefills, slots}
}

// simulate runs a day of length seconds. For a prefill pool it raises the load
// and the peak of result to those of the day.
func (p *pool) simulate(d Day, length float64, result *Result) {
	byWindow := map[int]float64{}
	demand := 0.0
	for at := 0.0; at < length; at += tick {
		left := p.speed * tick
		for _, f := range p.fluids {
			work := f.arrive(d, at)
			demand += work
			byWindow[int(at/window)] += work
			left = f.serve(at, left, p.speed)
		}
		for _, f := range p.fluids {
			left = f.serveLate(at, left, p.speed)
		}
	}
	if !p.prefill || p.speed == 0 {
		return
	}
	result.Load = max(result.Load, demand/(p.speed*length))
	for _, work := range byWindow {
		result.Peak = max(result.Peak, work/(p.speed*window))
	}
}

// arrive adds the requests of the tick at time at and returns their work. The
// probability that a request's prefix has not been used before falls
// exponentially with the number of requests.
func (f *fluid) arrive(d Day, at float64) float64 {
	n := d.arrivalRate(f.class.Name, at) * tick
	work := n * f.work
	if f.prefixes > 0 {
		work += n * f.prefixWork * math.Exp(-f.arrived/f.prefixes)
		f.arrived += n
	}
	f.onTime += work
	f.addCredit(at, n*f.class.Worth, 0)
	return work
}

// serve serves requests on time with the capacity left in the tick and returns
// the rest of it. Requests that would wait longer than the latency target become
// late.
func (f *fluid) serve(at, left, speed float64) float64 {
	done := min(f.onTime, left)
	f.onTime -= done
	f.addCredit(at, 0, done/f.meanWork()*f.class.Worth*f.successShare())
	if limit := speed * f.class.AimMs / 1000; f.onTime > limit {
		f.late += f.onTime - limit
		f.onTime = limit
	}
	return left - done
}

// serveLate serves late requests with the capacity left in the tick and returns
// the rest of it. Requests that would miss their deadlines are dropped.
func (f *fluid) serveLate(at, left, speed float64) float64 {
	done := min(f.late, left)
	f.late -= done
	f.addCredit(at, 0, done/f.meanWork()*f.class.LateWorth*f.successShare())
	f.late = min(f.late, speed*f.class.DeadlineMs/1000)
	return left - done
}

// meanWork returns the mean work of a request that arrives now.
func (f *fluid) meanWork() float64 {
	if f.prefixes == 0 {
		return f.work
	}
	return f.work + f.prefixWork*math.Exp(-f.arrived/f.prefixes)
}

// successShare returns the share of requests that succeed in one of their
// attempts, if backend servers fail ErrorShare of the attempts.
func (f *fluid) successShare() float64 {
	return 1 - math.Pow(f.class.ErrorShare, float64(max(f.class.Attempts, 1)))
}

// addCredit adds credit to the total and to the window of time at.
func (f *fluid) addCredit(at, possible, earned float64) {
	if f.windows == nil {
		f.windows = map[int]credit{}
	}
	w := f.windows[int(at/window)]
	w.possible, w.earned = w.possible+possible, w.earned+earned
	f.windows[int(at/window)] = w
	f.total.possible, f.total.earned = f.total.possible+possible, f.total.earned+earned
}

// score sets the credits of a result from those of all classes and weighs them by
// the goal.
func (r Result) score(all []*fluid, goal Goal, length float64) Result {
	var day credit
	r.WorstClass = 1
	windows := make([]credit, int(math.Ceil(length/window)))
	for _, f := range all {
		day.possible, day.earned = day.possible+f.total.possible, day.earned+f.total.earned
		r.WorstClass = min(r.WorstClass, f.total.ratio())
		for i, w := range f.windows {
			if i < len(windows) {
				windows[i].possible, windows[i].earned = windows[i].possible+w.possible, windows[i].earned+w.earned
			}
		}
	}
	sort.Slice(windows, func(i, k int) bool { return windows[i].ratio() < windows[k].ratio() })
	r.WholeDay, r.WorstWindows = min(day.ratio(), 1), 1
	if len(windows) > 1 {
		r.WorstWindows = min((windows[0].ratio()+windows[1].ratio())/2, 1)
	}
	r.Worth = goal.Mean*r.WholeDay + goal.Window*r.WorstWindows + goal.Class*r.WorstClass + goal.Zone*r.WholeDay
	return r
}
