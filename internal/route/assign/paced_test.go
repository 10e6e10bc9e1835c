package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// paced returns candidates with predicted gaps in milliseconds.
func paced(gaps ...int) []Candidate {
	var list []Candidate
	for i, gap := range gaps {
		c := idle(uint64(i+1) * 0x9e3779b97f4a7c15)
		c.Gap = time.Duration(gap) * time.Millisecond
		list = append(list, c)
	}
	return list
}

// TestChoosePaced guards against streams at slow engines while there are faster ones, and
// against streams that are not served because of a prediction.
func TestChoosePaced(t *testing.T) {
	r := Request{Zone: "calicut", GapTarget: 150 * time.Millisecond}
	busy := paced(80, 84)
	busy[0].Running = 1
	busier := paced(80, 160)
	busier[0].Running = 6
	remote := paced(80, 80)
	remote[0].Zone = "trivandrum"
	full := paced(80, 90_000)
	full[0].Running = 8
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"the lowest gap", paced(120, 80, 160), 1},
		{"equal within 10 %, less busy", busy, 1},
		{"the gap counts more than the load", busier, 0},
		{"equal, in this zone", remote, 1},
		{"the only available one", full, 1},
		{"none", nil, -1},
	} {
		assert.Equal(t, c.want, Choose(c.candidates, r), c.name)
	}
	counts := map[int]int{}
	for seed := range uint64(1000) {
		r.Seed = seed + 1
		counts[Choose(paced(160, 80, 150, 81, 140, 82), r)]++
	}
	assert.Len(t, counts, 3, "two random ones of the better half")
	for _, i := range []int{1, 3, 5} {
		assert.Greater(t, counts[i], 200)
	}
}

// TestShortRequestsSpareLongWork guards against more than a tie-break for short requests.
func TestShortRequestsSpareLongWork(t *testing.T) {
	list := []Candidate{idle(1), idle(2)}
	list[0].LongWork = true
	assert.Equal(t, 0, Choose(list, Request{Zone: "calicut"}))
	assert.Equal(t, 1, Choose(list, Request{Zone: "calicut", SpareLongWork: true}))
	list[1].Running = 1
	assert.Equal(t, 0, Choose(list, Request{Zone: "calicut", SpareLongWork: true}))
}

// TestPrefillSparesLongWork guards against prefills that miss their own target, or wait, for
// the sake of a stream.
func TestPrefillSparesLongWork(t *testing.T) {
	engine := func(rate float64, long bool) Engine { return Engine{Times: Times{Rate: rate}, LongWork: long} }
	q := Query{Prompt: Prompt{Own: 1000}, Window: time.Second}
	full := engine(10e3, false)
	full.Full = true
	for _, c := range []struct {
		name    string
		engines []Engine
		spare   time.Duration
		want    int
	}{
		{"in time elsewhere", []Engine{engine(20e3, true), engine(10e3, false)}, 100 * time.Millisecond, 1},
		{"late elsewhere", []Engine{engine(20e3, true), engine(10e3, false)}, 99 * time.Millisecond, 0},
		{"late anyway", []Engine{engine(20e3, true), engine(10e3, false)}, -time.Second, 0},
		{"not to be spared", []Engine{engine(20e3, true), engine(10e3, false)}, 0, 0},
		{"full elsewhere", []Engine{engine(20e3, true), full}, time.Second, 0},
		{"nothing known", []Engine{engine(0, true), engine(0, false)}, time.Second, 0},
		{"the best of the others", []Engine{engine(20e3, true), engine(10e3, false), engine(15e3, false)}, time.Second, 2},
	} {
		q.Spare = c.spare
		assert.Equal(t, c.want, Prefill(c.engines, q).Index, c.name)
	}
}

func BenchmarkChoosePaced(b *testing.B) {
	list := paced(80, 160, 90, 85)
	for len(list) < 34 {
		c := list[len(list)%4]
		c.Hash *= uint64(len(list))
		list = append(list, c)
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(list, Request{Zone: "calicut", GapTarget: 150 * time.Millisecond, Seed: 7})
	}
}
