package usage

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// recordPrefills records prefills of an engine with the base time and rate.
func recordPrefills(t *Table, s roster.Server, count int, base time.Duration, perSecond float64) {
	for i := range count {
		tokens := 300 * (1 + i%9)
		t.RecordPrefill(time.Unix(1000, 0), s, tokens, base+time.Duration(float64(tokens)/perSecond*float64(time.Second)))
	}
}

func TestPrefillTimesAreLearned(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	prefill := roster.Server{ID: "i-1", Born: 1, Role: roster.Prefill}
	assert.Zero(t, table.Get(now, prefill).Times)
	recordPrefills(&table, prefill, 1, 50*time.Millisecond, 40e3)
	assert.Positive(t, table.Get(now, prefill).Times.Rate, "one prefill is a start")
	recordPrefills(&table, prefill, 200, 50*time.Millisecond, 40e3)
	times := table.Get(now, prefill).Times
	assert.InDelta(t, 0.05, times.Base.Seconds(), 0.002)
	assert.InDelta(t, 40e3, times.Rate, 1e3)

	recordPrefills(&table, prefill, 40, 400*time.Millisecond, 5e3)
	assert.Less(t, table.Get(now, prefill).Times.Rate, 10e3, "it has turned slow")

	decode := prefill
	decode.Role = roster.Decode
	assert.Zero(t, table.Get(now, decode).Times, "with another role it is another engine")
}

// The first prefill of an engine tells how fast it is compared with the others, even
// if it is much longer than these had.
func TestFirstPrefillOfAnEngine(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	recordPrefills(&table, roster.Server{ID: "i-1", Born: 1, Role: roster.Decode}, 200, 50*time.Millisecond, 25e3)
	s := roster.Server{ID: "i-2", Born: 1, Role: roster.Decode}
	table.RecordPrefill(now, s, 28_000, 2*(50*time.Millisecond+28*time.Second/25))
	times := table.Get(now, s).Times
	assert.InDelta(t, 0.1, times.Base.Seconds(), 0.03, "twice as slow")
	assert.InDelta(t, 12.5e3, times.Rate, 1e3)
	assert.False(t, times.Stale)
	assert.True(t, table.Get(now.Add(staleAfter+1), s).Times.Stale)
}

// What another process has learned is a start for this one.
func TestTimesOfAnotherProcess(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	s := roster.Server{ID: "i-1", Born: 1, Role: roster.Prefill}
	want := assign.Times{Base: 20 * time.Millisecond, Rate: 30e3}
	table.SetTimes(time.Unix(1000, 0), s, want)
	got := table.Get(now, s).Times
	assert.InDelta(t, want.Rate, got.Rate, 1)
	assert.Equal(t, want.Base, got.Base)
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		table.SetTimes(time.Unix(1000, 0), s, assign.Times{Rate: rate})
	}
	table.SetTimes(time.Unix(1000, 0), s, assign.Times{Base: -1, Rate: 7})
	assert.InDelta(t, want.Rate, table.Get(now, s).Times.Rate, 1)
}

// An engine that prefills long prompts sends nothing meanwhile and has not stalled.
func TestLongPrefillIsNoStall(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	s := roster.Server{ID: "i-1", Born: 1, Role: roster.Prefill}
	recordPrefills(&table, s, 100, 50*time.Millisecond, 40e3)
	table.Start(now, s, Short)
	table.StartPrefill(s, 20_000)
	assert.False(t, table.Get(now.Add(2*StallThreshold), s).Stalled, "0.5 s are expected")
	assert.True(t, table.Get(now.Add(maxPrefillStall+1), s).Stalled)
	table.EndPrefill(s, 20_000)
	assert.True(t, table.Get(now.Add(2*StallThreshold), s).Stalled)
}

// Nonsense in what an engine or a peer reports never makes a prediction infinite or
// not a number.
func FuzzTimes(f *testing.F) {
	f.Add(100, int64(1000), int64(5), 30e3)
	f.Add(-1, int64(-1), int64(-1), math.NaN())
	f.Add(math.MaxInt, int64(math.MaxInt64), int64(math.MaxInt64), math.Inf(1))
	f.Fuzz(func(t *testing.T, tokens int, took, base int64, rate float64) {
		var table Table
		s := roster.Server{ID: "i-1", Born: 1, Role: roster.Prefill}
		table.RecordPrefill(time.Unix(0, 0), s, tokens, time.Duration(took))
		table.SetTimes(time.Unix(1000, 0), s, assign.Times{Base: time.Duration(base), Rate: rate})
		table.RecordPrefill(time.Unix(0, 0), s, tokens, time.Duration(took))
		times := table.Get(time.Unix(0, 0), s).Times
		if !(times.Rate >= 0) || math.IsInf(times.Rate, 0) || times.Base < 0 {
			t.Fatalf("%+v", times)
		}
	})
}

// A backend server that has asked for a pause gets nothing until its end, and that is
// no failure.
func TestPause(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Pause(now, server, 1500*time.Millisecond)
	table.Pause(now, server, 100*time.Millisecond)
	snapshot := table.Get(now.Add(1499*time.Millisecond), server)
	assert.True(t, snapshot.Paused, "a shorter one does not end it")
	assert.False(t, snapshot.Ejected || snapshot.Suspect)
	assert.False(t, table.Get(now.Add(1500*time.Millisecond), server).Paused)
	assert.False(t, table.Get(now, restarted).Paused, "another incarnation")
	table.Pause(now, server, math.MaxInt64)
	table.Sweep(now.Add(MaxPause - 1))
	assert.True(t, table.Get(now.Add(MaxPause-1), server).Paused)
	assert.False(t, table.Get(now.Add(MaxPause), server).Paused)
}
