package core

import (
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
)

// endedCounts are counts of an ended process that a peer has forwarded.
type endedCounts struct {
	from   string
	counts report.Forwarded
}

// observe records whether this process is a collector. True time must be known.
func (a *accounting) observe(at time.Time) {
	collectors := a.collectors()
	a.collector.Observe(a.clock.Time(at), slices.Contains(collectors, a.node.Name), a.receivers(collectors))
}

// receivers returns the collectors beside this process that handle forwarded counts, which
// processes of a previous build do not.
func (a *accounting) receivers(collectors []string) []report.Process {
	var list []report.Process
	for _, name := range collectors {
		if incarnation, takes := a.node.peers.TakesEnded(name); takes && name != a.node.Name {
			list = append(list, report.Process{Name: name, Incarnation: incarnation})
		}
	}
	return list
}

// forward sends the counts of processes that have ended to those that have become collectors.
// This process need not be one, but may have been one before.
func (a *accounting) forward(at time.Time) {
	if !a.clock.Settled(at) {
		return
	}
	members := a.liveIncarnations()
	// A report does not wait for this process once it is no member, but its counts are never those
	// of an ended one: it sends them itself.
	members[a.node.Name] = a.node.incarnation
	live := func(p report.Process) bool {
		latest, ok := members[p.Name]
		return ok && p.Incarnation >= latest
	}
	for _, m := range a.forwarder.Due(a.clock.Time(at), &a.collector, a.receivers(a.collectors()), a.reported.Load(), live) {
		a.node.coordination.push(m.To, &wire.News{
			Incarnation: a.node.incarnation, Usage: []*wire.WindowUsage{encodeForwarded(m.Forwarded)}, EarlyReplaced: m.Forwarded.Part.Replaces,
		})
	}
}

// handleForwarded handles counts of an ended process from a peer. Until true time is known they
// are kept, as they are not sent again later.
func (a *accounting) handleForwarded(at time.Time, message *wire.News, u *wire.WindowUsage) {
	f := decodeForwarded(u)
	f.Part.Replaces = message.EarlyReplaced
	if a.clock.Settled(at) {
		a.collector.AddForwarded(a.clock.Time(at), message.From, f)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ended) < maxHeard {
		a.ended = append(a.ended, endedCounts{message.From, f})
	}
}

// isForwarded reports whether counts are not those of the sender.
func isForwarded(u *wire.WindowUsage) bool { return u.Process != "" || u.Total > 0 }
