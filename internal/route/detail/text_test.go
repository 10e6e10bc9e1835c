package detail

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "overwrite the golden files")

// examples are explanations of the three usual decisions, and of a stream with a token gap
// target. The one before has names that are too long for the table.
func examples() []Explanation {
	prefill := Explanation{
		Process: "entry-7", AvailabilityZone: "khomas-a", Version: 12, Route: "chat", Kind: "Stream", Account: "acme", Priority: 1,
		Service: "model", Targets: []Target{{"model", 3}, {"model-next", 1}}, Software: "v2", Work: Prefill, LatencyTargetMs: 200, TimeLeftMs: 5000,
		Queues: []Queue{
			{Work: Prefill, Order: "CostToCallers", Coordinator: "entry-3", Waiting: 4, Ahead: 2, UnitsAhead: 3100, WaitMs: 84.25, LongestWaitMs: 90, Rank: 0.2},
			{Work: LocalPrefill, Order: "CostToCallers", Waiting: 1, WaitMs: 4.25, LongestWaitMs: 90},
		},
		Servers: []Server{
			{ID: "d1", AvailabilityZone: "khomas-a", Role: "Decode", Running: 3, Limit: 10, WaitMs: 21, FinishMs: 400, NotUsed: NotBest},
			{ID: "p1", AvailabilityZone: "khomas-a", Role: "Prefill", Running: 2, Limit: 6, CachedTokens: 1500, WaitMs: 12.5, FinishMs: 84},
			{ID: "p2", AvailabilityZone: "khomas-b", Role: "Prefill", Running: 6, Limit: 6, NotUsed: "Full"},
			{ID: "p3", AvailabilityZone: "khomas-b", Role: "Prefill", NotUsed: Paused},
		},
		Decision: Decision{Action: Send, Server: "p1"},
	}
	wait := Explanation{
		Process: "entry-7", AvailabilityZone: "khomas-a", Version: 12, Route: "read", Kind: "Idempotent", Service: "plain", Work: Plain,
		Targets: []Target{{"plain", 1}}, LatencyTargetMs: 300, TimeLeftMs: 12000,
		Queues:   []Queue{{Work: Plain, Order: "Arrival", WaitMs: 0.8, LongestWaitMs: 180}},
		Servers:  []Server{{ID: "a", AvailabilityZone: "khomas-a", Running: 12, Limit: 12, NotUsed: "Full"}},
		Decision: Decision{Action: Wait, Reason: NoPermit},
	}
	long := strings.Repeat("khomas-", 9)
	reject := Explanation{
		Process: long, AvailabilityZone: long, Version: 1 << 60, Route: long, Kind: "AtMostOnce", Account: long + "\n" + long, Priority: 1 << 30, Service: long, Work: Plain,
		Targets: []Target{{long, 1}, {"b", 1}}, Software: long, LatencyTargetMs: 300, TimeLeftMs: 1000,
		Queues:   []Queue{{Work: Plain, Order: "Arrival", Coordinator: long, Waiting: 1 << 40, Ahead: 1 << 40, UnitsAhead: 1 << 40, WaitMs: Ms(time.Hour), LongestWaitMs: 180}},
		Servers:  []Server{{ID: long, AvailabilityZone: long, Role: "Prefill", Running: 1 << 20, Limit: 1 << 20, CachedTokens: 1 << 24, WaitMs: Ms(time.Hour), FinishMs: Ms(time.Hour), NotUsed: "PrefillTooLong"}},
		Decision: Decision{Action: Reject, Status: 503, Reason: "Overloaded", RetryAfterMinMs: 210, RetryAfterMaxMs: 350},
	}
	paced := prefill
	paced.Work, paced.Queues = DecodeLong, []Queue{{Work: DecodeLong, Order: "Arrival"}}
	paced.Servers = []Server{
		{ID: "d1", AvailabilityZone: "khomas-a", Role: "Decode", Running: 3, Limit: 10, GapMs: 182, NotUsed: NotBest},
		{ID: "d2", AvailabilityZone: "khomas-a", Role: "Decode", Running: 3, Limit: 10, GapMs: 74},
		{ID: "p1", AvailabilityZone: "khomas-a", Role: "Prefill", NotUsed: OtherRole},
	}
	paced.Decision = Decision{Action: Send, Server: "d2"}
	return []Explanation{prefill, wait, reject, paced}
}

// TestText guards against a table that operators can't read: changed columns, lines of more
// than 100 columns, and names that break it.
func TestText(t *testing.T) {
	var all []string
	for _, e := range examples() {
		all = append(all, e.String())
	}
	text := strings.Join(all, "\n")
	for _, line := range strings.Split(text, "\n") {
		assert.LessOrEqual(t, utf8.RuneCountInString(line), maxColumns, line)
	}
	const golden = "testdata/explanations.txt"
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(text), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	assert.Equal(t, string(want), text)
}
