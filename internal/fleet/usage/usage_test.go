package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

var (
	one = roster.Server{ID: "i-1", Born: 1}
	two = roster.Server{ID: "i-1", Born: 2}
)

// end lets one request end with each verdict in turn.
func end(t *Table, now time.Time, verdicts ...Verdict) {
	for _, v := range verdicts {
		t.Start(now, one, Short)
		t.End(now, one, Result{Verdict: v})
	}
}

func TestTableCounts(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Start(now, one, Long)
	table.Start(now, one, Reading)
	table.Start(now, one, Short)
	seen := table.Look(now, one)
	assert.Equal(t, []int{3, 1, 1}, []int{seen.Running, seen.Long, seen.Reading})
	assert.Zero(t, table.Look(now, two).Running, "another incarnation")
	table.End(now, one, Result{Verdict: Fine, Work: Long})
	seen = table.Look(now, one)
	assert.Equal(t, []int{2, 0, 1}, []int{seen.Running, seen.Long, seen.Reading})
}

func TestTableSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Failed)
	assert.False(t, table.Look(now, one).Suspect, "one failure is no suspicion")
	end(&table, now, Failed, Failed)
	seen := table.Look(now, one)
	assert.True(t, seen.Suspect && seen.Closed)
	later := now.Add(firstSuspicion)
	seen = table.Look(later, one)
	assert.True(t, seen.Suspect && !seen.Closed, "it may be tried")
	end(&table, later, Failed)
	assert.True(t, table.Look(later.Add(2*firstSuspicion-1), one).Closed, "twice as long now")
	assert.False(t, table.Look(later.Add(2*firstSuspicion), one).Closed)
	end(&table, later.Add(time.Minute), Fine, Fine, Fine, Fine)
	assert.False(t, table.Look(later.Add(time.Minute), one).Suspect)
}

func TestTableOfOneThatCannotBeReached(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	assert.True(t, table.Look(now, one).Closed)
	assert.False(t, table.Look(now, two).Closed)
	later := now.Add(maxSuspicion)
	seen := table.Look(later, one)
	assert.True(t, seen.Unreachable && seen.Closed, "until it says something")
	assert.Equal(t, []Incarnation{{one.ID, one.Born}}, table.Unreachable())
	table.Reached(later, Incarnation{one.ID, one.Born})
	seen = table.Look(later, one)
	assert.False(t, seen.Unreachable || seen.Closed)
	assert.True(t, seen.Suspect, "tried with one request at a time")
	assert.Empty(t, table.Unreachable())
	for _, v := range []Verdict{Fine, Full} {
		end(&table, later, Unreachable, Failed)
		assert.True(t, table.Look(later, one).Unreachable)
		end(&table, later, v)
		assert.False(t, table.Look(later, one).Unreachable)
	}
	end(&table, later, Unreachable)
	table.Alive(later, one)
	assert.False(t, table.Look(later, one).Unreachable)
}

func TestTableOfOneThatRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Full, Full, Full)
	assert.True(t, table.Look(now, one).Closed)
	assert.False(t, table.Look(now.Add(fullPause), one).Closed, "refusals of requests sent together count once")
	for range 20 {
		now = now.Add(time.Minute)
		end(&table, now, Full)
	}
	assert.True(t, table.Look(now.Add(maxFullPause-1), one).Closed)
	assert.False(t, table.Look(now.Add(maxFullPause), one).Closed)
	assert.False(t, table.Look(now, one).Suspect, "it is in order")
	end(&table, now.Add(time.Minute), Fine, Full)
	assert.False(t, table.Look(now.Add(time.Minute+fullPause), one).Closed, "an answer ends the row")
}

func TestTableForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	table.Start(now, two, Short)
	table.Sweep(now.Add(2 * forgetAfter))
	assert.False(t, table.Look(now, one).Suspect)
	assert.Equal(t, 1, table.Look(now, two).Running, "what is under way is kept")
}

func TestTableOfOneThatStalls(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	table.Start(now, one, Short)
	assert.False(t, table.Look(now.Add(Stall), one).Stalled)
	assert.True(t, table.Look(now.Add(Stall+1), one).Stalled)
	assert.True(t, table.Look(now.Add(Stall+1), one).Closed)
	table.Alive(now.Add(Stall), one)
	assert.False(t, table.Look(now.Add(Stall+1), one).Stalled, "it said something")
	table.End(now.Add(Stall), one, Result{Verdict: Nothing})
	table.Start(now.Add(time.Minute), one, Short)
	assert.False(t, table.Look(now.Add(time.Minute+Stall), one).Stalled, "it had nothing to do meanwhile")
}

func TestTableLearnsHandovers(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	assert.Zero(t, table.Look(now, one).Handover)
	table.Handed(now, one, 10*time.Millisecond)
	assert.InDelta(t, 0.01, table.Look(now, one).Handover, 1e-9)
	for range 40 {
		now = now.Add(time.Millisecond)
		table.Handed(now, one, 200*time.Millisecond)
	}
	seen := table.Look(now.Add(time.Second), one)
	assert.InDelta(t, 0.2, seen.Handover, 0.005)
	assert.Equal(t, now, seen.Handed)
	assert.Zero(t, table.Look(now, two).Handover)
}
