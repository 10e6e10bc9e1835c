package core

import (
	"context"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
)

const (
	// countInterval is the period at which due counts are sent to the collectors.
	countInterval = 250 * time.Millisecond
	// maxEarly bounds the requests that are kept until true time is known.
	maxEarly = 4096
	// maxHeard bounds the messages of peers that are kept until then.
	maxHeard = 1024
)

// earlyRequest is a request that began at a time of this process's clock.
type earlyRequest struct {
	account string
	at      time.Time
}

// heardCounts are early counts of a peer that came at a time of this process's clock.
type heardCounts struct {
	at          time.Time
	from        string
	incarnation uint64
	counts      []report.EarlyCount
}

// Began implements broker.Counter.
func (a *accounting) Began(account string, at time.Time) {
	if account == "" {
		return
	}
	if !a.clock.Settled(at) && a.keepEarly(account, at) {
		return
	}
	a.counter.Count(a.clock.Time(at), account)
}

// keepEarly keeps a request until true time is known. It returns false if there are too many.
func (a *accounting) keepEarly(account string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.requests) >= maxEarly {
		return false
	}
	a.requests = append(a.requests, earlyRequest{account, at})
	a.early.Count(at, account)
	return true
}

// countEarly counts the requests that began before true time was known, also those of peers.
func (a *accounting) countEarly(at time.Time) {
	a.mu.Lock()
	requests, heard, ended := a.requests, a.heard, a.ended
	a.requests, a.heard, a.ended, a.early = nil, nil, nil, report.Early{Started: a.started}
	a.mu.Unlock()
	for _, r := range requests {
		a.counter.Count(a.clock.Time(r.at), r.account)
	}
	for _, h := range heard {
		a.collector.AddEarly(a.clock.Time(at), a.clock.Time(h.at), h.from, h.incarnation, h.counts)
	}
	for _, e := range ended {
		a.collector.AddForwarded(a.clock.Time(at), e.from, e.counts)
	}
}

// sendEarly sends the counts of the requests so far to the collectors, by their age, as true
// time is not known.
func (a *accounting) sendEarly(at time.Time) {
	collectors := a.collectors()
	if len(collectors) == 0 || len(collectors) == 1 && collectors[0] == a.node.Name {
		return
	}
	a.mu.Lock()
	parts := a.early.Due(at, a.node.stopping.Load())
	a.sentEarly = a.sentEarly || len(parts) > 0
	a.mu.Unlock()
	for _, counts := range parts {
		for _, to := range collectors {
			if to != a.node.Name {
				a.node.coordination.push(to, &wire.News{Incarnation: a.node.incarnation, Early: encodeEarly(counts)})
			}
		}
	}
}

// handleEarly handles early counts of a peer.
func (a *accounting) handleEarly(at time.Time, message *wire.News) {
	if len(message.Early) == 0 {
		return
	}
	counts := decodeEarly(message.Early)
	if a.clock.Settled(at) {
		now := a.clock.Time(at)
		a.collector.AddEarly(now, now, message.From, message.Incarnation, counts)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.heard) < maxHeard {
		a.heard = append(a.heard, heardCounts{at, message.From, message.Incarnation, counts})
	}
}

// Count sends the counts of this process to the collectors until ctx ends and returns its
// error.
func (a *accounting) Count(ctx context.Context) error {
	for timer.Wait(ctx, countInterval) {
		a.sendDue(time.Now())
		a.forward(time.Now())
	}
	return ctx.Err()
}

// sendDue sends what is due at a time.
func (a *accounting) sendDue(at time.Time) {
	if !a.clock.Settled(at) {
		a.sendEarly(at)
		return
	}
	a.countEarly(at)
	a.observe(at)
	now, stopping := a.clock.Time(at), a.node.stopping.Load()
	a.counter.Begin(a.clock.Time(a.started))
	for _, m := range a.counter.Due(now, a.collectors(), stopping) {
		a.send(now, m, a.node.coordination.push)
	}
}

// Flush passes on the final counts of a process that ends, until ctx ends: to the collectors
// or, if all processes that are live are stopping too, to the store.
func (a *accounting) Flush(ctx context.Context, at time.Time) {
	a.countEarly(at)
	now, mesh, collectors := a.clock.Time(at), a.node.mesh(), a.collectors()
	if len(collectors) == 0 {
		a.save(ctx, now)
		return
	}
	for _, m := range a.counter.Flush(now, collectors) {
		a.send(now, m, func(to string, message *wire.News) {
			if member, ok := a.node.peers.Member(to); ok {
				message.From = a.node.Name
				mesh.SendTo(message, member)
			}
		})
	}
}

// send passes counts to a collector, which may be this process.
func (a *accounting) send(now time.Time, m report.Message, push func(to string, message *wire.News)) {
	if m.To == a.node.Name {
		a.collector.Add(now, a.node.Name, a.node.incarnation, m.Part)
		return
	}
	a.mu.Lock()
	replaced := a.sentEarly
	a.mu.Unlock()
	push(m.To, &wire.News{Incarnation: a.node.incarnation, Usage: []*wire.WindowUsage{encodeUsage(m.Part)}, EarlyReplaced: replaced})
}
