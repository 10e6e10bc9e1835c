package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

var (
	server    = roster.Server{ID: "i-1", Born: 1}
	restarted = roster.Server{ID: "i-1", Born: 2}
)

// end starts and ends one request for each verdict in turn.
func end(t *Table, now time.Time, verdicts ...Verdict) {
	for _, v := range verdicts {
		t.Start(now, server, Short)
		t.End(now, server, Result{Verdict: v})
	}
}

func TestCounts(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Start(now, server, Long)
	table.Start(now, server, Reading)
	table.Start(now, server, Short)
	snapshot := table.Look(now, server)
	assert.Equal(t, []int{3, 1, 1}, []int{snapshot.Running, snapshot.Long, snapshot.Reading})
	assert.Zero(t, table.Look(now, restarted).Running, "another incarnation")
	table.End(now, server, Result{Verdict: Fine, Work: Long})
	snapshot = table.Look(now, server)
	assert.Equal(t, []int{2, 0, 1}, []int{snapshot.Running, snapshot.Long, snapshot.Reading})
}

func TestEjectionAndProbation(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Failed)
	assert.False(t, table.Look(now, server).Suspect, "one failure is below the threshold")
	end(&table, now, Failed, Failed)
	snapshot := table.Look(now, server)
	assert.True(t, snapshot.Suspect && snapshot.Closed)
	later := now.Add(minEjection)
	snapshot = table.Look(later, server)
	assert.True(t, snapshot.Suspect && !snapshot.Closed, "on probation")
	end(&table, later, Failed)
	assert.True(t, table.Look(later.Add(2*minEjection-1), server).Closed, "the second ejection is twice as long")
	assert.False(t, table.Look(later.Add(2*minEjection), server).Closed)
	end(&table, later.Add(time.Minute), Fine, Fine, Fine, Fine)
	assert.False(t, table.Look(later.Add(time.Minute), server).Suspect)
}

func TestUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	assert.True(t, table.Look(now, server).Closed)
	assert.False(t, table.Look(now, restarted).Closed)
	later := now.Add(maxEjection)
	snapshot := table.Look(later, server)
	assert.True(t, snapshot.Unreachable && snapshot.Closed, "ejected until it sends something or a connection succeeds")
	assert.Equal(t, []Incarnation{{server.ID, server.Born}}, table.Unreachable())
	table.Reached(later, Incarnation{server.ID, server.Born})
	snapshot = table.Look(later, server)
	assert.False(t, snapshot.Unreachable || snapshot.Closed)
	assert.True(t, snapshot.Suspect, "still on probation: one request at a time")
	assert.Empty(t, table.Unreachable())
	for _, v := range []Verdict{Fine, Full} {
		end(&table, later, Unreachable, Failed)
		assert.True(t, table.Look(later, server).Unreachable)
		end(&table, later, v)
		assert.False(t, table.Look(later, server).Unreachable)
	}
	end(&table, later, Unreachable)
	table.Alive(later, server)
	assert.False(t, table.Look(later, server).Unreachable)
}

func TestFullBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Full, Full, Full)
	assert.True(t, table.Look(now, server).Closed)
	assert.False(t, table.Look(now.Add(minFullBackoff), server).Closed, "rejections of requests sent at the same time count once")
	for range 20 {
		now = now.Add(time.Minute)
		end(&table, now, Full)
	}
	assert.True(t, table.Look(now.Add(maxFullBackoff-1), server).Closed)
	assert.False(t, table.Look(now.Add(maxFullBackoff), server).Closed)
	assert.False(t, table.Look(now, server).Suspect, "rejections are not failures")
	end(&table, now.Add(time.Minute), Fine, Full)
	assert.False(t, table.Look(now.Add(time.Minute+minFullBackoff), server).Closed, "a success resets the back-off")
}

func TestSweep(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	table.Start(now, restarted, Short)
	table.Sweep(now.Add(2 * idleRetention))
	assert.False(t, table.Look(now, server).Suspect)
	assert.Equal(t, 1, table.Look(now, restarted).Running, "a record with requests in progress is kept")
}

func TestStalled(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	table.Start(now, server, Short)
	assert.False(t, table.Look(now.Add(Stall), server).Stalled)
	assert.True(t, table.Look(now.Add(Stall+1), server).Stalled)
	assert.True(t, table.Look(now.Add(Stall+1), server).Closed)
	table.Alive(now.Add(Stall), server)
	assert.False(t, table.Look(now.Add(Stall+1), server).Stalled, "it sent something")
	table.End(now.Add(Stall), server, Result{Verdict: Nothing})
	table.Start(now.Add(time.Minute), server, Short)
	assert.False(t, table.Look(now.Add(time.Minute+Stall), server).Stalled, "time without requests does not count")
}

func TestTransferTime(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	assert.Zero(t, table.Look(now, server).Handover)
	table.Handed(now, server, 10*time.Millisecond)
	assert.InDelta(t, 0.01, table.Look(now, server).Handover, 1e-9)
	for range 40 {
		now = now.Add(time.Millisecond)
		table.Handed(now, server, 200*time.Millisecond)
	}
	snapshot := table.Look(now.Add(time.Second), server)
	assert.InDelta(t, 0.2, snapshot.Handover, 0.005)
	assert.Equal(t, now, snapshot.Handed)
	assert.Zero(t, table.Look(now, restarted).Handover)
}
