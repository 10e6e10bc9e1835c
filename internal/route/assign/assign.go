// Package assign chooses the backend server for a request.
//
// Every process chooses by itself. Requests that share the beginning of their
// prompts go to the same engine, its home, which all processes compute alike
// by rendezvous hashing; an engine that is full or suspect is passed over for
// the next one in the order. Requests that share nothing go to the backend
// server with the most free places. What is known of the others' requests is
// old where there are many processes, and all would choose the same one until
// they learn better; they choose among two drawn at random then.
//
// # Usage
//
//	i := assign.Choose(candidates, assign.Want{Key: key, Zone: "calicut"})
//	if i < 0 {
//		wait()
//	}
//
// Choose is pure.
package assign

import "math"

// Candidate is a backend server as this process sees it.
type Candidate struct {
	// Hash is a hash of its name.
	Hash uint64
	Zone string
	// Running counts the requests that all processes have there, Same those of
	// them that do the same kind of work.
	Running, Same int
	// Slots is how many requests it works on at once, Limit how many may be
	// there, and SameLimit how many of these may do the same kind of work.
	Slots, Limit, SameLimit int
	// Slowness is the time that it takes in relation to its kind; 1 is usual.
	Slowness float64
	// Suspect is set if it has failed and not yet answered in order: it is
	// tried with one request of this process at a time, Own being those.
	Suspect bool
	Own     int
	// Closed is set while it should be left alone; it is taken only if all are
	// closed. Excluded is set if the request must not go there again.
	Closed, Excluded bool
}

// Want is what a request asks for.
type Want struct {
	// Key is a hash of what the request shares with others; 0 if it shares
	// nothing.
	Key uint64
	// Pull weighs the order of homes against load: it is the load, in shares of
	// a backend server's slots, that makes the next in the order as good.
	Pull float64
	// Zone is the availability zone of this process.
	Zone string
	// Draw is a number at random if a request without a Key is to choose among
	// two candidates, 0 if among all.
	Draw uint64
}

// remotePenalty is what a backend server in another availability zone costs, in
// places.
const remotePenalty = 0.25

// Choose returns the index of the best candidate that has a free place, or -1.
func Choose(candidates []Candidate, want Want) int {
	closed := true
	for _, c := range candidates {
		closed = closed && (c.Closed || c.Excluded)
	}
	two := math.Inf(1)
	if want.Key == 0 && want.Draw != 0 {
		two = secondLowestScore(candidates, closed, want.Draw)
	}
	best, bestCost := -1, math.Inf(1)
	for i, c := range candidates {
		if !c.available(closed) || Draw(c.Hash, want.Draw) > two {
			continue
		}
		if cost := cost(c, want, len(candidates)); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// available reports whether the candidate can be chosen; closed that all are closed.
func (c Candidate) available(closed bool) bool {
	return !c.Excluded && c.Running < c.Limit && c.Same < c.SameLimit && (!c.Closed || closed) && (!c.Suspect || c.Own == 0)
}

// secondLowestScore is the second least draw of the candidates that are free.
func secondLowestScore(candidates []Candidate, closed bool, draw uint64) float64 {
	one, two := math.Inf(1), math.Inf(1)
	for _, c := range candidates {
		if !c.available(closed) {
			continue
		}
		switch d := Draw(c.Hash, draw); {
		case d < one:
			one, two = d, one
		case d < two:
			two = d
		}
	}
	return two
}

func cost(c Candidate, want Want, count int) float64 {
	load := float64(c.Running+1) / float64(max(c.Slots, 1)) * max(c.Slowness, 0.1)
	if want.Key != 0 {
		// The home is the candidate with the least draw; draws spread evenly
		// over 0 to 1.
		// Of count draws from 0 to 1, neighbors are 1/(count+1) apart.
		return load + want.Pull*float64(count+1)*Draw(c.Hash, want.Key)
	}
	if c.Zone != want.Zone {
		load += remotePenalty / float64(max(c.Slots, 1))
	}
	return load
}

// Draw is the candidate's number for the key, from 0 to 1.
func Draw(hash, key uint64) float64 {
	x := hash ^ key*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
