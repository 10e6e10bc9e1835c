package assign

import (
	"cmp"
	"slices"
)

const (
	// minForReserve is the number of decode engines from which on some are reserved. With
	// fewer a single one is too large a part of the fleet.
	minForReserve = 12
	// reserveShare is the share of the decode engines that is reserved.
	reserveShare = 1.0 / 6
	// reserveCost is the extra cost of an engine on the wrong side of the reservation, as a
	// fraction of its slots: the other side takes work only once this one is well loaded.
	reserveCost = 0.5
)

// Reservable is a decode engine that may be reserved.
type Reservable struct {
	// Hash is a hash of the engine's ID.
	Hash uint64
	Zone string
}

// Reserve returns which decode engines are reserved for streams of many events, so that
// these are not interrupted by local prefills. It answers a load of long prompts beside
// short prompts with long outputs: an engine that prefills pauses all its streams, and a
// stream that began early is late then by the pauses between its events.
//
// The zones are reserved from in turn, so that a zone that is cut off has its part. Processes
// with the same engines get the same result.
func Reserve(engines []Reservable) []bool {
	reserved := make([]bool, len(engines))
	if len(engines) < minForReserve {
		return reserved
	}
	order := make([]int, len(engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(engines[a].Hash, engines[b].Hash) })
	rank, seen := make([]int, len(engines)), map[string]int{}
	for _, i := range order {
		rank[i] = seen[engines[i].Zone]
		seen[engines[i].Zone]++
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
	for _, i := range order[:int(reserveShare*float64(len(engines)))] {
		reserved[i] = true
	}
	return reserved
}
