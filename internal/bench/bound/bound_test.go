package bound

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallSite is a site file with one class of requests to a model, 100 per second
// with 1,000 prompt tokens on two engines, and one plain class, 20 per second.
const smallSite = `
name = "small"
length_s = 20.0
goal = { mean = 0.5, window = 0.2, class = 0.1, zone = 0.2 }
[[services]]
name = "model"
slots = 8
servers = [ { zone = "a", count = 2 } ]
llm = { step_ms = 1.0, prefill_tokens_per_ms = %v, stride = 10, chunk = 1000, prefill = 0.5, first_ms = 5.0 }
[[services]]
name = "jobs"
slots = %d
servers = [ { zone = "a", count = 1 } ]
[[classes]]
name = "verdict"
service = "model"
aim_ms = 100
deadline_ms = 2000
worth = 2.0
late_worth = 1.0
stream = { pieces = { mean = 2 }, prompt_tokens = { mean = 1000 }, chain = [] }
[[classes]]
name = "post"
service = "jobs"
aim_ms = 300
deadline_ms = 1000
worth = 1.0
late_worth = 0.5
work_ms = { mean = 100 }
[[traffic]]
zone = "a"
per_s = 120.0
mix = { verdict = 5.0, post = 1.0 }
shape = { swing = 0.0, period_s = 10.0, phase = 0.0 }
[[day]]
name = "flat"
one = 0.5
[[day]]
name = "burst"
one = 0.5
faults = [ { kind = "burst", class = "verdict", x = 4.0, at = 10.0, for_s = 5.0 }, { kind = "srv_crash", at = 1.0 } ]
`

func parseSite(t *testing.T, rate float64, slots int) Site {
	s, err := Parse(fmt.Sprintf(smallSite, rate, slots))
	require.NoError(t, err)
	return s
}

func TestBound(t *testing.T) {
	// There is one prefill engine, and one decode engine that prefills at half
	// its rate.
	for _, c := range []struct {
		name        string
		rate        float64 // prompt tokens per millisecond
		slots, day  int
		model       PrefillModel
		whole, peak float64
	}{
		{"enough capacity", 200, 8, 0, Overlapped, 1, 100.0 / 300},
		// 100,000 tokens per second arrive, 75,000 are prefilled on time.
		{"engines too slow", 50, 8, 0, Overlapped, (4.0*50*0.75 + 20) / 220, 100.0 / 75},
		// Half of the plain requests get slots on time.
		{"too few slots", 200, 1, 0, Overlapped, (200 + 20*0.5) / 220, 100.0 / 300},
		// In the burst 400,000 tokens per second arrive and 300,000 are
		// prefilled on time; late requests are prefilled afterwards.
		{"burst", 200, 8, 1, Overlapped, 0.94, 400.0 / 300},
		// A chunk of 1,000 tokens takes 1 + 5 ms, one of 250 takes 1 + 2.5 ms.
		{"stepped", 200, 8, 0, Stepped, 1, 100 / (1000.0/6 + 250/3.5)},
		{"apart", 200, 8, 0, Disaggregated, 1, 100 / (1000.0 / 6)},
	} {
		s := parseSite(t, c.rate, c.slots)
		got := s.Bound(s.Days[c.day], c.model)
		assert.InDelta(t, c.whole, got.WholeDay, 0.03, c.name)
		assert.InDelta(t, c.peak, got.Peak, 0.02, c.name)
		assert.LessOrEqual(t, got.Worth, 1.0, c.name)
		assert.LessOrEqual(t, got.WorstWindows, got.WholeDay+1e-9, c.name)
	}
}

// TestBoundGrowsWithTheEngines checks that the bound of faster engines is never
// lower, and that very fast engines earn the whole credit and no more.
func TestBoundGrowsWithTheEngines(t *testing.T) {
	before := 0.0
	for rate := 10.0; rate < 1000; rate *= 1.5 {
		s := parseSite(t, rate, 8)
		worth := s.Bound(s.Days[1], Overlapped).Worth
		assert.GreaterOrEqual(t, worth+1e-9, before)
		before = worth
	}
	assert.InDelta(t, 1, before, 0.01)
}

func TestParseNamesTheFault(t *testing.T) {
	for text, want := range map[string]string{
		"name =":                                 "site: toml",
		"name = \"a\"":                           "there is no day",
		"[[classes]]\nname=\"c\"\nservice=\"x\"": `class c: there is no service "x"`,
	} {
		_, err := Parse(text)
		assert.ErrorContains(t, err, want)
	}
}
