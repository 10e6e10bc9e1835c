package core

import (
	"sync"
	"sync/atomic"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/clock"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
)

// usageCollectors is the number of processes that get the counts of all: the holder and the
// one that replaces it.
const usageCollectors = 2

// accounting counts the requests of clients and reports those of all processes, if this one
// holds the lease of the duties. It implements broker.Counter and is safe for concurrent use.
type accounting struct {
	node *Node
	// started is when this process started.
	started   time.Time
	clock     clock.Clock
	counter   report.Counter
	collector report.Collector
	machine   report.Machine
	// tracked is the value of machine.Skipped that the metric already includes.
	tracked int64

	// mu guards the fields below. requests began before true time was known, early counts
	// them, and sentEarly is set once their counts were sent.
	mu        sync.Mutex
	requests  []earlyRequest
	early     report.Early
	sentEarly bool
	// heard has the early counts of peers that came before true time was known here, ended the
	// counts of ended processes.
	heard []heardCounts
	ended []endedCounts

	// forwarder is used by Count only. reported is the window before which all are reported, as
	// far as this process knows.
	forwarder report.Forwarder
	reported  atomic.Int64
}

// newAccounting returns the accounting of a process with usage reports.
func newAccounting(n *Node) *accounting {
	d, now := n.Duties, time.Now()
	return &accounting{
		node: n, started: now, early: report.Early{Started: now}, counter: report.Counter{Window: d.Window}, collector: report.Collector{Window: d.Window},
		machine: report.Machine{Window: d.Window, ReportWithin: d.ReportWithin},
	}
}

// collectors returns the processes that get the counts.
func (a *accounting) collectors() []string {
	return a.node.peers.Coordinators(dutiesKey, a.node.stopping.Load(), usageCollectors)
}

// handle handles the clock and the counts of a peer.
func (a *accounting) handle(at time.Time, message *wire.News) {
	if message.From == "" || message.From == a.node.Name {
		return
	}
	if message.WallMs > 0 {
		a.clock.Observe(at, message.From, time.UnixMilli(message.WallMs))
	}
	a.handleEarly(at, message)
	if len(message.Usage) == 0 {
		return
	}
	now := a.clock.Time(at)
	for _, u := range message.Usage {
		if isForwarded(u) {
			a.handleForwarded(at, message, u)
			continue
		}
		p := decodeUsage(u)
		p.Replaces = message.EarlyReplaced
		a.collector.Add(now, message.From, message.Incarnation, p)
	}
}

// reportsUsage returns whether usage reports are a duty.
func (n *Node) reportsUsage() bool { return n.Duties.enabled() && n.Duties.Reports != nil }

// wallClock returns the wall clock for a status message, in milliseconds since 1970-01-01, or 0
// if no process uses it.
func (n *Node) wallClock() int64 {
	if n.accounting == nil {
		return 0
	}
	return time.Now().UnixMilli()
}
