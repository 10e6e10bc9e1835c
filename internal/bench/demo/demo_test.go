package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	sample "ebonyscale.example/ebonyscale/examples"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/route/retry"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
)

// TestRefusedRequestMayRunWhenReplayed guards against a demo that calls a true refusal false
// because its own replay of the request has run.
func TestRefusedRequestMayRunWhenReplayed(t *testing.T) {
	write := writeEntry(t)
	run := plain.Run{Method: "POST", Body: string(write.Body(3, true))}
	refused := load.Outcome{Number: 3, Entry: write, Status: 503, Reported: retry.NotRun}
	for _, c := range []struct {
		name                string
		ofLoad, withReplays []plain.Run
		violated            bool
		violation           judge.Promise
	}{
		{"runs as replay", nil, []plain.Run{run}, false, 0},
		{"ran in spite of the refusal", []plain.Run{run}, []plain.Run{run}, true, judge.NotRunIsTrue},
		{"runs late, beside its replay", nil, []plain.Run{run, run}, true, judge.RunsAtMostOnce},
	} {
		r := &Report{Result: &load.Result{Outcomes: []load.Outcome{refused}}, Replays: &load.Result{}, runsOfLoad: c.ofLoad}
		r.checkPlains(c.withReplays)
		if !c.violated {
			assert.Empty(t, r.Violations, c.name)
			continue
		}
		if assert.NotEmpty(t, r.Violations, c.name) {
			assert.Equal(t, c.violation, r.Violations[0].Promise, c.name)
		}
	}
}

// writeEntry returns a non-idempotent request of an example's load.
func writeEntry(t *testing.T) load.Entry {
	files, err := sample.Files("Quetzal")
	assert.NoError(t, err)
	deployment, err := spec.Parse(files)
	assert.NoError(t, err)
	plan := load.Plan{Seed: 1, Length: 10 * time.Second, Rate: DefaultRate, PlainShare: 1, LongPromptShare: func(time.Duration) float64 { return 0 }}
	for _, e := range load.Mix(deployment, plan) {
		if e.Kind() == load.Write {
			return e
		}
	}
	t.Fatal("the load has no write")
	return load.Entry{}
}
