package report

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// onlyLive returns a function that reports whether a process is one of those that live.
func onlyLive(list ...Process) func(Process) bool {
	return func(p Process) bool {
		for _, l := range list {
			if l == p {
				return true
			}
		}
		return false
	}
}

// TestForward checks to whom counts of ended processes are forwarded and when: to a process that
// becomes a collector, three times, not more than four messages in a call, and once in 10 s to
// one that comes and goes.
func TestForward(t *testing.T) {
	c, f := Collector{Window: window}, Forwarder{}
	c.Observe(at(-9), true, nil)
	for i := range 6 {
		c.Add(at(5.6), fmt.Sprint("ended", i), 1, Part{Window: 1000, Final: true, Parts: 1, Counts: []Count{{"x", 1}}})
	}
	c.Add(at(5.6), "b", 2, Part{Window: 1000, Counts: []Count{{"x", 1}}})
	c.Add(at(5.6), "b", 3, Part{Window: 1000, Counts: []Count{{"x", 1}}})
	c.Add(at(5.6), "reported", 1, Part{Window: 999, Counts: []Count{{"x", 1}}})
	b := Process{"b", 3}
	due := func(seconds float64, to ...Process) int { return len(f.Due(at(seconds), &c, to, 1000, onlyLive(b))) }
	for _, want := range []struct {
		at       float64
		messages int
	}{{5.75, 4}, {6, 3}, {6.25, 4}, {6.5, 3}, {6.75, 0}, {7.25, 4}, {7.5, 3}, {7.75, 0}, {9, 0}} {
		assert.Equal(t, want.messages, due(want.at, b), "at %v s", want.at)
	}
	assert.Zero(t, due(10))
	assert.Zero(t, due(10.25, b), "within 10 s")
	assert.Zero(t, due(15.5, b))
	assert.Equal(t, 4, due(15.75, b), "listed again")
	assert.Zero(t, due(16))
	assert.Equal(t, 4, due(16.25, Process{"b", 4}), "started again")
	assert.Zero(t, due(16.5))
	assert.Equal(t, []ForwardMessage{{"b", Forwarded{Number: 1, Total: 1, Round: at(30.5).UnixMilli()}}}, f.Due(at(30.5), &c, []Process{b}, 1000, onlyLive(b)), "the windows are too old by now")
}

// TestForwardedCounts checks that what is forwarded, in messages of 1,200 bytes, lost, repeated
// and in another order, gives the receiver the same counts, final counts and planned ends.
func TestForwardedCounts(t *testing.T) {
	const name = "a-process-with-a-rather-long-name"
	from, to := Collector{Window: window}, Collector{Window: window}
	from.Observe(at(-9), true, []Process{{"h", 1}})
	counter := Counter{Window: window}
	for i := range 200 {
		counter.Count(at(1), fmt.Sprintf("account-with-a-long-name-%d", i))
	}
	for _, m := range counter.Flush(at(3), []string{"h"}) {
		from.Add(at(3), name, 7, m.Part)
	}
	from.Add(at(6), "killed", 1, Part{Window: 1000, Final: true, Parts: 1, Counts: []Count{{"x", 3}}})
	from.Add(at(6), "killed", 1, Part{Window: 1001, Counts: []Count{{"x", 4}}})
	from.AddEarly(at(6), at(6), "early", 1, []EarlyCount{{Account: "x", Requests: 2}})
	list := from.forwarded(at(6), 0, onlyLive())
	require.Greater(t, len(list), 5)
	for i := range list {
		// The last first, each twice.
		f := list[len(list)-1-i]
		u := &wire.WindowUsage{Window: f.Part.Window, Final: true, Parts: uint32(f.Part.Parts), Process: f.Process.Name, Incarnation: f.Process.Incarnation, Closed: true, Number: uint32(f.Number), Total: uint32(f.Total), Round: 1 << 41}
		for _, n := range f.Part.Counts {
			u.Accounts = append(u.Accounts, &wire.AccountUsage{Account: n.Account, Requests: n.Requests + 1<<30})
		}
		assert.LessOrEqual(t, proto.Size(&wire.News{From: name + name, Incarnation: 1 << 62, Usage: []*wire.WindowUsage{u}, EarlyReplaced: true}), 1200)
		to.AddForwarded(at(6), "other", f)
		to.AddForwarded(at(6), "other", f)
	}
	for number := int64(1000); number <= 1001; number++ {
		assert.Equal(t, from.Totals(number), to.Totals(number))
	}
	assert.True(t, to.Complete(1000, []Process{{name, 7}, {"killed", 1}}))
	assert.True(t, to.Ended(Process{name, 7}), "final counts before the end of the window")
	assert.False(t, to.Ended(Process{"killed", 1}))
	assert.False(t, to.Complete(1000, []Process{{name, 8}}), "its next incarnation may have counted in the window")
	assert.True(t, to.Complete(1000, []Process{{"killed", 2}}), "its next incarnation began after the window")
	to.AddForwarded(at(7), "other", Forwarded{Process: Process{"killed", 1}, Part: Part{Window: 1000, Final: true, Parts: 1}})
	assert.False(t, to.Ended(Process{"killed", 1}), "it counted in a later window")
}

// TestAwaitForwarded checks how long a report waits for counts that another collector may
// forward: until all its messages are there, 1.5 s, or 2 s before the report is due.
func TestAwaitForwarded(t *testing.T) {
	others := []Process{{"b", 1}}
	for name, test := range map[string]struct {
		do   func(c *Collector)
		from float64
	}{
		"1.5 s":              {func(*Collector) {}, 9.5},
		"nobody else":        {func(c *Collector) { c.Observe(at(8), true, nil) }, 8},
		"a collector before": {func(c *Collector) { c.Observe(at(8), false, others); c.intake.joined = at(4) }, 8},
		"incomplete":         {func(c *Collector) { c.AddForwarded(at(8), "b", Forwarded{Number: 2, Total: 2, Round: 1}) }, 9.5},
		"complete": {func(c *Collector) {
			c.AddForwarded(at(8), "b", Forwarded{Number: 2, Total: 2, Round: 1})
			c.AddForwarded(at(8), "b", Forwarded{Number: 1, Total: 2, Round: 1})
		}, 8},
		"complete, and another round": {func(c *Collector) {
			c.AddForwarded(at(8), "b", Forwarded{Number: 1, Total: 1, Round: 1})
			c.AddForwarded(at(8), "b", Forwarded{Number: 2, Total: 2, Round: 2})
		}, 8},
		"rounds of different counts": {func(c *Collector) {
			c.AddForwarded(at(8), "b", Forwarded{Number: 1, Total: 2, Round: 1})
			c.AddForwarded(at(8), "b", Forwarded{Number: 2, Total: 2, Round: 2})
		}, 9.5},
		"of a previous build":      {func(c *Collector) { c.AddForwarded(at(8), "b", Forwarded{Number: 1, Total: 1}) }, 9.5},
		"from no collector":        {func(c *Collector) { c.AddForwarded(at(8), "d", Forwarded{Number: 1, Total: 1, Round: 1}) }, 9.5},
		"not all that others have": {func(c *Collector) { c.AddForwarded(at(8), "b", Forwarded{Process: Process{"x", 1}}) }, 9.5},
	} {
		c := &Collector{Window: window}
		c.Observe(at(8), true, others)
		test.do(c)
		m := &Machine{Window: window, ReportWithin: reportWithin, First: 1000}
		m.Begin(at(6))
		require.NoError(t, m.Read(at(8), 0, nil, c))
		require.NoError(t, m.ReadSaved(at(8), 0, nil, c))
		for tenth := 80; tenth < 100; tenth++ {
			want := Wait
			if float64(tenth)/10 >= test.from {
				want = Fix
			}
			require.Equal(t, want, m.Decide(at(float64(tenth)/10), 0, c, nil).Kind, "%s, at %d", name, tenth)
		}
		c.intake.joined = at(12.8)
		c.intake.forwards = nil
		assert.Equal(t, Fix, m.Decide(at(13), 0, c, nil).Kind, "%s, before it is due", name)
	}
}

// TestInformed guards against a process that says that it forwards all counts while it may lack
// some: one that has just become a collector, or is none any more. A collector that has none says
// so.
func TestInformed(t *testing.T) {
	c := Collector{Window: window}
	forwarded := func(seconds float64) []Forwarded { return c.forwarded(at(seconds), 0, onlyLive()) }
	assert.Empty(t, forwarded(0), "never a collector")
	c.Observe(at(0), true, nil)
	assert.Empty(t, forwarded(1.4))
	assert.Equal(t, []Forwarded{{Number: 1, Total: 1, Round: at(1.5).UnixMilli()}}, forwarded(1.5))
	c.Observe(at(2), false, nil)
	assert.Empty(t, forwarded(2), "one that was a collector may lack what was sent since")
	c.Add(at(2), "ended", 1, Part{Window: 1000, Counts: []Count{{"x", 1}}})
	require.Len(t, forwarded(2), 1, "it forwards what it has")
	assert.Zero(t, forwarded(2)[0].Total)
	c.Observe(at(3), true, nil)
	assert.Zero(t, forwarded(3)[0].Total)
}
