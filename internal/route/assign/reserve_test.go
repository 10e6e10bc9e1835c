package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// fleetOf returns engines in three zones, with hashes of their number.
func fleetOf(count int) []Reservable {
	engines := make([]Reservable, count)
	for i := range engines {
		engines[i] = Reservable{Hash: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: []string{"a", "b", "c"}[i%3]}
	}
	return engines
}

func TestReserveLeavesSmallFleetsAlone(t *testing.T) {
	assert.NotContains(t, Reserve(fleetOf(minForReserve-1)), true)
	assert.Empty(t, Reserve(nil))
}

// A zone that is cut off must have engines for its streams, and processes that list the
// engines in another order must reserve the same ones.
func TestReserveIsTheSameEverywhereAndInEachZone(t *testing.T) {
	engines := fleetOf(34)
	zones, hashes := map[string]int{}, map[uint64]bool{}
	for i, reserved := range Reserve(engines) {
		if reserved {
			zones[engines[i].Zone]++
			hashes[engines[i].Hash] = true
		}
	}
	assert.Equal(t, map[string]int{"a": 2, "b": 2, "c": 1}, zones)
	for i, k := 0, len(engines)-1; i < k; i, k = i+1, k-1 {
		engines[i], engines[k] = engines[k], engines[i]
	}
	for i, reserved := range Reserve(engines) {
		assert.Equal(t, hashes[engines[i].Hash], reserved)
	}
}

// A stream of many events must begin at a reserved engine until that is half loaded, other
// work elsewhere.
func TestChooseKeepsToTheReservation(t *testing.T) {
	all := []Candidate{idle(1), idle(2)}
	all[0].Reserved = true
	assert.Equal(t, 0, Choose(all, Request{Paced: true, Zone: "calicut"}))
	assert.Equal(t, 1, Choose(all, Request{Zone: "calicut"}))
	all[0].Running = 5
	assert.Equal(t, 1, Choose(all, Request{Paced: true, Zone: "calicut"}), "spills over")
}
