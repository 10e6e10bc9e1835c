package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// idle returns a candidate without load.
func idle(hash uint64) Candidate {
	return Candidate{Hash: hash, Zone: "calicut", Slots: 8, Limit: 8, SameWorkLimit: 8, LatencyRatio: 1}
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
		{"at the limit of the same work", []Candidate{with(func(c *Candidate) { c.SameWork = 8 })}, -1},
		{"excluded", []Candidate{with(func(c *Candidate) { c.Excluded = true })}, -1},
		{"ejected", []Candidate{with(func(c *Candidate) { c.Ejected = true }), with(func(c *Candidate) { c.Running = 7 })}, 1},
		{"all ejected", []Candidate{with(func(c *Candidate) { c.Ejected = true })}, 0},
		{"ejected, the other excluded", []Candidate{with(func(c *Candidate) { c.Ejected = true }), with(func(c *Candidate) { c.Excluded = true })}, 0},
		{"ejected, the other full", []Candidate{with(func(c *Candidate) { c.Ejected = true }), with(func(c *Candidate) { c.Running = 8 })}, -1},
		{"suspect, probe in flight", []Candidate{with(func(c *Candidate) { c.Suspect, c.OwnRunning, c.Running = true, 1, 1 })}, -1},
		{"suspect, no probe in flight", []Candidate{with(func(c *Candidate) { c.Suspect = true })}, 0},
		{"slower", []Candidate{with(func(c *Candidate) { c.LatencyRatio = 3 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"in another zone", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), idle(1)}, 1},
		{"in another zone, but idle", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), with(func(c *Candidate) { c.Running = 1 })}, 0},
	} {
		assert.Equal(t, c.want, Choose(c.candidates, Request{Zone: "calicut"}), c.name)
	}
}

// Without load, the choice must depend on the prefix hash only and spread evenly over
// the servers. If a server is excluded, only its keys may move.
func TestChoosePreferredServer(t *testing.T) {
	var all []Candidate
	for i := range uint64(9) {
		all = append(all, idle(i*0x9e3779b97f4a7c15+7))
	}
	counts := make([]int, len(all))
	moved := 0
	for key := uint64(1); key <= 9000; key++ {
		preferred := Choose(all, Request{PrefixHash: key, Affinity: 1})
		counts[preferred]++
		rest := append([]Candidate(nil), all...)
		rest[4].Excluded = true
		if after := Choose(rest, Request{PrefixHash: key, Affinity: 1}); after != preferred {
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
	preferred := Choose(all, Request{PrefixHash: 5, Affinity: 0.1})
	all[preferred].Running = 6
	assert.NotEqual(t, preferred, Choose(all, Request{PrefixHash: 5, Affinity: 0.1}))
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
	all[6].Ejected, all[7].Running = true, 8
	counts := make([]int, len(all))
	for seed := uint64(1); seed <= 15000; seed++ {
		counts[Choose(all, Request{Seed: seed, Zone: "calicut"})]++
	}
	for i, want := range []int{5, 4, 3, 2, 1, 0, 0, 0} {
		assert.InDelta(t, 1000*want, counts[i], 150, "pairs in which candidate %d has the lowest load", i)
	}
	assert.Equal(t, 0, Choose(all, Request{Zone: "calicut"}), "without a seed, all are compared")
	assert.Equal(t, 0, Choose(all[6:7], Request{Seed: 3}), "all ejected")
	assert.Equal(t, -1, Choose(all[6:], Request{Seed: 3}), "ejected, the other full")
	assert.Equal(t, 0, Choose(all[:1], Request{Seed: 3}))
	assert.Equal(t, Choose(all, Request{PrefixHash: 5, Affinity: 1}), Choose(all, Request{PrefixHash: 5, Affinity: 1, Seed: 8}), "the seed has no effect with a prefix hash")
}
