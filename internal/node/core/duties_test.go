package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// TestUsageReports checks the reports where nothing fails but the clock of one VM, which is
// wrong by 7 s and jumps, and the cost of the store.
func TestUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 5)
		o.setWall("p2", 7*time.Second)
		o.run(20 * time.Second)
		o.setWall("p2", -time.Hour)
		writes := o.store.count()
		o.run(25 * time.Second)
		assert.InDelta(t, 25/1.25+25/5, o.store.count()-writes, 2, "renewals and one write for each window")
		o.rest()
		o.check(0, 1e-9)
		assert.Len(t, o.platform.holders, 1)
		assert.Equal(t, len(o.platform.bodies), o.platform.attempts, "each is sent once")
	})
}

// TestUsageReportsSurviveHolders checks that no window is lost or reported twice while holders
// are killed, stop as planned and start again, and responses of the platform are lost.
func TestUsageReportsSurviveHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 5)
		o.platform.fail(0.3)
		o.run(12 * time.Second)
		for range 3 {
			holder := o.platform.holder()
			o.kill(holder)
			o.run(11 * time.Second)
			o.start(holder)
			o.run(7300 * time.Millisecond)
			// A planned stop: the process sends its counts at once and gives up the lease.
			stopped := o.platform.holder()
			n := o.live()[stopped]
			n.stopping.Store(true)
			n.accounting.sendDue(time.Now())
			time.Sleep(1200 * time.Millisecond)
			o.kill(stopped)
			o.run(9 * time.Second)
			o.start(stopped)
			o.run(4 * time.Second)
		}
		o.platform.fail(0)
		o.rest()
		// Each kill loses the counts of up to a second.
		o.check(0, 0.01)
		assert.GreaterOrEqual(t, len(o.platform.holders), 6)
	})
}

// TestUsageReportsWhenAllStop guards against the loss of counts if all processes stop as planned
// within a second, while they still serve requests, and against their former counts being
// reported twice.
func TestUsageReportsWhenAllStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 4)
		o.run(13 * time.Second)
		for _, n := range o.live() {
			n.stopping.Store(true)
			n.accounting.sendDue(time.Now())
			o.run(300 * time.Millisecond)
		}
		o.run(time.Second)
		for name, n := range o.live() {
			n.accounting.Flush(t.Context(), time.Now())
			o.kill(name)
		}
		for i := range 4 {
			o.start(fmt.Sprint("p", i))
		}
		o.run(13 * time.Second)
		o.rest()
		o.check(0, 1e-9)
		_, err := o.store.Get(t.Context(), savedKey)
		assert.ErrorIs(t, err, store.ErrAbsent, "removed when its windows are reported")
	})
}

// TestUsageReportsOfEndedProcesses guards against the loss of counts that only one process still has:
// two of three stop as planned in the same window, one after the other, start again, and the first
// becomes the holder.
func TestUsageReportsOfEndedProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 3)
		o.run(13 * time.Second)
		holder := o.platform.holder()
		collectors := o.live()[holder].accounting.collectors()
		require.Equal(t, holder, collectors[0])
		for _, name := range collectors {
			o.stop(name)
		}
		o.run(200 * time.Millisecond)
		for _, name := range collectors {
			o.start(name)
		}
		o.run(13 * time.Second)
		o.rest()
		o.check(0, 1e-9)
		assert.Equal(t, holder, o.platform.holder())
	})
}

// TestUsageReportsOfCutOffProcesses guards against the loss of counts that a process saves as it stops
// while it reaches the store but no peer and a holder is running, also if it starts again at once,
// and against reads of the store while all processes live.
func TestUsageReportsOfCutOffProcesses(t *testing.T) {
	for _, again := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			o := newUsageFleet(t, 5)
			o.run(13 * time.Second)
			name := "p0"
			if o.platform.holder() == name {
				name = "p1"
			}
			reads := o.store.readsOf(savedKey)
			o.run(4 * time.Second)
			assert.Equal(t, reads, o.store.readsOf(savedKey), "nobody ended")
			o.partition(name)
			o.run(3 * time.Second)
			n := o.live()[name]
			n.stopping.Store(true)
			n.accounting.Flush(t.Context(), time.Now())
			o.kill(name)
			if again {
				o.partition()
				o.start(name)
			}
			o.run(15 * time.Second)
			o.rest()
			o.check(0, 1e-9)
			assert.LessOrEqual(t, o.store.readsOf(savedKey)-reads, 20, "once a second, while its end is not known")
		})
	}
}

// TestForwardsToItsOwnBuild guards against counts of ended processes that a process of the previous
// build would add to those of the sender.
func TestForwardsToItsOwnBuild(t *testing.T) {
	n := newNode(t)
	n.Duties = Duties{Address: n.Address, Reports: (&reports{}).from("a"), Era: func() uint64 { return 0 }, Window: 5 * time.Second, ReportWithin: 10 * time.Second}
	n.Prepare()
	n.peers.Replace([]peers.Member{{Name: "a"}, {Name: "b", Incarnation: 3}})
	for _, c := range []struct {
		status *wire.News
		want   int
	}{
		{&wire.News{Incarnation: 3, Sequence: 1}, 0},
		{&wire.News{Incarnation: 3, Sequence: 2, TakesEnded: true}, 1},
		{&wire.News{Incarnation: 4, Sequence: 1}, 0},
		{&wire.News{Incarnation: 5, Sequence: 1, TakesEnded: true}, 1},
	} {
		c.status.From = "b"
		n.handleStatus(c.status)
		assert.Len(t, n.accounting.receivers(n.accounting.collectors()), c.want)
	}
	status, _ := n.composeStatus()
	assert.True(t, status.TakesEnded)
}

// TestUsageReportsOfEarlyKills guards against the loss of more than a second of counts of a
// process that is killed before it knows true time, which takes 5 s with two peers.
func TestUsageReportsOfEarlyKills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 3)
		o.run(13 * time.Second)
		name := "p0"
		if o.platform.holder() == name {
			name = "p1"
		}
		const kills = 3
		for range kills {
			o.kill(name)
			o.start(name)
			o.run(3700 * time.Millisecond)
		}
		o.run(13 * time.Second)
		o.rest()
		o.check(0, 0.1)
		assert.InDelta(t, o.began()-kills*100/2, o.platform.total(t, "x"), kills*100/2)
	})
}

// TestUsageReportsOverAPartition checks that the counts of processes that are cut off from the
// others for less than 8 s after the end of a window are in its report, whether the holder is
// among them or not, and that the two sides do not act at the same time.
func TestUsageReportsOverAPartition(t *testing.T) {
	for _, holderCut := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			o := newUsageFleet(t, 5)
			o.run(13 * time.Second)
			holder := o.platform.holder()
			cut := slices.DeleteFunc([]string{"p0", "p1", "p2", "p3", "p4"}, func(name string) bool { return name == holder })[:2]
			if holderCut {
				cut[0] = holder
			}
			o.partition(cut...)
			o.run(7 * time.Second)
			o.partition()
			o.run(12 * time.Second)
			o.rest()
			o.check(0, 1e-9)
		})
	}
}

// TestUsageReportsAfterRestore checks that no window is reported twice after the store has lost
// the latest reports, and that reports go on.
func TestUsageReportsAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 4)
		o.run(23 * time.Second)
		before := o.platform.sent()
		o.store.goBack("duties")
		o.store.goBack("lease")
		o.run(30 * time.Second)
		o.rest()
		assert.Empty(t, o.platform.faults)
		assert.GreaterOrEqual(t, len(o.platform.bodies), before+5)
		assert.EqualValues(t, 2, o.platform.fence>>32)
	})
}

// TestUsageReportsAfterOutage checks that the windows of an outage of the store are reported
// when it is over.
func TestUsageReportsAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newUsageFleet(t, 4)
		o.run(12 * time.Second)
		o.store.set(true)
		o.run(15 * time.Second)
		o.store.set(false)
		o.run(15 * time.Second)
		o.rest()
		o.check(1, 1e-9)
	})
}

// TestFlushBeforeTheEnd checks that the last requests of a process that ends count: it sends
// the final counts of the window that is open.
func TestFlushBeforeTheEnd(t *testing.T) {
	n := newNode(t)
	n.Duties = Duties{Address: n.Address, Reports: (&reports{}).from("a"), Era: func() uint64 { return 0 }, Window: 5 * time.Second, ReportWithin: 10 * time.Second}
	n.Prepare()
	n.peers.Replace([]peers.Member{{Name: "a"}})
	n.accounting.Began("x", time.Now())
	n.accounting.Flush(t.Context(), time.Now())
	now := time.Now()
	window := report.WindowAt(now, 5*time.Second)
	assert.EqualValues(t, 1, n.accounting.collector.Totals(window)["x"]+n.accounting.collector.Totals(window - 1)["x"])
}

// TestNothingWithoutDuties checks that deployments without duties get no task, no object of
// the store and no byte more in messages.
func TestNothingWithoutDuties(t *testing.T) {
	n := newNode(t)
	n.Duties.Reports = (&reports{}).from("a")
	n.Prepare()
	assert.Empty(t, n.dutyTasks())
	assert.Nil(t, n.Broker.Counter)
	status, _ := n.composeStatus()
	assert.Zero(t, status.WallMs)
	assert.False(t, status.TakesEnded)
	assert.False(t, strings.Contains(n.Meters.JSON(), "DutyHolder"))
}

// FuzzUsage checks that usage messages of peers, whatever they have, neither panic nor take
// more memory than their bounds, and that the reports stay sound JSON.
func FuzzUsage(f *testing.F) {
	window := report.WindowAt(time.Now(), 5*time.Second)
	for _, m := range []*wire.News{
		{From: "b", Incarnation: 1, Usage: []*wire.WindowUsage{{Window: window, Final: true, Parts: 1, Accounts: []*wire.AccountUsage{{Account: "x", Requests: 3}}}}},
		{From: "b", WallMs: -1, Usage: []*wire.WindowUsage{{Window: -1 << 63, Final: true}, {Window: window + 1, Parts: 1 << 31, Final: true, Accounts: []*wire.AccountUsage{{}, {Requests: 1<<32 - 1}}}}},
		{From: "c", WallMs: 1<<63 - 1},
		{From: "c", Incarnation: 4, Usage: []*wire.WindowUsage{
			{Window: window, Final: true, Parts: 1, Process: "b", Incarnation: 1 << 63, Closed: true, Number: 1, Total: 2, Round: 1, Accounts: []*wire.AccountUsage{{Account: "x", Requests: 3}}},
			{Window: window, Process: "a", Number: 1 << 31, Total: 1<<32 - 1},
			{Number: 1, Total: 1, Round: -1 << 63},
		}},
		{From: "d", Incarnation: 2, EarlyReplaced: true, Early: []*wire.EarlyUsage{{Account: "x", AgeMs: 1<<32 - 1, Tick: 1<<32 - 1}, {}, {Account: "x", AgeMs: 3000, Requests: 1<<32 - 1}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.News
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		n := &Node{Name: "a", Log: zap.NewNop(), Duties: Duties{Window: 5 * time.Second, ReportWithin: 10 * time.Second}}
		a := newAccounting(n)
		now := time.Now()
		a.handle(now, &m)
		a.countEarly(now)
		a.Began("x", now)
		current := report.WindowAt(now, 5*time.Second)
		for w := current - 9; w <= current+9; w++ {
			a.collector.Complete(w, []report.Process{{Name: "a"}, {Name: "b", Incarnation: 1}})
			r := report.New(w, a.collector.Totals(w))
			if !json.Valid([]byte(r.Body)) || (w > current+2 || w < current-7) && len(a.collector.Totals(w)) > 0 {
				t.Fatal(r.Body)
			}
		}
	})
}
