package assign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// engine returns an idle engine that takes 20 ms and 10 us a token.
func engine(key uint64) Engine {
	return Engine{Key: key, Hash: key, Times: Times{Base: 20 * time.Millisecond, Rate: 100e3}}
}

func TestPrefill(t *testing.T) {
	with := func(change func(e *Engine)) Engine {
		e := engine(2)
		change(&e)
		return e
	}
	busy := func(tokens int, progress time.Duration) Engine {
		return with(func(e *Engine) { e.Backlog, e.Prefills, e.Progress = tokens, 1, progress })
	}
	query := Query{Prompt: Prompt{Own: 1000, Shared: 3000}, Window: 100 * time.Millisecond}
	for _, c := range []struct {
		name    string
		engines []Engine
		change  func(q *Query)
		want    int
		finish  time.Duration
	}{
		{"no engine", nil, nil, -1, 0},
		{"idle", []Engine{engine(1)}, nil, 0, 60 * time.Millisecond},
		{"keeps the prefix", []Engine{engine(1), with(func(e *Engine) { e.Cached = 3000 })}, nil, 1, 30 * time.Millisecond},
		{"keeps more than the prefix", []Engine{with(func(e *Engine) { e.Cached = 9000 })}, nil, 0, 30 * time.Millisecond},
		{"fetches the prefix", []Engine{engine(1)}, func(q *Query) { q.Fetchable = 3000 }, 0, 37500 * time.Microsecond},
		{"keeps it, but is busy", []Engine{engine(1), with(func(e *Engine) { e.Cached, e.Backlog, e.Prefills = 3000, 5000, 1 })}, nil, 0, 60 * time.Millisecond},
		{"faster", []Engine{engine(1), with(func(e *Engine) { e.Rate = 400e3 })}, nil, 1, 30 * time.Millisecond},
		{"behind a slow link", []Engine{with(func(e *Engine) { e.Rate, e.Delay = 400e3, time.Second }), engine(1)}, nil, 1, 60 * time.Millisecond},
		{"busy within the window", []Engine{busy(8000, 0)}, nil, 0, 160 * time.Millisecond},
		{"busy beyond the window", []Engine{busy(8001, 0)}, nil, -1, 0},
		{"has made progress", []Engine{busy(12000, 40*time.Millisecond)}, nil, 0, 160 * time.Millisecond},
		{"progress is at most half", []Engine{busy(20000, time.Hour)}, nil, -1, 0},
		{"idle, beyond the window by itself", []Engine{engine(1)}, func(q *Query) { q.Own = 1_000_000 }, 0, 10050 * time.Millisecond},
		{"longer than the bound", []Engine{engine(1)}, func(q *Query) { q.Longest = 59 * time.Millisecond }, -1, 0},
		{"as long as the bound", []Engine{engine(1)}, func(q *Query) { q.Longest = 60 * time.Millisecond }, 0, 60 * time.Millisecond},
		{"full", []Engine{with(func(e *Engine) { e.Full = true })}, nil, -1, 0},
		{"excluded", []Engine{with(func(e *Engine) { e.Excluded = true })}, nil, -1, 0},
		{"ejected", []Engine{with(func(e *Engine) { e.Ejected, e.Cached = true, 3000 }), engine(1)}, nil, 1, 60 * time.Millisecond},
		{"all ejected", []Engine{with(func(e *Engine) { e.Ejected = true })}, nil, 0, 60 * time.Millisecond},
		{"suspect, probe in flight", []Engine{with(func(e *Engine) { e.Suspect, e.OwnRunning = true, 1 })}, nil, -1, 0},
		{"unknown", []Engine{{}}, nil, 0, 0},
		{"unknown and busy", []Engine{{Prefills: 1, Backlog: 10}}, nil, -1, 0},
		{"unknown, the others known", []Engine{{Prefills: 1}}, func(q *Query) { q.Average = engine(1).Times }, 0, 80 * time.Millisecond},
		{"stale, the others known", []Engine{with(func(e *Engine) { e.Rate, e.Stale = 1e3, true })}, func(q *Query) { q.Average = engine(1).Times }, 0, 60 * time.Millisecond},
		{"stale, nothing else known", []Engine{with(func(e *Engine) { e.Rate, e.Stale = 40e3, true })}, nil, 0, 120 * time.Millisecond},
		{"guessed", []Engine{{}}, func(q *Query) { q.Guess = engine(1).Times }, 0, 60 * time.Millisecond},
		{"guessed and busy", []Engine{{Prefills: 1}}, func(q *Query) { q.Guess = engine(1).Times }, -1, 0},
		{"guessed too long", []Engine{{}}, func(q *Query) { q.Guess, q.Longest = engine(1).Times, 50*time.Millisecond }, -1, 0},
	} {
		q := query
		if c.change != nil {
			c.change(&q)
		}
		f := Prefill(c.engines, q)
		assert.Equal(t, c.want, f.Index, c.name)
		assert.Equal(t, c.finish, f.Finish, c.name)
	}
}

// A process that does not know the KV caches expects a prefix at its preferred engine,
// which is the same for all processes.
func TestPrefillAssumesPreferredEngine(t *testing.T) {
	engines := []Engine{engine(1), engine(2), engine(3)}
	chosen := map[int]int{}
	for hash := uint64(1); hash <= 300; hash++ {
		f := Prefill(engines, Query{Prompt: Prompt{PrefixHash: hash, Own: 10, Shared: 3000}, AssumePreferred: true})
		assert.Equal(t, 3000, f.Cached)
		chosen[f.Index]++
	}
	for i := range engines {
		assert.Greater(t, chosen[i], 50)
	}
}

func TestAverage(t *testing.T) {
	slow, stale := engine(1), engine(2)
	slow.Rate, slow.Base = 50e3, 40*time.Millisecond
	stale.Rate, stale.Stale = 1, true
	got := Average([]Engine{engine(3), slow, stale, {}})
	assert.Equal(t, 75e3, got.Rate)
	assert.Equal(t, 30*time.Millisecond, got.Base)
	assert.Equal(t, 1.0, Average([]Engine{stale, {}}).Rate, "all that are known are stale")
	assert.Zero(t, Average([]Engine{{}}).Rate)
}
