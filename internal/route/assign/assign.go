// Package assign chooses the backend server for a request.
//
// Every process chooses by itself. Requests with the same prompt prefix go to the
// same preferred server, which all processes determine by rendezvous hashing. A
// server that is full or ejected is skipped; if the load of the preferred server
// outweighs the affinity, the next in the rendezvous order is chosen. Requests
// without a shared prefix go to the backend server with the lowest load. With many
// processes the load reported by peers is stale, and all processes would choose the
// same server until the next report. In that case each compares only two servers
// selected at random (power of two choices).
//
// A stream with a target for the time between its events goes to an engine that is
// predicted to meet it: the predicted gap, over the target, counts more than the load.
//
// Prompts differ too much in length for that: 64 of them may be a second's work for an
// engine or ten. Prefill places them by the predicted time to the end of the prefill,
// from the tokens ahead, those in the engine's KV cache, and its estimated times.
//
// # Usage
//
//	i := assign.Choose(candidates, assign.Request{PrefixHash: hash, Affinity: 0.5, Zone: "calicut"})
//	if i < 0 {
//		enqueue()
//	}
//
//	f := assign.Prefill(engines, assign.Query{Prompt: assign.Prompt{Own: 700, Shared: 6000}, Window: 100 * time.Millisecond})
//	if f.Index < 0 {
//		enqueue()
//	}
//
// Choose and Prefill are pure functions.
package assign

import (
	"math"
	"time"
)

// Candidate is a backend server with its load as this process estimates it.
type Candidate struct {
	// Hash is a hash of the server's ID. It must be the same in all processes.
	Hash uint64
	Zone string
	// Running is the number of requests of all processes at the server. SameWork
	// counts those of them that do the same kind of work as this request.
	Running, SameWork int
	// Slots is how many requests the server processes concurrently. Limit bounds
	// Running, SameWorkLimit bounds SameWork.
	Slots, Limit, SameWorkLimit int
	// LatencyRatio is the measured latency over the expected one; 1 is normal.
	LatencyRatio float64
	// Suspect is set after failures until a request succeeds. Meanwhile the
	// server is on probation (half-open): it gets one request of this process at
	// a time. OwnRunning counts the requests of this process at the server.
	Suspect    bool
	OwnRunning int
	// Ejected is set while the server is out of the rotation. It is then chosen
	// only if every candidate is ejected or excluded. Excluded is set if this
	// request must not be sent to the server again.
	Ejected, Excluded bool
	// LongWork is set if the server has streams that occupy it for long. It counts
	// only if Request.SpareLongWork is set.
	LongWork bool
	// Gap is the predicted time between two events of a stream at the server. It
	// counts only if Request.GapTarget is set.
	Gap time.Duration
}

// Request has the properties of a request that the choice depends on.
type Request struct {
	// PrefixHash is the hash of the prompt prefix that the request shares with
	// others; 0 if there is none.
	PrefixHash uint64
	// Affinity is the weight of the rendezvous order against load: the extra
	// load, as a fraction of a server's slots, at which on average the cost of
	// the next server in the order is the same.
	Affinity float64
	// Zone is the availability zone of this process.
	Zone string
	// Seed is a random number that selects two candidates for a request without
	// a prefix hash (power of two choices). With 0, all candidates are compared.
	Seed uint64
	// GapTarget is the target for the time between two events. If it is set, the
	// predicted gaps decide rather than the loads.
	GapTarget time.Duration
	// SpareLongWork is set if, at equal cost, a server without long work is chosen.
	SpareLongWork bool
}

// remotePenalty is the cost of a backend server in another availability zone, in
// requests.
const remotePenalty = 0.25

// Choose returns the index of the available candidate with the lowest cost, or -1 if
// there is none.
func Choose(candidates []Candidate, r Request) int {
	allEjected := true
	for _, c := range candidates {
		allEjected = allEjected && (c.Ejected || c.Excluded)
	}
	if r.GapTarget > 0 {
		return choosePaced(candidates, r, allEjected)
	}
	cutoff := math.Inf(1)
	if r.PrefixHash == 0 && r.Seed != 0 {
		cutoff = secondLowestScore(candidates, r.Seed, func(c *Candidate) bool { return c.available(allEjected) })
	}
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if !c.available(allEjected) || Score(c.Hash, r.Seed) > cutoff {
			continue
		}
		cost := cost(c, r, len(candidates))
		if cost < bestCost || r.SpareLongWork && cost == bestCost && candidates[best].LongWork && !c.LongWork {
			best, bestCost = i, cost
		}
	}
	return best
}

// available reports whether the candidate can be chosen. allEjected is whether every
// candidate is ejected or excluded.
func (c Candidate) available(allEjected bool) bool { return c.unfit(allEjected) == Fit }

// unfit returns why the candidate can't be chosen.
func (c Candidate) unfit(allEjected bool) Unfit {
	switch {
	case c.Excluded:
		return Excluded
	case c.Ejected && !allEjected:
		return Ejected
	case c.Running >= c.Limit:
		return Full
	case c.SameWork >= c.SameWorkLimit:
		return FullOfWork
	case c.Suspect && c.OwnRunning > 0:
		return Probation
	}
	return Fit
}

// secondLowestScore returns the second lowest score for seed among the candidates that
// are considered, or +Inf if there are fewer than two.
func secondLowestScore(candidates []Candidate, seed uint64, considered func(c *Candidate) bool) float64 {
	lowest, second := math.Inf(1), math.Inf(1)
	for i := range candidates {
		if !considered(&candidates[i]) {
			continue
		}
		switch score := Score(candidates[i].Hash, seed); {
		case score < lowest:
			lowest, second = score, lowest
		case score < second:
			second = score
		}
	}
	return second
}

// cost is the candidate's load, as a fraction of its slots and weighted with its
// latency ratio, plus the cost of its distance from the preferred server or of its
// zone. count is the number of candidates.
func cost(c Candidate, r Request, count int) float64 { return c.load() + distance(c, r, count) }

// load is the candidate's load as a fraction of its slots, weighted with its latency ratio.
func (c Candidate) load() float64 {
	return float64(c.Running+1) / float64(max(c.Slots, 1)) * max(c.LatencyRatio, 0.1)
}

// distance is the cost of the candidate's distance from the preferred server or of its
// zone. count is the number of candidates.
func distance(c Candidate, r Request, count int) float64 {
	if r.PrefixHash != 0 {
		// The preferred server is the candidate with the lowest score. count
		// scores uniform on [0, 1) are 1/(count+1) apart on average.
		return r.Affinity * float64(count+1) * Score(c.Hash, r.PrefixHash)
	}
	if c.Zone != r.Zone {
		return remotePenalty / float64(max(c.Slots, 1))
	}
	return 0
}

// Score returns the rendezvous score of a server and a key, a pseudo-random number
// uniform on [0, 1). The same arguments give the same score in every process.
func Score(hash, key uint64) float64 {
	x := hash ^ key*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
