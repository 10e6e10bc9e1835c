package scale

import (
	"maps"
	"math"
	"slices"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// need is the number of servers of each role that is needed; it may be a fraction.
type need map[roster.Role]float64

// needs has what a service needs, by role.
type needs struct {
	// now and mean are the loads themselves.
	now, mean need
	// peak is what carries the highest load of the horizon and bursts of the mean load,
	// steady the latter alone.
	peak, steady need
	// base is the on-demand part; it is raised to it when it is below limit, or, with the
	// roles that on-demand servers happen to have, below roles.
	base, limit, roles need
	// fallback is the least capacity for the present load without spot servers to order; it
	// is raised to it when it is below fallbackLimit.
	fallback, fallbackLimit need
	// reclaim is the least capacity after a reclaim while no spot servers can be ordered, and
	// while on-demand servers leave for spot servers.
	reclaim need
	// loss is the least capacity without the spot servers of one zone, safe that after the
	// servers that leave in one step.
	loss, safe need
}

// needs returns what the service needs for the loads of the roles.
func (v *service) needs(roles []roster.Role) needs {
	n := needs{
		now: need{}, mean: need{}, peak: need{}, steady: need{}, base: need{}, limit: need{}, roles: need{},
		fallback: need{}, fallbackLimit: need{}, reclaim: need{}, loss: need{}, safe: need{},
	}
	for _, r := range roles {
		now, mean := v.history.now(r), v.history.mean[r]
		n.now[r], n.mean[r] = now, mean
		n.steady[r] = max(mean*burstFactor/burstUtilisation, minPerRole)
		n.peak[r] = max(v.history.peak(r)/peakUtilisation, n.steady[r])
		n.base[r] = max(mean/baseUtilisation, n.steady[r]*onDemandShare, minPerRole)
		n.limit[r] = max(mean/baseLimit, minPerRole)
		n.roles[r] = max(mean/roleLimit, 1)
		n.fallback[r] = max(now, mean) / fallbackUtilisation
		n.fallbackLimit[r] = max(now, mean) / fallbackLimit
		n.reclaim[r] = mean * burstFactor / reclaimUtilisation
		n.loss[r] = now / lossUtilisation
		n.safe[r] = max(now/safeUtilisation, 1)
	}
	return n
}

// with returns the larger of both numbers of each role.
func (n need) with(o need) need {
	sum := maps.Clone(n)
	for role, least := range o {
		sum[role] = max(sum[role], least)
	}
	return sum
}

// met reports whether a capacity is enough.
func (n need) met(capacity func(roster.Role) float64) bool {
	const rounding = 1e-6
	for role, least := range n {
		if capacity(role) < least-rounding {
			return false
		}
	}
	return true
}

// fleet has the ready servers of one kind and the expected shares of the roles of new
// ones.
type fleet struct {
	ready Counts
	share need
}

// expect returns the expected servers of a role if the number of all is n. Those that
// leave are expected to have the roles of all.
func (f fleet) expect(role roster.Role, n int) float64 {
	total := f.ready.total()
	have := float64(f.ready[role])
	if n >= total {
		return have + float64(n-total)*f.share[role]
	}
	return have * float64(n) / float64(total)
}

// likely returns how many of n new servers have a role at least, within one standard
// deviation, if each has it with the probability share.
func likely(share float64, n int) float64 {
	expected := share * float64(n)
	return max(expected-math.Sqrt(expected*(1-share)), 0)
}

// smallest returns the smallest number from low on up to high for which enough holds, high
// if it holds for none.
func smallest(low, high int, enough func(n int) bool) int {
	for n := low; n < high; n++ {
		if enough(n) {
			return n
		}
	}
	return max(low, high)
}

// roles returns the roles in use: those of servers and those that have load.
func (v *service) roles() []roster.Role {
	used := map[roster.Role]bool{}
	for _, z := range v.Zones {
		for _, counts := range []Counts{z.OnDemand, z.Spot} {
			for role, n := range counts {
				used[role] = used[role] || n > 0
			}
		}
	}
	for role, load := range v.history.mean {
		used[role] = used[role] || load > 0
	}
	maps.DeleteFunc(used, func(_ roster.Role, in bool) bool { return !in })
	return slices.Sorted(maps.Keys(used))
}

// shares returns the expected shares of the roles among new servers: those of the
// servers first seen and of a prior. They are not updated by the servers that came since:
// if few of these have a role by chance, it will not be rarer among the next.
func (v *service) shares(roles []roster.Role) need {
	if len(v.share) == len(roles) {
		return v.share
	}
	counts := Counts{}
	for _, z := range v.Zones {
		counts.add(z.OnDemand)
		counts.add(z.Spot)
	}
	prior := map[roster.Role]float64{roster.Prefill: prefillShare, roster.Decode: 1 - prefillShare}
	sum, total := need{}, 0.0
	for _, r := range roles {
		expected, known := prior[r]
		if !known {
			expected = 1
		}
		sum[r] = float64(counts[r]) + expected*priorServers
		total += sum[r]
	}
	for r := range sum {
		sum[r] /= total
	}
	v.share = sum
	return sum
}

// add adds the counts of o.
func (c Counts) add(o Counts) {
	for role, n := range o {
		c[role] += n
	}
}
