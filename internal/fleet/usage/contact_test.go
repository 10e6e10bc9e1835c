package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// TestUnansweredRequestsCount checks which requests count as unanswered: a healthy server must
// not be given up, and one that fails must be.
func TestUnansweredRequestsCount(t *testing.T) {
	type step func(table *Table, began time.Time)
	start := func(at time.Duration) step {
		return func(table *Table, began time.Time) { table.Start(began.Add(at), server, Short) }
	}
	end := func(at, sent time.Duration, a Answer) step {
		return func(table *Table, began time.Time) {
			table.End(began.Add(at), server, Result{Answer: a, Sent: began.Add(sent)})
		}
	}
	const ms, stall = time.Millisecond, StallThreshold
	for _, c := range []struct {
		name  string
		steps []step
		at    time.Duration
		want  int
	}{
		{"none", nil, time.Hour, 0},
		{"one closed", []step{start(0), end(1*ms, 0, Unanswered)}, time.Hour, 1},
		{"two closed", []step{start(0), end(1*ms, 0, Unanswered), start(2 * ms), end(3*ms, 2*ms, Unanswered)}, 3 * ms, 2},
		{"sent before the tracking", []step{end(1*ms, -1*ms, Unanswered), end(1*ms, -2*ms, Unanswered)}, time.Hour, 0},
		{"a response to an earlier request", []step{start(0), start(1 * ms), end(2*ms, 0, Unanswered), end(3*ms, -1*ms, Responded), end(4*ms, 1*ms, Unanswered)}, time.Hour, 0},
		{"both silent", []step{start(0), start(100 * ms)}, stall + 101*ms, 2},
		{"one silent for long enough", []step{start(0), start(100 * ms)}, stall + 100*ms, 1},
		{"silent, then aborted", []step{start(0), start(0), end(stall+1*ms, 0, Unanswered)}, stall + 1*ms, 2},
		{"silent, then the client gone", []step{start(0), start(0), end(time.Second, 0, Unproven), end(time.Second, 0, Unproven)}, time.Second, 0},
		{"client gone early, another silent", []step{start(0), end(1*ms, 0, Unproven), start(2 * ms)}, time.Hour, 1},
		{"two fail beside two in progress", []step{start(0), start(1 * ms), start(2 * ms), start(3 * ms), end(4*ms, 2*ms, Unanswered), end(4*ms, 3*ms, Unanswered)}, 5 * ms, 2},
		{"a late response", []step{start(0), start(0), end(time.Second, 0, Responded)}, time.Second, 0},
	} {
		var table Table
		began := time.Unix(1000, 0)
		table.Start(began.Add(-time.Second), server, Short)
		table.MarkActive(began, server)
		table.Watch(began, []roster.Server{server}, true)
		for _, take := range c.steps {
			take(&table, began)
		}
		assert.Equal(t, c.want, table.Get(began.Add(c.at), server).Unanswered, c.name)
		table.MarkActive(began.Add(c.at), server)
		assert.Zero(t, table.Get(began.Add(c.at), server).Unanswered, "a response ends it: %s", c.name)
	}
}

// TestSilenceCountsAfterItsRequestHasEnded guards against a server that counts as responding
// since the clients of the requests to it are gone.
func TestSilenceCountsAfterItsRequestHasEnded(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Watch(now, []roster.Server{server}, true)
	table.Start(now, server, Short)
	table.Start(now, server, Short)
	late := now.Add(StallThreshold + 1)
	assert.Equal(t, 2, table.Get(late, server).Unanswered)
	table.End(late, server, Result{Sent: now})
	table.End(late, server, Result{Sent: now})
	assert.Equal(t, 2, table.Get(late, server).Unanswered)
	table.Sweep(late.Add(idleRetention))
	assert.Equal(t, 2, table.Get(late, server).Unanswered)
	table.Watch(late, []roster.Server{server}, false)
	assert.Zero(t, table.Get(late, server).Unanswered, "no longer tracked")
}

// TestTryAgainOnceASecond guards against a server that fails and gets more than one request a
// second.
func TestTryAgainOnceASecond(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Watch(now, []roster.Server{server}, true)
	assert.False(t, table.TryAgain(now.Add(time.Hour), server), "nothing has failed")
	for range 2 {
		table.Start(now, server, Short)
		table.End(now, server, Result{Answer: Unanswered, Sent: now})
	}
	tries := 0
	for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if table.TryAgain(at, server) {
			tries++
		}
	}
	assert.Equal(t, 4, tries)
	assert.False(t, table.Get(now.Add(tellTime-1), server).Unresponsive, "peers may not know that they fail too")
	assert.True(t, table.Get(now.Add(tellTime), server).Unresponsive)
	table.Pause(now, server, time.Minute)
	assert.False(t, table.TryAgain(now.Add(30*time.Second), server), "it wants no request")
}

func TestReach(t *testing.T) {
	undialable, silent, doubtful, sound := Snapshot{Undialable: true, Unresponsive: true}, Snapshot{Unanswered: 2, Unresponsive: true}, Snapshot{Unanswered: 2}, Snapshot{}
	for _, c := range []struct {
		name                              string
		list                              []Snapshot
		cut, dialable, responding, proven bool
	}{
		{"none", nil, false, true, true, true},
		{"one of two", []Snapshot{undialable, sound}, false, true, true, true},
		{"two of four", []Snapshot{undialable, undialable, sound, sound}, true, true, true, true},
		{"two of five", []Snapshot{undialable, undialable, sound, sound, sound}, false, true, true, true},
		{"all", []Snapshot{undialable}, false, false, false, false},
		{"one silent", []Snapshot{undialable, undialable, silent}, true, true, false, false},
		{"one doubtful", []Snapshot{undialable, undialable, silent, doubtful}, true, true, true, false},
		{"one sound", []Snapshot{undialable, undialable, silent, sound}, true, true, true, true},
	} {
		var r Reach
		for _, s := range c.list {
			r.Add(s)
		}
		got := []bool{r.MayBeCut(), !r.NoneDialable(), !r.NoneResponds(), !r.NoneProven()}
		assert.Equal(t, []bool{c.cut, c.dialable, c.responding, c.proven}, got, c.name)
	}
}
