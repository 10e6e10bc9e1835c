package gone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// watchFor looks at the entry each Interval, from the given time on, until the first step
// other than Wait, and returns it and when it was. change may change what is seen.
func watchFor(w *Watch, from, limit time.Duration, change func(after time.Duration, s *Sight)) (Step, time.Duration) {
	for after := from; after <= limit; after += Interval {
		s := Sight{Name: "p", Version: 3}
		change(after, &s)
		if step := w.See(start.Add(after), s); step != Wait {
			return step, after
		}
	}
	return Wait, limit
}

func TestStepsOfAnUnchangedEntry(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(after time.Duration, s *Sight)
		step   Step
		after  time.Duration
	}{
		{"silent", func(time.Duration, *Sight) {}, Doubt, DoubtAfter},
		{"doubted", func(_ time.Duration, s *Sight) { s.Doubted = true }, Remove, RemoveAfter},
		{"heard once in between", func(after time.Duration, s *Sight) {
			if after > 2*time.Minute {
				s.Heard = start.Add(2*time.Minute + time.Second)
			}
		}, Doubt, 3*time.Minute + DoubtAfter},
		{"heard before", func(_ time.Duration, s *Sight) { s.Heard = start.Add(-time.Second) }, Doubt, DoubtAfter},
		{"written again while doubted", func(after time.Duration, s *Sight) {
			s.Doubted = true
			if after >= 9*time.Minute {
				s.Version = 4
			}
		}, Remove, 9*time.Minute + RemoveAfter},
		{"an older copy of the store", func(after time.Duration, s *Sight) {
			s.Doubted = true
			if after >= 9*time.Minute {
				s.Version = 1 << 48
			}
		}, Remove, 9*time.Minute + RemoveAfter},
		{"written again all the time", func(after time.Duration, s *Sight) { s.Version = uint64(after / (4 * time.Minute)) }, Wait, time.Hour},
	} {
		var w Watch
		step, after := watchFor(&w, 0, time.Hour, c.change)
		assert.Equal(t, c.step, step, c.name)
		assert.Equal(t, c.after, after, c.name)
	}
}

// TestTimeThatWasNotObservedDoesNotCount checks that a process which was frozen, did not
// reach the store or did not observe for a while begins again.
func TestTimeThatWasNotObservedDoesNotCount(t *testing.T) {
	doubted := func(_ time.Duration, s *Sight) { s.Doubted = true }
	for name, pause := range map[string]func(w *Watch) time.Duration{
		"frozen":       func(*Watch) time.Duration { return 9*time.Minute + maxPause + 1 },
		"store failed": func(w *Watch) time.Duration { w.Reset(); return 10 * time.Minute },
		"heard":        func(w *Watch) time.Duration { w.Keep(map[string]time.Time{"q": {}}); return 10 * time.Minute },
	} {
		var w Watch
		step, _ := watchFor(&w, 0, 9*time.Minute, doubted)
		assert.Equal(t, Wait, step, name)
		again := pause(&w)
		step, after := watchFor(&w, again, time.Hour, doubted)
		assert.Equal(t, Remove, step, name)
		assert.Equal(t, again+RemoveAfter, after, name)
	}
	var w Watch
	_, _ = watchFor(&w, 0, 9*time.Minute, doubted)
	w.Keep(map[string]time.Time{"p": {}})
	step, after := watchFor(&w, 9*time.Minute+maxPause, time.Hour, doubted)
	assert.Equal(t, Remove, step)
	assert.Equal(t, 9*time.Minute+maxPause, after, "one look that came late")
	assert.Len(t, w.observed, 1)
}

// TestProcessKnowsBeforeItIsRemoved checks that a process that did not reach the store does
// not rely on being counted when its entry is removed, also if the clocks' rates differ.
func TestProcessKnowsBeforeItIsRemoved(t *testing.T) {
	assert.Less(t, float64(ConfirmedFor)*1.1, float64(RemoveAfter)/1.1)
}
