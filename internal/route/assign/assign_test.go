package assign

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func free(hash uint64) Candidate {
	return Candidate{Hash: hash, Zone: "calicut", Slots: 8, Limit: 8, SameLimit: 8, Slowness: 1}
}

func TestChoose(t *testing.T) {
	with := func(change func(c *Candidate)) Candidate {
		c := free(2)
		change(&c)
		return c
	}
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"nobody", nil, -1},
		{"one", []Candidate{free(1)}, 0},
		{"less busy", []Candidate{with(func(c *Candidate) { c.Running = 2 }), free(1)}, 1},
		{"full", []Candidate{with(func(c *Candidate) { c.Running = 8 })}, -1},
		{"full of the same work", []Candidate{with(func(c *Candidate) { c.Same = 8 })}, -1},
		{"excluded", []Candidate{with(func(c *Candidate) { c.Excluded = true })}, -1},
		{"closed", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Running = 7 })}, 1},
		{"all closed", []Candidate{with(func(c *Candidate) { c.Closed = true })}, 0},
		{"closed, the other excluded", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Excluded = true })}, 0},
		{"closed, the other full", []Candidate{with(func(c *Candidate) { c.Closed = true }), with(func(c *Candidate) { c.Running = 8 })}, -1},
		{"suspect, being tried", []Candidate{with(func(c *Candidate) { c.Suspect, c.Own, c.Running = true, 1, 1 })}, -1},
		{"suspect, to be tried", []Candidate{with(func(c *Candidate) { c.Suspect = true })}, 0},
		{"slower", []Candidate{with(func(c *Candidate) { c.Slowness = 3 }), with(func(c *Candidate) { c.Running = 1 })}, 1},
		{"in another zone", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), free(1)}, 1},
		{"in another zone, but idle", []Candidate{with(func(c *Candidate) { c.Zone = "trivandrum" }), with(func(c *Candidate) { c.Running = 1 })}, 0},
	} {
		assert.Equal(t, c.want, Choose(c.candidates, Want{Zone: "calicut"}), c.name)
	}
}

// All processes find the same home, and a home that goes moves its own keys
// only.
func TestChooseHome(t *testing.T) {
	var all []Candidate
	for i := range uint64(9) {
		all = append(all, free(i*0x9e3779b97f4a7c15+7))
	}
	counts := make([]int, len(all))
	moved := 0
	for key := uint64(1); key <= 9000; key++ {
		home := Choose(all, Want{Key: key, Pull: 1})
		counts[home]++
		left := append([]Candidate(nil), all...)
		left[4].Excluded = true
		if after := Choose(left, Want{Key: key, Pull: 1}); after != home {
			moved++
			assert.Equal(t, 4, home)
		}
	}
	assert.Equal(t, counts[4], moved)
	for _, count := range counts {
		assert.InDelta(t, 1000, count, 150)
	}
}

func TestChooseLeavesABusyHome(t *testing.T) {
	all := []Candidate{free(1), free(2)}
	home := Choose(all, Want{Key: 5, Pull: 0.1})
	all[home].Running = 6
	assert.NotEqual(t, home, Choose(all, Want{Key: 5, Pull: 0.1}))
}

// Processes with the same old news spread over the candidates, and prefer those
// with fewer requests.
func TestChooseAmongTwo(t *testing.T) {
	var all []Candidate
	for i := range uint64(6) {
		all = append(all, free(i*0x9e3779b97f4a7c15+7))
		all[i].Running = int(i)
	}
	all = append(all, free(99), free(100))
	all[6].Closed, all[7].Running = true, 8
	counts := make([]int, len(all))
	for draw := uint64(1); draw <= 15000; draw++ {
		counts[Choose(all, Want{Draw: draw, Zone: "calicut"})]++
	}
	for i, want := range []int{5, 4, 3, 2, 1, 0, 0, 0} {
		assert.InDelta(t, 1000*want, counts[i], 150, "the pairs in which %d has fewest", i)
	}
	assert.Equal(t, 0, Choose(all, Want{Zone: "calicut"}), "without a draw the best")
	assert.Equal(t, 0, Choose(all[6:7], Want{Draw: 3}), "all closed")
	assert.Equal(t, -1, Choose(all[6:], Want{Draw: 3}), "closed, the other full")
	assert.Equal(t, 0, Choose(all[:1], Want{Draw: 3}))
	assert.Equal(t, Choose(all, Want{Key: 5, Pull: 1}), Choose(all, Want{Key: 5, Pull: 1, Draw: 8}), "homes are not drawn")
}
