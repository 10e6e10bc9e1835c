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
	table.Start(now, server, LocalPrefill)
	table.StartPrefill(server, 700)
	table.Start(now, server, Short)
	snapshot := table.Get(now, server)
	assert.Equal(t, []int{3, 1, 1, 700}, []int{snapshot.Running, snapshot.Long, snapshot.Prefills, snapshot.PrefillTokens})
	assert.Zero(t, table.Get(now, restarted).Running, "another incarnation")
	table.End(now, server, Result{Verdict: OK, Work: Long})
	snapshot = table.Get(now, server)
	assert.Equal(t, []int{2, 0, 1, 700}, []int{snapshot.Running, snapshot.Long, snapshot.Prefills, snapshot.PrefillTokens})
	table.EndPrefill(server, 700)
	snapshot = table.Get(now, server)
	assert.Equal(t, []int{2, 0, 0, 0}, []int{snapshot.Running, snapshot.Long, snapshot.Prefills, snapshot.PrefillTokens}, "the decode goes on")
}

func TestEjectionAndProbation(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Failed)
	assert.False(t, table.Get(now, server).Suspect, "one failure is below the threshold")
	end(&table, now, Failed, Failed)
	snapshot := table.Get(now, server)
	assert.True(t, snapshot.Suspect && snapshot.Ejected)
	later := now.Add(minEjection)
	snapshot = table.Get(later, server)
	assert.True(t, snapshot.Suspect && !snapshot.Ejected, "on probation")
	end(&table, later, Failed)
	assert.True(t, table.Get(later.Add(2*minEjection-1), server).Ejected, "the second ejection is twice as long")
	assert.False(t, table.Get(later.Add(2*minEjection), server).Ejected)
	end(&table, later.Add(time.Minute), OK, OK, OK, OK)
	assert.False(t, table.Get(later.Add(time.Minute), server).Suspect)
}

func TestUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	assert.True(t, table.Get(now, server).Ejected)
	assert.False(t, table.Get(now, restarted).Ejected)
	later := now.Add(maxEjection)
	snapshot := table.Get(later, server)
	assert.True(t, snapshot.Unreachable && snapshot.Ejected, "ejected until it sends something or a connection succeeds")
	assert.Equal(t, []Incarnation{{server.ID, server.Born}}, table.Undialable())
	table.MarkReachable(later, Incarnation{server.ID, server.Born})
	snapshot = table.Get(later, server)
	assert.False(t, snapshot.Unreachable || snapshot.Ejected)
	assert.True(t, snapshot.Suspect, "still on probation: one request at a time")
	assert.Empty(t, table.Undialable())
	for _, v := range []Verdict{OK, Full} {
		end(&table, later, Unreachable, Failed)
		assert.True(t, table.Get(later, server).Unreachable)
		end(&table, later, v)
		assert.False(t, table.Get(later, server).Unreachable)
	}
	end(&table, later, Unreachable)
	table.MarkActive(later, server)
	assert.False(t, table.Get(later, server).Unreachable)
}

func TestFullBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Full, Full, Full)
	assert.True(t, table.Get(now, server).Ejected)
	assert.False(t, table.Get(now.Add(minFullBackoff), server).Ejected, "rejections of requests sent at the same time count once")
	for range 20 {
		now = now.Add(time.Minute)
		end(&table, now, Full)
	}
	assert.True(t, table.Get(now.Add(maxFullBackoff-1), server).Ejected)
	assert.False(t, table.Get(now.Add(maxFullBackoff), server).Ejected)
	assert.False(t, table.Get(now, server).Suspect, "rejections are not failures")
	end(&table, now.Add(time.Minute), OK, Full)
	assert.False(t, table.Get(now.Add(time.Minute+minFullBackoff), server).Ejected, "a success resets the back-off")
}

func TestSweep(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	end(&table, now, Unreachable)
	table.Start(now, restarted, Short)
	table.Sweep(now.Add(2 * idleRetention))
	assert.False(t, table.Get(now, server).Suspect)
	assert.Equal(t, 1, table.Get(now, restarted).Running, "a record with requests in progress is kept")
}

func TestStalled(t *testing.T) {
	now := time.Unix(1000, 0)
	var table Table
	table.Start(now, server, Short)
	assert.False(t, table.Get(now.Add(StallThreshold), server).Stalled)
	assert.True(t, table.Get(now.Add(StallThreshold+1), server).Stalled)
	assert.True(t, table.Get(now.Add(StallThreshold+1), server).Ejected)
	table.MarkActive(now.Add(StallThreshold), server)
	assert.False(t, table.Get(now.Add(StallThreshold+1), server).Stalled, "it sent something")
	table.End(now.Add(StallThreshold), server, Result{Verdict: Neutral})
	table.Start(now.Add(time.Minute), server, Short)
	assert.False(t, table.Get(now.Add(time.Minute+StallThreshold), server).Stalled, "time without requests does not count")
}

func TestTransferTime(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	assert.Zero(t, table.Get(now, server).TransferSeconds)
	table.RecordTransfer(now, server, 10*time.Millisecond)
	assert.InDelta(t, 0.01, table.Get(now, server).TransferSeconds, 1e-9)
	for range 40 {
		now = now.Add(time.Millisecond)
		table.RecordTransfer(now, server, 200*time.Millisecond)
	}
	snapshot := table.Get(now.Add(time.Second), server)
	assert.InDelta(t, 0.2, snapshot.TransferSeconds, 0.005)
	assert.Equal(t, now, snapshot.TransferAt)
	assert.Zero(t, table.Get(now, restarted).TransferSeconds)
}

// TestSuccessOfPeersIsNotOwnReach checks that what a peer reports says nothing about the
// links of this process.
func TestSuccessOfPeersIsNotOwnReach(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	lost, silent := roster.Server{ID: "lost", Born: 1}, roster.Server{ID: "silent", Born: 1}
	table.MarkUnreachable(now, lost)
	table.Start(now, silent, Short)
	now = now.Add(2 * StallThreshold)
	for _, server := range []roster.Server{lost, silent} {
		for _, verdict := range []Verdict{OK, Full} {
			table.RecordRemote(now, server, Result{Verdict: verdict})
		}
	}
	assert.True(t, table.Get(now, lost).Unreachable)
	assert.True(t, table.Get(now, silent).Stalled)
}
