package report

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// at returns a time in window 1000.
func at(seconds float64) time.Time {
	return time.Unix(5000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// summary describes messages.
func summary(list []Message) []string {
	var all []string
	for _, m := range list {
		all = append(all, fmt.Sprintf("%s %d final=%v %v", m.To, m.Part.Window, m.Part.Final, m.Part.Counts))
	}
	return all
}

// expect returns processes whose incarnations are not known.
func expect(names ...string) (list []Process) {
	for _, name := range names {
		list = append(list, Process{Name: name})
	}
	return list
}

// TestDue checks when counts are sent: once a second while they change, at the end of the
// window, and twice as final; also for windows without requests, which a collector waits for.
func TestDue(t *testing.T) {
	c := Counter{Window: 5 * time.Second}
	to := []string{"h"}
	assert.Len(t, c.Due(at(1), to, false), 2, "the windows before the start have no requests")
	c.Count(at(1.1), "x")
	assert.Equal(t, []string{"h 1000 final=false [{x 1}]"}, summary(c.Due(at(1.2), to, false)))
	c.Count(at(1.3), "x")
	assert.Empty(t, c.Due(at(1.4), to, false), "not more than once a second")
	assert.Len(t, c.Due(at(1.5), to, true), 1, "but at once if the process is about to end")
	assert.Len(t, c.Due(at(2.3), to, false), 2, "the final counts of the windows before once more")
	assert.Empty(t, c.Due(at(3.5), to, false), "unchanged")
	c.Count(at(4.9), "y")
	assert.Equal(t, []string{"h 1000 final=false [{x 2} {y 1}]"}, summary(c.Due(at(5), to, false)))
	assert.Equal(t, []string{"h 1000 final=true [{x 2} {y 1}]"}, summary(c.Due(at(5.6), to, false)))
	assert.Equal(t, []string{"h 1000 final=true [{x 2} {y 1}]"}, summary(c.Due(at(6.7), to, false)))
	assert.Empty(t, c.Due(at(9), to, false))
	assert.Equal(t, []string{"h 1001 final=true []"}, summary(c.Due(at(10.5), to, false)))
	assert.Len(t, c.Due(at(10.6), []string{"h", "new"}, false), 4, "a new collector gets all windows")
	c.Count(at(11), "x")
	assert.Equal(t, []string{"new 1002 final=true [{x 1}]"}, summary(c.Flush(at(11.1), []string{"new"})), "a process that ends has no further request")
}

// TestParts checks that each message fits a datagram of 1,200 bytes and that all parts of the
// final counts have to arrive.
func TestParts(t *testing.T) {
	c := Counter{Window: 5 * time.Second}
	for i := range 300 {
		for range 1 + i%7 {
			c.Count(at(1), fmt.Sprintf("account-with-a-long-name-%d", i))
		}
	}
	list := c.Due(at(5.5), []string{"h"}, false)
	var collector Collector
	collector.Window = c.Window
	parts := 0
	for _, m := range list {
		if m.Part.Window != 1000 {
			continue
		}
		assert.False(t, collector.Complete(1000, expect("a")))
		collector.Add(at(5.5), "a", 7, m.Part)
		parts++
		u := &wire.WindowUsage{Window: m.Part.Window, Final: true, Parts: uint32(m.Part.Parts)}
		for _, n := range m.Part.Counts {
			u.Accounts = append(u.Accounts, &wire.AccountUsage{Account: n.Account, Requests: n.Requests + 1<<30})
		}
		size := proto.Size(&wire.News{From: "a-process-with-a-rather-long-name", Incarnation: 1 << 62, Usage: []*wire.WindowUsage{u}})
		assert.LessOrEqual(t, size, 1200)
	}
	require.Greater(t, parts, 5)
	assert.True(t, collector.Complete(1000, expect("a")))
	assert.Len(t, collector.Totals(1000), 300)
	assert.EqualValues(t, 7, collector.Totals(1000)["account-with-a-long-name-6"])
}

// TestCollector checks that repeated and reordered counts count once, that a restarted process
// adds to its former counts, and that the counts of its new incarnation are waited for.
func TestCollector(t *testing.T) {
	c := Collector{Window: 5 * time.Second}
	add := func(process string, incarnation uint64, final bool, requests uint32) {
		c.Add(at(3), process, incarnation, Part{Window: 1000, Final: final, Parts: 1, Counts: []Count{{"x", requests}}})
	}
	add("a", 1, false, 5)
	add("a", 1, false, 3)
	add("b", 1, true, 10)
	assert.EqualValues(t, 15, c.Totals(1000)["x"])
	assert.False(t, c.Complete(1000, expect("a", "b")))
	assert.True(t, c.Complete(1000, expect("b")))
	add("a", 2, false, 4)
	assert.EqualValues(t, 19, c.Totals(1000)["x"])
	add("a", 1, true, 5)
	assert.False(t, c.Complete(1000, expect("a", "b")), "the new incarnation may count more")
	add("a", 2, true, 6)
	assert.True(t, c.Complete(1000, expect("a", "b")))
	assert.EqualValues(t, 21, c.Totals(1000)["x"])
	assert.Equal(t, `{"Window":1000,"Counts":{"x":21}}`, New(1000, c.Totals(1000)).Body)
	assert.Equal(t, `{"Window":1001,"Counts":{}}`, New(1001, c.Totals(1001)).Body)
	c.Add(at(31), "a", 2, Part{Window: 1006})
	assert.Empty(t, c.Totals(1000), "forgotten")
}

// TestCompleteWithRestart guards against a report without the counts of a process that has
// started again in the window, whose final counts its former incarnation has sent as it
// stopped, and against waiting for one that has started after the window.
func TestCompleteWithRestart(t *testing.T) {
	c := Collector{Window: 5 * time.Second}
	restarted := []Process{{"a", 2}}
	final := Part{Window: 1000, Final: true, Parts: 1, Counts: []Count{{"x", 5}}}
	c.Add(at(2), "a", 1, final)
	assert.True(t, c.Ended(Process{"a", 1}))
	assert.False(t, c.Ended(Process{"a", 2}), "it is started again")
	assert.False(t, c.Complete(1000, restarted))
	c.Add(at(5.6), "a", 2, final)
	assert.True(t, c.Complete(1000, restarted))
	assert.EqualValues(t, 10, c.Totals(1000)["x"])

	final.Window = 1001
	c.Add(at(10.6), "a", 2, final)
	assert.True(t, c.Complete(1001, []Process{{"a", 3}}), "it started after the window")
	c.Add(at(10.7), "a", 3, Part{Window: 1001})
	assert.False(t, c.Complete(1001, []Process{{"a", 3}}), "by its own counts before")
	assert.False(t, c.Complete(1001, []Process{{"a", 2}}), "it is known by its counts only")
}

// TestCountsSinceTheStart guards against the loss of the counts of a process that learned true
// time three short windows after its start.
func TestCountsSinceTheStart(t *testing.T) {
	c := Counter{Window: 5 * time.Second}
	c.Begin(at(1))
	c.Count(at(2), "x")
	assert.Equal(t, "h 1000 final=true [{x 1}]", summary(c.Due(at(16), []string{"h"}, false))[0])
}

// TestEarlyCounts guards against the loss of the counts of a process that is killed before it
// knows true time, and against counting them twice: in later messages, which arrive with another
// delay, and in the ordinary counts that replace them.
func TestEarlyCounts(t *testing.T) {
	c := Collector{Window: 5 * time.Second}
	e := Early{Started: at(3600)}
	for i := range 30 {
		e.Count(at(3600+float64(i)/10), "x")
		e.Count(at(3600+float64(i)/10), "x")
		e.Count(at(3600+float64(i)/10), fmt.Sprint("an account with a long name ", i))
	}
	for i, delay := range []float64{0.02, 0, 0.09} {
		now := 3603 + float64(i)
		parts := e.Due(at(now), false)
		assert.Greater(t, len(parts), 1)
		assert.Empty(t, e.Due(at(now+0.9), false), "once a second")
		assert.Len(t, e.Due(at(now+0.9), true), len(parts), "at once before the end")
		e.Due(at(now), true)
		for _, counts := range parts {
			message := &wire.News{From: "a-process-with-a-rather-long-name", Incarnation: 1 << 62}
			for _, n := range counts {
				message.Early = append(message.Early, &wire.EarlyUsage{Account: n.Account, AgeMs: uint32(n.Age.Milliseconds()), Requests: n.Requests + 1<<30, Tick: n.Tick})
			}
			assert.LessOrEqual(t, proto.Size(message), 1200)
			// The process started 1 s before the end of window 1000.
			arrived := at(now - 3596 + delay)
			c.AddEarly(arrived, arrived, "a", 1, counts)
		}
		assert.EqualValues(t, 20, c.Totals(1000)["x"])
		assert.EqualValues(t, 40, c.Totals(1001)["x"])
	}
	other := Collector{Window: 5 * time.Second}
	other.Restore(at(9), c.Save(0))
	assert.Equal(t, c.Totals(1000), other.Totals(1000))

	c.Add(at(10), "a", 1, Part{Window: 1000, Replaces: true, Counts: []Count{{"x", 19}}})
	assert.EqualValues(t, 19, c.Totals(1000)["x"])
	assert.EqualValues(t, 40, c.Totals(1001)["x"], "not replaced yet")
	assert.False(t, c.Complete(1001, []Process{{"a", 1}}))
	c.Add(at(10.6), "a", 1, Part{Window: 1001, Replaces: true, Final: true, Parts: 1, Counts: []Count{{"x", 41}}})
	assert.EqualValues(t, 41, c.Totals(1001)["x"])
}

// TestFinalPartsAreBounded guards against a peer that fills the memory with final parts, by a
// number of parts that no process has or by accounts whose counts are not kept.
func TestFinalPartsAreBounded(t *testing.T) {
	c := Collector{Window: 5 * time.Second}
	for i := range 3 * maxAccounts {
		final := Part{Window: 1000, Final: true, Parts: math.MaxInt32, Counts: []Count{{fmt.Sprint(i), 1}}}
		c.Add(at(5.5), "many", 1, final)
		final.Parts = maxAccounts
		c.Add(at(5.5), "most", 1, final)
	}
	c.Add(at(5.5), "long", 1, Part{Window: 1000, Final: true, Parts: 2, Counts: []Count{{strings.Repeat("x", maxName+1), 1}}})
	for name, most := range map[string]int{"many": 0, "most": maxAccounts, "long": 0} {
		s := c.windows[1000][name].shares[1]
		assert.LessOrEqual(t, len(s.finals), most, name)
		assert.LessOrEqual(t, len(s.counts), maxAccounts, name)
	}
	assert.True(t, c.Complete(1000, expect("most")), "the most accounts that a process counts, each in a part of its own")
	assert.False(t, c.Complete(1000, expect("many")))
	assert.False(t, c.Complete(1000, expect("long")))
}

// TestEnded checks that a process that has ended as planned is known by the final counts of the
// window that was open, until it is heard again.
func TestEnded(t *testing.T) {
	c := Collector{Window: 5 * time.Second}
	final := Part{Window: 1000, Final: true, Parts: 1}
	c.Add(at(5.6), "a", 1, final)
	assert.False(t, c.Ended(Process{Name: "a"}))
	c.Add(at(3), "b", 1, final)
	assert.True(t, c.Ended(Process{Name: "b"}))
	c.Add(at(3), "b", 1, final)
	assert.True(t, c.Ended(Process{Name: "b"}))
	c.Add(at(4), "b", 2, Part{Window: 1000})
	assert.False(t, c.Ended(Process{Name: "b"}))
	c.Add(at(4.9), "d", 1, final)
	c.Add(at(7), "d", 1, Part{Window: 1001})
	assert.False(t, c.Ended(Process{Name: "d"}), "its clock is ahead: it counts on in the next window")
	c.Add(at(4.9), "e", 1, final)
	c.Add(at(5), "e", 1, Part{Window: 1000})
	assert.True(t, c.Ended(Process{Name: "e"}), "an earlier message that arrives later")
}

// TestMachineWaits checks when a report is fixed: once all live processes have sent their final
// counts, without those of a silent one 2 s before it is due, and by a new holder of a late one
// after it had the time to get the counts.
func TestMachineWaits(t *testing.T) {
	c := &Collector{Window: 5 * time.Second}
	m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
	m.Begin(at(0))
	assert.Equal(t, Read, m.Decide(at(0), 0, c, nil).Kind)
	assert.NoError(t, m.Read(at(0), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(0), 0, nil, c))
	final := Part{Window: 1000, Final: true, Parts: 1}
	c.Add(at(5.5), "a", 1, final)
	assert.Equal(t, Wait, m.Decide(at(5.9), 0, c, expect("a")).Kind, "too early")
	assert.Equal(t, Wait, m.Decide(at(6), 0, c, expect("a", "b")).Kind, "one is missing")
	assert.Equal(t, Wait, m.Decide(at(12.9), 0, c, expect("a", "b")).Kind)
	assert.Equal(t, Fix, m.Decide(at(13), 0, c, expect("a", "b")).Kind, "as late as possible")
	m.Begin(at(14))
	assert.NoError(t, m.Read(at(14), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(14), 0, nil, c))
	assert.Equal(t, Wait, m.Decide(at(14), 0, c, expect("a", "b")).Kind)
	c.Add(at(14), "b", 1, final)
	assert.Equal(t, Fix, m.Decide(at(14), 0, c, expect("a", "b")).Kind)
	assert.Equal(t, Fix, m.Decide(at(29.9), 0, c, nil).Kind, "late")
	assert.Zero(t, m.Skipped())
	assert.Equal(t, Fix, m.Decide(at(40), 0, c, nil).Kind)
	assert.EqualValues(t, 3, m.Skipped(), "the counts are no longer kept")
}

// TestSavedCounts guards against the loss of counts that stopped processes have saved, against
// counting them twice, and against an object that stays when its windows are reported, is of an
// era before or has no counts.
func TestSavedCounts(t *testing.T) {
	first, second := &Collector{Window: 5 * time.Second}, &Collector{Window: 5 * time.Second}
	add := func(c *Collector, process string, requests uint32) {
		c.Add(at(3), process, 1, Part{Window: 1000, Final: true, Parts: 1, Counts: []Count{{"x", requests}, {"y", 1}}})
	}
	add(first, "a", 5)
	add(second, "a", 4)
	add(second, "b", 7)
	saved, err := ParseSaved(encoded(first.Save(1)))
	require.NoError(t, err)
	assert.EqualValues(t, 1000, second.Restore(at(4), saved))
	value := encoded(second.Save(1))
	for i, c := range []struct {
		value string
		era   uint64
		want  string
	}{
		{string(value), 1, `{"Window":1000,"Counts":{"x":12,"y":2}}`},
		{string(value), 2, `{"Window":1000,"Counts":{}}`},
		{`{"Era":1,"Accounts":["x"],"Shares":[{"Window":1000,"Counts":[3,4,0]},{"Window":9,"Counts":[0,1]}]}`, 1, `{"Window":1000,"Counts":{}}`},
		{"{", 1, `{"Window":1000,"Counts":{}}`},
	} {
		next := &Collector{Window: 5 * time.Second}
		m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
		m.Begin(at(4))
		record := Record{Era: c.era, Next: 1000}
		require.NoError(t, m.Read(at(4), store.Version(c.era, 3), record.Encode(), next))
		require.Equal(t, ReadSaved, m.Decide(at(4), c.era, next, nil).Kind)
		version := store.Version(c.era, 4)
		_ = m.ReadSaved(at(4), version, []byte(c.value), next)
		removals := 0
		for a := m.Decide(at(6.1), c.era, next, nil); a.Kind != Wait; a = m.Decide(at(6.1), c.era, next, nil) {
			if a.Kind == RemoveSaved {
				assert.Equal(t, version, a.Version)
				assert.True(t, i > 0 || m.next == 1001, "its counts are not reported")
				m.RemovedSaved()
				removals++
				continue
			}
			require.Equal(t, Fix, a.Kind)
			assert.Equal(t, c.want, a.Record.Report.Body)
			m.Fixed(store.Version(c.era, 5), a)
			m.Delivered(a.Record.Report)
		}
		assert.Equal(t, 1, removals)
		assert.EqualValues(t, 1001, m.next)
	}
}

// encoded returns the value of the store's object.
func encoded(s Saved) []byte {
	value, _ := s.Encode()
	return value
}

// TestSavedCountsBeyondTheLimit checks that the windows which are left out, the oldest, are named.
func TestSavedCountsBeyondTheLimit(t *testing.T) {
	var s Saved
	for i := range 4 {
		s.Shares = append(s.Shares, SavedShare{Window: int64(i / 2), Process: strings.Repeat("x", store.MaxValue/4)})
	}
	value, omitted := s.Encode()
	assert.Equal(t, []int64{0}, omitted)
	assert.LessOrEqual(t, len(value), store.MaxValue)
	saved, err := ParseSaved(value)
	require.NoError(t, err)
	assert.Equal(t, s.Shares[2:], saved.Shares)
}

// TestSavedCountsAreReadAgain checks when the holder reads saved counts again: at most once a second
// while a process is silent that has sent no final counts, and once at the end of that, at once,
// before a report is fixed.
func TestSavedCountsAreReadAgain(t *testing.T) {
	c, m := &Collector{Window: window}, &Machine{Window: window, ReportWithin: reportWithin, First: 1000}
	m.Begin(at(0))
	require.NoError(t, m.Read(at(0), 0, nil, c))
	reads := func(from, to float64, silent []Process, live map[string]uint64) (times []float64) {
		for second := from; second <= to; second += 0.25 {
			m.RereadSaved(at(second), c, silent, live)
			for a := m.Decide(at(second), 0, c, silent); a.Kind != Wait; a = m.Decide(at(second), 0, c, silent) {
				if a.Kind == Fix {
					m.Fixed(1, a)
					m.Delivered(a.Record.Report)
					continue
				}
				require.Equal(t, ReadSaved, a.Kind)
				require.NoError(t, m.ReadSaved(at(second), 0, nil, c))
				times = append(times, second)
			}
		}
		return times
	}
	assert.Equal(t, []float64{0}, reads(0, 4.75, nil, nil), "nobody ended")
	assert.Equal(t, []float64{5, 6, 7}, reads(5, 7.25, expect("b"), nil))
	assert.EqualValues(t, 1000, m.next, "a silent process is waited for")
	assert.Equal(t, []float64{7.5}, reads(7.5, 9.75, nil, map[string]uint64{"b": 2}), "it has started again: at once, as the report waits")
	assert.EqualValues(t, 1001, m.next)
	c.Add(at(10), "b", 1, Part{Window: 1001})
	assert.Equal(t, []float64{10}, reads(10, 10.75, nil, map[string]uint64{"b": 2}))
	c.Add(at(11), "b", 1, Part{Window: 1001, Final: true, Parts: 1})
	assert.Equal(t, []float64{11}, reads(11, 15, nil, map[string]uint64{"b": 2}), "its former counts are final")
}

// TestReportsDoNotWaitForSavedCounts guards against reports that are late while the object with
// saved counts cannot be read again.
func TestReportsDoNotWaitForSavedCounts(t *testing.T) {
	c, m := &Collector{Window: 5 * time.Second}, &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
	m.Begin(at(0))
	require.NoError(t, m.Read(at(0), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(0), 0, nil, c))
	silent := expect("a")
	for second := 2.0; second < 13; second++ {
		m.RereadSaved(at(second), c, silent, nil)
		require.Equal(t, ReadSaved, m.Decide(at(second), 0, c, silent).Kind, "which fails")
	}
	m.RereadSaved(at(13), c, silent, nil)
	assert.Equal(t, Fix, m.Decide(at(13), 0, c, silent).Kind)
}

// TestSavedCountsOfReportedWindows guards against a second report of a window whose counts were
// saved, if the object of the last report is removed by hand, and against the loss of saved
// counts if there was no report yet.
func TestSavedCountsOfReportedWindows(t *testing.T) {
	held := &Collector{Window: 5 * time.Second}
	held.Add(at(1), "a", 1, Part{Window: 999, Counts: []Count{{"x", 1}}})
	value, c := encoded(held.Save(0)), &Collector{Window: 5 * time.Second}
	m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
	for _, want := range []int64{999, 1000} {
		m.Begin(at(8))
		require.NoError(t, m.Read(at(8), 0, nil, c))
		require.NoError(t, m.ReadSaved(at(8), 7, value, c))
		a := m.Decide(at(13), 0, c, nil)
		if a.Kind == RemoveSaved {
			m.RemovedSaved()
			a = m.Decide(at(13), 0, c, nil)
		}
		require.Equal(t, Fix, a.Kind)
		assert.Equal(t, want, a.Record.Report.Window)
		m.Fixed(1, a)
		m.Delivered(a.Record.Report)
	}
}

// TestWrongTimeAtTheStart checks that a process whose clock is an hour ahead until it hears its
// peers counts and reports in true time after that.
func TestWrongTimeAtTheStart(t *testing.T) {
	c := &Collector{Window: 5 * time.Second}
	counter := &Counter{Window: 5 * time.Second}
	m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1720}
	m.Begin(at(3600))
	require.NoError(t, m.Read(at(3600), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(3600), 0, nil, c))
	require.Equal(t, Wait, m.Decide(at(3600), 0, c, nil).Kind)
	counter.Count(at(3600), "x")
	counter.Due(at(3600), []string{"h"}, false)
	counter.Count(at(1), "x")
	assert.Contains(t, summary(counter.Due(at(1), []string{"h"}, false)), "h 1000 final=false [{x 1}]")
	require.Equal(t, Read, m.Decide(at(1), 0, c, nil).Kind)
	require.NoError(t, m.Read(at(1), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(1), 0, nil, c))
	a := m.Decide(at(13), 0, c, nil)
	require.Equal(t, Fix, a.Kind)
	assert.EqualValues(t, 1000, a.Record.Report.Window)
}

// TestTimeFallsBack guards against a second report of a window by a holder whose time falls back
// by 20 s, as it has lost its peers and its own clock is wrong, and by a new holder of that kind.
// It neither reports before its time has caught up nor reads the store all the time.
func TestTimeFallsBack(t *testing.T) {
	c := &Collector{Window: 5 * time.Second}
	m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1009}
	m.Begin(at(45))
	require.NoError(t, m.Read(at(45), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(45), 0, nil, c))
	fixed := m.Decide(at(58), 0, c, nil)
	require.EqualValues(t, 1009, fixed.Record.Report.Window)
	m.Fixed(1, fixed)
	m.Delivered(fixed.Record.Report)
	next := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1006}
	next.Begin(at(38))
	require.NoError(t, next.Read(at(38), 1, fixed.Record.Encode(), c))
	require.NoError(t, next.ReadSaved(at(38), 0, nil, c))
	next.Delivered(fixed.Record.Report)
	for _, m := range []*Machine{m, next} {
		for second := 38.0; second < 56; second++ {
			require.Equal(t, Wait, m.Decide(at(second), 0, c, nil).Kind, "%v s", second)
		}
		assert.EqualValues(t, 1010, m.Decide(at(56), 0, c, nil).Record.Report.Window)
	}
}

// TestOddRecords checks that what another writer has put into the object stops no reports,
// and that they go on with the present window.
func TestOddRecords(t *testing.T) {
	for _, odd := range []string{"", "null", "7", "{", `{"Next":9e18}`, `{"Next":-1}`, `{"Next":900,"Report":{"Window":901,"Body":"x"}}`, `{"Next":9000000000}`} {
		c := &Collector{Window: 5 * time.Second}
		m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
		m.Begin(at(2))
		_ = m.Read(at(2), 3, []byte(odd), c)
		require.NoError(t, m.ReadSaved(at(2), 0, nil, c))
		a := m.Decide(at(13.1), 0, c, nil)
		require.Equal(t, Fix, a.Kind, odd)
		assert.GreaterOrEqual(t, a.Record.Report.Window, int64(997), odd)
		assert.LessOrEqual(t, a.Record.Report.Window, int64(1000), odd)
		assert.EqualValues(t, 3, a.Version, odd)
	}
}

// TestRefusedReportIsGivenUp checks that a report which the platform never accepts does not
// hold up the later ones.
func TestRefusedReportIsGivenUp(t *testing.T) {
	c := &Collector{Window: 5 * time.Second}
	m := &Machine{Window: 5 * time.Second, ReportWithin: 10 * time.Second, First: 1000}
	m.Begin(at(2))
	require.NoError(t, m.Read(at(2), 0, nil, c))
	require.NoError(t, m.ReadSaved(at(2), 0, nil, c))
	m.Fixed(1, m.Decide(at(13.1), 0, c, nil))
	for range maxRefusals - 1 {
		a := m.Decide(at(13.1), 0, c, nil)
		require.Equal(t, Send, a.Kind)
		assert.False(t, m.Refused(a.Report))
	}
	assert.True(t, m.Refused(m.Decide(at(13.1), 0, c, nil).Report))
	assert.Equal(t, Fix, m.Decide(at(18.1), 0, c, nil).Kind)
}
