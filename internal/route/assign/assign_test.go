package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// idle returns a candidate without load.
func idle(hash uint64) Candidate {
	return Candidate{Hash: hash, Zone: "calicut", Slots: 8, Limit: 8, SameLimit: 8, Slowness: 1}
}

func TestChoose(t *testing.T) {
	with := func(change func(c *Candidate)) Candidate {
		c := idle(2)
		change(&c)
		return c
	}
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"no candidate", nil, -1},
		{"one", []Candidate{idle(1)}, 0},
		{"less busy", []Candidate{with(func(c *Candidate) { c.Running = 2 }), idle(1)}, 1},
		{"full", []Candidate{with(func(c *Candidate) { c.Running = 8 })}, -1},
		{"at the limit of the same work", []Candidate{with(func(c *Candidate) { c.Same = 8 })}, -1},
		{"excluded", []Candidate{with(func(c *Candidate) { c.Excluded = true })}, -1},
		{"ejected", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Running = 7 })}, 1},
		{"all ejected", []Candidate{with(func(c *Candidate) { c.Closed = true })}, 0},
		{"ejected, the other excluded", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Excluded = true })}, 0},
		{"ejected, the other full", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Running = 8 })}, -1},
		{"suspect, probe in flight", []Candidate{with(func(c *Candidate) { c.Suspect, c.Own, c.Running = true, 1, 1 })}, -1},
		{"suspect, no probe in flight", []Candidate{with(func(c *Candidate) { c.Suspect = true })}, 0},
		{"slower", []Candidate{with(func(c *Candidate) { c.Slowness = 3 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"in another zone", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), idle(1)}, 1},
		{"in another zone, but idle", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), with(func(c *Candidate) { c.Running = 1 })}, 0},
	} {
		assert.Equal(t, c.want, Choose(c.candidates, Want{Zone: "calicut"}), c.name)
	}
}

// The choice must depend on the prefix hash only, spread evenly over the servers, and
// move only the keys of a server that is excluded.
func TestChoosePreferredServer(t *testing.T) {
	var all []Candidate
	for i := range uint64(9) {
		all = append(all, idle(i*0x9e3779b97f4a7c15+7))
	}
	counts := make([]int, len(all))
	moved := 0
	for key := uint64(1); key <= 9000; key++ {
		preferred := Choose(all, Want{Key: key, Pull: 1})
		counts[preferred]++
		rest := append([]Candidate(nil), all...)
		rest[4].Excluded = true
		if after := Choose(rest, Want{Key: key, Pull: 1}); after != preferred {
			moved++
			assert.Equal(t, 4, preferred)
		}
	}
	assert.Equal(t, counts[4], moved)
	for _, count := range counts {
		assert.InDelta(t, 1000, count, 150)
	}
}

func TestChooseLeavesLoadedPreferredServer(t *testing.T) {
	all := []Candidate{idle(1), idle(2)}
	preferred := Choose(all, Want{Key: 5, Pull: 0.1})
	all[preferred].Running = 6
	assert.NotEqual(t, preferred, Choose(all, Want{Key: 5, Pull: 0.1}))
}

// Processes with the same stale reports must spread their requests over the
// candidates: of each random pair the one with fewer requests is chosen.
func TestChooseAmongTwo(t *testing.T) {
	var all []Candidate
	for i := range uint64(6) {
		all = append(all, idle(i*0x9e3779b97f4a7c15+7))
		all[i].Running = int(i)
	}
	all = append(all, idle(99), idle(100))
	all[6].Closed, all[7].Running = true, 8
	counts := make([]int, len(all))
	for draw := uint64(1); draw <= 15000; draw++ {
		counts[Choose(all, Want{Draw: draw, Zone: "calicut"})]++
	}
	for i, want := range []int{5, 4, 3, 2, 1, 0, 0, 0} {
		assert.InDelta(t, 1000*want, counts[i], 150, "pairs in which candidate %d has the lowest load", i)
	}
	assert.Equal(t, 0, Choose(all, Want{Zone: "calicut"}), "without a seed, all are compared")
	assert.Equal(t, 0, Choose(all[6:7], Want{Draw: 3}), "all ejected")
	assert.Equal(t, -1, Choose(all[6:], Want{Draw: 3}), "ejected, the other full")
	assert.Equal(t, 0, Choose(all[:1], Want{Draw: 3}))
	assert.Equal(t, Choose(all, Want{Key: 5, Pull: 1}), Choose(all, Want{Key: 5, Pull: 1, Draw: 8}), "the seed has no effect with a prefix hash")
}
