package shed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// waitingWork returns a request that has to start within 100 ms, and is of use for 500 ms.
func waitingWork(now time.Time, priority int, tokens float64) *Work {
	return &Work{Priority: priority, Tokens: tokens, Units: max(tokens, 1), StartBy: now.Add(100 * time.Millisecond), Latest: now.Add(500 * time.Millisecond)}
}

// TestPriorityComesBeforeAllElse guards against requests that are preferred to more urgent
// ones for their work, their account or a retry, and against useless ones that are kept.
func TestPriorityComesBeforeAllElse(t *testing.T) {
	now := time.Unix(100, 0)
	random := rand.New(rand.NewPCG(1, 2))
	draw := func(priority int) *Work {
		w := waitingWork(now, priority, random.Float64()*40000)
		w.Over, w.Returning, w.Late, w.Floor = random.Float64()*1000, random.IntN(2) == 0, random.IntN(2) == 0, Floor(random.IntN(2))
		return w
	}
	for range 10000 {
		p := random.IntN(maxPriority)
		urgent, other := draw(p), draw(p+1)
		assert.Greater(t, Rank(urgent, now), Rank(other, now), "%+v, %+v", urgent, other)
		other.Floor = AboveAll
		assert.Less(t, Rank(urgent, now), Rank(other, now))
		assert.Zero(t, Rank(urgent, now.Add(time.Second)))
	}
}

// TestRankAmongEquals guards against a wrong order of requests of one priority.
func TestRankAmongEquals(t *testing.T) {
	now := time.Unix(100, 0)
	change := func(do func(w *Work)) float64 {
		w := waitingWork(now, 1, 3000)
		do(w)
		return Rank(w, now)
	}
	plain := change(func(*Work) {})
	assert.Greater(t, plain, change(func(w *Work) { w.Tokens = 9000 }), "less work first")
	assert.InDelta(t, plain, change(func(w *Work) { w.Tokens = 3100 }), 0, "small differences don't matter")
	assert.Greater(t, plain, change(func(w *Work) { w.Over, w.Tokens = 1.1, 1 }), "the account with the lowest use first")
	late := change(func(w *Work) { w.Late = true })
	assert.Greater(t, plain, late)
	assert.Positive(t, late)
	assert.Greater(t, change(func(w *Work) { w.Returning = true }), late, "a request that returns before another late one")
	assert.Less(t, plain, change(func(w *Work) { w.Floor, w.Tokens, w.Over = AmongEquals, 40000, 50 }))
}

// TestChoose guards against the rejection of requests that would start in time, and of those
// that have begun.
func TestChoose(t *testing.T) {
	now := time.Unix(100, 0)
	waiting := make([]*Work, 100)
	for i := range waiting {
		waiting[i] = waitingWork(now, 1, 1000)
	}
	waiting[70].Begun = true
	room := Room{Rate: 100e3}
	assert.Len(t, Choose(now, waiting, room, nil), 49, "50 start in time, and the one that has begun")
	assert.False(t, waiting[9].Late)
	assert.True(t, waiting[10].Late, "ten start on time")
	room.Arriving[1] = 200e3
	assert.Len(t, Choose(now, waiting, room, nil), 89, "those that come later leave nothing to late ones")
	room.Arriving[0] = 200e3
	assert.Len(t, Choose(now, waiting, room, nil), 94, "a tenth of the rate is left to those of a lower priority")
	assert.Empty(t, Choose(now, waiting[:10], Room{Rate: 100e3}, nil))
}

// TestReturns guards against retries that aren't known, and against unbounded memory.
func TestReturns(t *testing.T) {
	var r Returns
	now := time.Unix(100, 0)
	for i := range uint64(3 * maxReturns) {
		r.Rejected(now, i, time.Second)
	}
	assert.Len(t, r.until, maxReturns)
	assert.True(t, r.Returned(now.Add(2*time.Second), 3*maxReturns-1))
	assert.False(t, r.Returned(now.Add(3*time.Second), 3*maxReturns-1), "too late")
	assert.False(t, r.Returned(now, 1))
}

// TestRetryAfter guards against retries that come together, or later than clients wait.
func TestRetryAfter(t *testing.T) {
	for _, left := range []time.Duration{-1, 20 * time.Millisecond, 2 * time.Second, 15 * time.Second} {
		for _, wait := range []time.Duration{0, 300 * time.Millisecond, time.Minute} {
			shortest, longest := time.Hour, time.Duration(0)
			for i := range uint64(1000) {
				after := RetryAfter(wait, left, i*0x9e3779b97f4a7c15)
				shortest, longest = min(shortest, after), max(longest, after)
			}
			assert.Positive(t, shortest)
			if left > 0 {
				assert.Less(t, longest, left/3)
				assert.Greater(t, longest, shortest*3/2, "spread")
			}
		}
	}
}

func BenchmarkRank(b *testing.B) {
	now := time.Unix(100, 0)
	w := waitingWork(now, 1, 3000)
	w.Account, w.Target = "a", time.Second
	var s Stage
	m := s.Arrive(now, w)
	s.Serve(now, w, m)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.Assess(now, w, m)
		_ = Rank(w, now)
	}
}
