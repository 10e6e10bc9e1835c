package assign

import (
	"math"
	"slices"
	"time"
)

const (
	// equalGaps is the ratio up to which predicted gaps count as equal. They are means of
	// samples that vary more than that.
	equalGaps = 1.1
	// pacedLoadWeight is the weight of the load beside the gap over its target. The gap has
	// the effect of the load in it already.
	pacedLoadWeight = 0.1
	// stackGaps is the number of candidates up to which the comparison allocates nothing.
	stackGaps = 128
)

// choosePaced is Choose for a stream with a target for the time between two events.
//
// Many processes choose from the same predictions, so that all of them would send their
// streams to the same engine until its gaps are longer. Each compares two random candidates
// of the better half by predicted gap instead.
func choosePaced(candidates []Candidate, r Request, allEjected bool) int {
	longest, cutoff := time.Duration(math.MaxInt64), math.Inf(1)
	if r.PrefixHash == 0 && r.Seed != 0 {
		longest = betterHalf(candidates, allEjected)
		cutoff = secondLowestScore(candidates, r.Seed, func(c *Candidate) bool { return c.available(allEjected) && c.Gap <= longest })
	}
	considered := func(c *Candidate) bool {
		return c.available(allEjected) && c.Gap <= longest && Score(c.Hash, r.Seed) <= cutoff
	}
	lowest := time.Duration(math.MaxInt64)
	for i := range candidates {
		if c := &candidates[i]; c.Gap < lowest && considered(c) {
			lowest = c.Gap
		}
	}
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if !considered(c) {
			continue
		}
		gap := c.Gap
		if gap <= equal(lowest) {
			gap = lowest
		}
		cost := float64(gap)/float64(r.GapTarget) + pacedLoadWeight*c.load() + distance(*c, r, len(candidates))
		if cost < bestCost || cost == bestCost && r.Seed != 0 && Score(c.Hash, r.Seed) < Score(candidates[best].Hash, r.Seed) {
			best, bestCost = i, cost
		}
	}
	return best
}

// equal returns the longest gap that counts as equal to a shorter one.
func equal(gap time.Duration) time.Duration { return time.Duration(equalGaps * float64(gap)) }

// betterHalf returns the longest predicted gap of the better half of the available
// candidates. Taking in those whose gaps count as equal to it would include too many of the
// slower ones: the estimates of engines with the same speed differ by more than that.
func betterHalf(candidates []Candidate, allEjected bool) time.Duration {
	var stack [stackGaps]time.Duration
	gaps := stack[:0]
	for i := range candidates {
		if candidates[i].available(allEjected) {
			gaps = append(gaps, candidates[i].Gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}
