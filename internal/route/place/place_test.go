package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// idle returns an engine without load.
func idle() Engine {
	return Engine{Slots: 16, Overhead: 10 * time.Millisecond, PerPrompt: 80 * time.Microsecond, Gap: 8 * time.Millisecond, PerStream: 300 * time.Microsecond, PerMove: 5 * time.Microsecond}
}

func with(change func(e *Engine)) Engine {
	e := idle()
	change(&e)
	return e
}

func TestChoose(t *testing.T) {
	request := Request{Prompt: 2000, Output: 50, FirstToken: 540 * time.Millisecond, TokenGap: 50 * time.Millisecond, Left: 10 * time.Second}
	queued := with(func(e *Engine) { e.Waiting = 9000 })
	cached := with(func(e *Engine) { e.Cached, e.Waiting = 1900, 500 })
	slow := with(func(e *Engine) { e.PerPrompt *= 3 })
	remote := with(func(e *Engine) { e.Remote = true })
	crowded := with(func(e *Engine) { e.Running, e.PerStream = 16, 4*time.Millisecond })
	prefill := with(func(e *Engine) { e.Role = spec.Prefill })
	decode := with(func(e *Engine) { e.Role = spec.Decode })
	full := with(func(e *Engine) { e.Running = 40 })
	cases := []struct {
		name            string
		engines         []Engine
		prefill, decode int
	}{
		{"no engine", nil, -1, -1},
		{"idle before queued", []Engine{queued, idle()}, 1, 1},
		{"cached before idle", []Engine{idle(), cached}, 1, 1},
		{"fast before slow", []Engine{slow, idle()}, 1, 1},
		{"local before remote", []Engine{remote, idle()}, 1, 1},
		{"remote before queued", []Engine{queued, remote}, 1, 1},
		{"idle before crowded", []Engine{crowded, idle()}, 1, 1},
		{"free slots before full", []Engine{full, idle()}, 1, 1},
		{"prefill and decode apart", []Engine{prefill, decode}, 0, 1},
		{"prefill alone cannot serve", []Engine{prefill}, -1, -1},
		{"decode alone cannot serve", []Engine{decode}, -1, -1},
		{"mixed engine instead of a prefill engine", []Engine{decode, idle()}, 1, 1},
		{"apart before queued", []Engine{queued, prefill, decode}, 1, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Choose(request, c.engines)
			assert.Equal(t, c.prefill, d.Prefill)
			assert.Equal(t, c.decode, d.Decode)
			if c.prefill >= 0 {
				assert.Positive(t, d.First)
				assert.Greater(t, d.Finish, d.First)
			}
		})
	}
}

// TestNoHerd guards against herding: many nodes with the same stale load report all
// choose the same engine. Requests must spread evenly over the two cheapest engines,
// whose costs differ by less than the uncertainty.
func TestNoHerd(t *testing.T) {
	engines := []Engine{idle(), idle(), idle(), idle()}
	for i := range engines {
		engines[i].Doubt = 100 * time.Millisecond
		engines[i].Waiting = float64(100 * i)
	}
	random := rand.New(rand.NewPCG(1, 1))
	var counts [4]int
	for range 1000 {
		d := Choose(Request{Prompt: 100, Output: 10, TokenGap: time.Second, Left: time.Minute, Random: random.Uint64()}, engines)
		counts[d.Prefill]++
	}
	assert.InDelta(t, 500, counts[0], 80)
	assert.InDelta(t, 500, counts[1], 80)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 488, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			engines := make([]Engine, n)
			for i := range engines {
				engines[i] = with(func(e *Engine) {
					e.Waiting = float64(random.IntN(5000))
					e.Running = random.IntN(16)
					e.Role = spec.Role(i % 3)
				})
			}
			request := Request{Prompt: 2000, Output: 50, FirstToken: 540 * time.Millisecond, TokenGap: 50 * time.Millisecond, Left: 10 * time.Second}
			b.ReportAllocs()
			for b.Loop() {
				request.Random = random.Uint64()
				Choose(request, engines)
			}
		})
	}
}
