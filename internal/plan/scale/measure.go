package scale

import "ebonyscale.example/ebonyscale/internal/fleet/roster"

// Server is one backend server with the requests that all processes have there.
type Server struct {
	AvailabilityZone string
	Role             roster.Role
	Spot, Leaving    bool
	Slots            int
	// Running is the number of requests in progress, Prefills that of those whose prefill
	// has not ended, PrefillTokens their prompt tokens.
	Running, Prefills, PrefillTokens int
	// Rate is how many tokens per second it prefills; 0 if not known.
	Rate float64
}

// Waiting is the work in the queues of all processes by the role that it waits for:
// prompt tokens for Prefill, requests for others.
type Waiting map[roster.Role]int

// Measure returns the servers of a service by zone, and their load.
func Measure(servers []Server, waiting Waiting) (map[string]Zone, Load) {
	zones, load, slots := map[string]Zone{}, Load{}, map[roster.Role]int{}
	ready, backlog := Counts{}, backlog{tokens: float64(waiting[roster.Prefill])}
	for _, s := range servers {
		z, ok := zones[s.AvailabilityZone]
		if !ok {
			z = Zone{OnDemand: Counts{}, Spot: Counts{}}
		}
		switch {
		case s.Leaving && s.Spot:
			z.SpotLeaving++
		case s.Leaving:
		case s.Spot:
			z.Spot[s.Role]++
		default:
			z.OnDemand[s.Role]++
		}
		zones[s.AvailabilityZone] = z
		// Requests at a server that leaves would be at others if it were not there.
		if s.Role == roster.Prefill {
			load[s.Role] += min(float64(max(s.Prefills, 0)), 1)
			backlog.add(s)
		} else {
			load[s.Role] += float64(max(s.Running, 0)) / float64(max(s.Slots, 1))
		}
		if !s.Leaving {
			ready[s.Role]++
			slots[s.Role] += s.Slots
		}
	}
	for role, n := range waiting {
		switch {
		case n <= 0:
		case role == roster.Prefill:
		case slots[role] > 0:
			load[role] += float64(n) * float64(ready[role]) / float64(slots[role])
		default:
			load[role] += float64(n)
		}
	}
	load[roster.Prefill] += backlog.excess(load[roster.Prefill])
	if load[roster.Prefill] == 0 && ready[roster.Prefill] == 0 {
		delete(load, roster.Prefill)
	}
	return zones, load
}

// backlog has the prompt tokens that are to be prefilled, and the engines' rates.
type backlog struct{ tokens, rates, known float64 }

// add adds the prompts and the rate of an engine.
func (b *backlog) add(s Server) {
	b.tokens += float64(max(s.PrefillTokens, 0))
	if s.Rate > 0 {
		b.rates += s.Rate
		b.known++
	}
}

// excess returns the engines that are needed beside the busy ones to prefill the backlog
// within backlogTarget; 0 if no rate is known.
func (b *backlog) excess(busy float64) float64 {
	if b.known == 0 {
		return 0
	}
	engines := b.tokens / (b.rates / b.known) / backlogTarget.Seconds()
	return max(engines-busy, 0)
}
