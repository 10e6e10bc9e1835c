package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// sendFor sends a request whenever the table allows one, for a time, and returns their
// number.
func sendFor(table *Table, server roster.Server, from time.Time, d time.Duration) int {
	count := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		if snapshot := table.Get(now, server); !snapshot.Throttled && !snapshot.Paused {
			table.Start(now, server, Short)
			table.End(now, server, Result{Verdict: OK})
			count++
		}
	}
	return count
}

func TestShareOfALimitIsKept(t *testing.T) {
	server, now := roster.Server{ID: "a", Born: 1}, time.Unix(1000, 0)
	var table Table
	assert.Equal(t, 400, sendFor(&table, server, now, 4*time.Second), "no limit")
	assert.True(t, table.SetLimit(now, server, 7.5, 1.25))
	assert.InDelta(t, 5, sendFor(&table, server, now, 4*time.Second), 1)
	now = now.Add(4 * time.Second)
	assert.False(t, table.SetLimit(now, server, 7.5, 1.25), "it is known")
	assert.InDelta(t, 5, sendFor(&table, server, now, 4*time.Second), 1)
	now = now.Add(4 * time.Second)
	assert.True(t, table.SetLimit(now, server, 15, 2.5), "it has changed")
	assert.InDelta(t, 10, sendFor(&table, server, now, 4*time.Second), 1)
	now = now.Add(time.Minute)
	assert.LessOrEqual(t, sendFor(&table, server, now, 100*time.Millisecond), 1, "what was not used is lost, and the limit holds")

	assert.False(t, table.EndLimit(now, server, now.Add(-2*time.Minute)), "the request was sent before the limit was known")
	assert.True(t, table.EndLimit(now, server, now))
	assert.Equal(t, 100, sendFor(&table, server, now, time.Second))
	assert.False(t, table.EndLimit(now, server, now))
}

// TestLimitWithoutAShare checks a process that must not send: it gets no responses that
// could tell it when the limit ends.
func TestLimitWithoutAShare(t *testing.T) {
	server, now := roster.Server{ID: "a", Born: 1}, time.Unix(1000, 0)
	var table Table
	table.SetLimit(now, server, 2, 0)
	assert.Zero(t, sendFor(&table, server, now, shareless))
	assert.True(t, table.Get(now, server).Paused)
	table.HearLimit(now.Add(shareless-time.Second), server, 2, 0)
	assert.Zero(t, sendFor(&table, server, now, 2*shareless-time.Second))
	assert.Positive(t, sendFor(&table, server, now.Add(2*shareless), time.Second))
}

// TestLimitsOfPeers checks that what a process is told itself counts more than what its
// peers say, who may be late.
func TestLimitsOfPeers(t *testing.T) {
	server, now := roster.Server{ID: "a", Born: 1}, time.Unix(1000, 0)
	var table Table
	table.HearLimit(now, server, 9, 3)
	assert.Empty(t, table.LimitsTold(now), "hearsay is not passed on")
	assert.InDelta(t, 12, sendFor(&table, server, now, 4*time.Second), 1)
	now = now.Add(4 * time.Second)
	table.SetLimit(now, server, 6, 2)
	table.HearLimit(now.Add(time.Second), server, 9, 3)
	assert.Equal(t, []Limit{{Incarnation{"a", 1}, 6, 2}}, table.LimitsTold(now.Add(time.Second)))
	assert.Empty(t, table.LimitsTold(now.Add(relayFor)))
	table.EndLimit(now.Add(relayFor), server, now.Add(time.Second))
	table.HearLimit(now.Add(2*relayFor), server, 6, 2)
	assert.Equal(t, 100, sendFor(&table, server, now.Add(2*relayFor), time.Second), "a peer doesn't know that it has ended")
	table.HearLimit(now.Add(4*relayFor), server, 6, 2)
	assert.LessOrEqual(t, sendFor(&table, server, now.Add(4*relayFor), time.Second), 3, "a new limit")
}
