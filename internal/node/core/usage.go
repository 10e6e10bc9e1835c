package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/clock"
	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// usageKey is the key of the store's object with the usage report that was fixed last,
// savedKey that of the counts of processes that stopped without a collector.
const (
	usageKey = dutiesName + "/usage"
	savedKey = dutiesName + "/counts"
)

const (
	// countInterval is the period at which due counts are sent to the collectors,
	// reportInterval that at which the holder looks for a report to be fixed.
	countInterval  = 250 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// usageCollectors is the number of processes that get the counts of all: the holder and the
	// one that replaces it.
	usageCollectors = 2
	// minReportRetry and maxReportRetry bound the pause after a failed call.
	minReportRetry = 100 * time.Millisecond
	maxReportRetry = time.Second
	// minSaveRetry is the pause after counts could not be saved at the end of the process.
	minSaveRetry = 20 * time.Millisecond
	// maxEarly bounds the requests that are kept until true time is known.
	maxEarly = 4096
	// maxHeard bounds the messages of peers that are kept until then.
	maxHeard = 1024
)

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

// newAccounting returns the accounting of a process with usage reports.
func newAccounting(n *Node) *accounting {
	d, now := n.Duties, time.Now()
	return &accounting{
		node: n, started: now, early: report.Early{Started: now}, counter: report.Counter{Window: d.Window}, collector: report.Collector{Window: d.Window},
		machine: report.Machine{Window: d.Window, ReportWithin: d.ReportWithin},
	}
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

// save saves the counts that this process holds, its own and those of others, to the store.
func (a *accounting) save(ctx context.Context, now time.Time) {
	for _, m := range a.counter.Flush(now, []string{a.node.Name}) {
		a.send(now, m, nil)
	}
	retry := backoff.ExponentialBackOff{InitialInterval: minSaveRetry, Multiplier: 2, MaxInterval: maxReportRetry}
	retry.Reset()
	err := a.saveOnce(ctx, now)
	for err != nil && timer.Wait(ctx, retry.NextBackOff()) {
		err = a.saveOnce(ctx, now)
	}
	if err != nil {
		a.node.Log.Warn("usage counts could not be saved", zap.Error(err))
		return
	}
	a.node.Log.Info("usage counts saved, no process is left to take them")
}

// saveOnce merges the counts with those in the store.
func (a *accounting) saveOnce(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, savedKey)
	if err != nil {
		return err
	}
	// An object of an earlier era is replaced.
	if saved, err := report.ParseSaved(object.Value); err == nil && saved.Era == a.node.Duties.era() {
		a.collector.Restore(now, saved)
	}
	value := a.collector.Save(a.node.Duties.era()).Encode()
	_, err = a.node.Store.Put(ctx, store.Object{Key: savedKey, Value: value, Version: versionOf(object)})
	return err
}

// get reads an object. One that is absent has revision 0.
func (a *accounting) get(ctx context.Context, key string) (store.Object, error) {
	object, err := a.node.Store.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return store.Object{Version: store.Version(a.node.Duties.era(), 0)}, nil
	}
	if err != nil {
		return object, fmt.Errorf("read usage counts: %w", err)
	}
	return object, nil
}

// versionOf returns the version that a write replaces.
func versionOf(o store.Object) uint64 {
	if store.Revision(o.Version) == 0 {
		return 0
	}
	return o.Version
}

// collectors returns the processes that get the counts.
func (a *accounting) collectors() []string {
	return a.node.peers.Coordinators(dutiesKey, a.node.stopping.Load(), usageCollectors)
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

// encodeEarly returns the form of early counts in messages.
func encodeEarly(counts []report.EarlyCount) []*wire.EarlyUsage {
	list := make([]*wire.EarlyUsage, 0, len(counts))
	for _, c := range counts {
		list = append(list, &wire.EarlyUsage{Account: c.Account, AgeMs: uint32(c.Age.Milliseconds()), Requests: c.Requests, Tick: c.Tick})
	}
	return list
}

// decodeEarly returns the early counts of a message.
func decodeEarly(list []*wire.EarlyUsage) []report.EarlyCount {
	counts := make([]report.EarlyCount, 0, len(list))
	for _, c := range list {
		counts = append(counts, report.EarlyCount{
			Account: c.GetAccount(), Age: time.Duration(c.GetAgeMs()) * time.Millisecond, Requests: c.GetRequests(), Tick: c.GetTick(),
		})
	}
	return counts
}

// encodeUsage returns the form of a Part in messages.
func encodeUsage(p report.Part) *wire.WindowUsage {
	m := &wire.WindowUsage{Window: p.Window, Final: p.Final, Parts: uint32(p.Parts)}
	for _, c := range p.Counts {
		m.Accounts = append(m.Accounts, &wire.AccountUsage{Account: c.Account, Requests: c.Requests})
	}
	return m
}

// decodeUsage returns the Part of a message.
func decodeUsage(m *wire.WindowUsage) report.Part {
	p := report.Part{Window: m.Window, Final: m.Final, Parts: int(m.Parts)}
	for _, c := range m.Accounts {
		p.Counts = append(p.Counts, report.Count{Account: c.GetAccount(), Requests: c.GetRequests()})
	}
	return p
}

// Report reports the usage of all processes while ctx lasts, which ends with the grant of the
// token.
func (a *accounting) Report(ctx context.Context, fence uint64) error {
	for !a.clock.Settled(time.Now()) {
		if !timer.Wait(ctx, reportInterval) {
			return nil
		}
	}
	a.countEarly(time.Now())
	a.observe(time.Now())
	if a.machine.First == 0 {
		a.machine.First = report.WindowAt(a.clock.Time(a.started), a.node.Duties.Window)
	}
	a.machine.Begin(a.clock.Time(time.Now()))
	retry := backoff.ExponentialBackOff{InitialInterval: minReportRetry, Multiplier: 2, MaxInterval: maxReportRetry}
	retry.Reset()
	pause := time.Duration(0)
	for timer.Wait(ctx, pause) {
		grant, ok := a.node.holder.Grant()
		if !ok || grant.Fence != fence {
			return nil
		}
		now := a.clock.Time(time.Now())
		action := a.machine.Decide(now, a.node.Duties.era(), &a.collector, a.expected(time.Now()))
		a.reported.Store(a.machine.Reported())
		a.countSkipped()
		if action.Kind == report.Wait {
			pause = reportInterval
			continue
		}
		if err := a.act(ctx, now, grant, action); err != nil {
			pause = retry.NextBackOff()
			continue
		}
		pause = 0
		retry.Reset()
	}
	return nil
}

// expected returns the processes whose counts a report waits for: the live members, and those
// that have recently become silent without a planned end. They may be partitioned from this
// process and still serve clients.
func (a *accounting) expected(at time.Time) []report.Process {
	var list []report.Process
	for name, incarnation := range a.node.peers.LiveMembers() {
		if name == a.node.Name {
			incarnation = a.node.incarnation
		}
		list = append(list, report.Process{Name: name, Incarnation: incarnation})
	}
	for name, heard := range a.node.peers.Quiet() {
		member, _ := a.node.peers.Member(name)
		p := report.Process{Name: name, Incarnation: member.Incarnation}
		if !a.collector.Ended(p) && !heard.IsZero() && at.Sub(heard) < a.node.Duties.Window+a.node.Duties.ReportWithin {
			list = append(list, p)
		}
	}
	return list
}

// countSkipped updates the metric of skipped windows.
func (a *accounting) countSkipped() {
	if skipped := a.machine.Skipped(); skipped != a.tracked {
		a.node.Meters.Add("UsageWindowsSkipped", skipped-a.tracked)
		a.node.Log.Warn("windows are not reported, as their counts or reports may be lost", zap.Int64("Windows", skipped-a.tracked))
		a.tracked = skipped
	}
}

// act does what the machine wants. After an error it is to be asked again after a pause.
func (a *accounting) act(ctx context.Context, now time.Time, grant lease.Grant, action report.Action) error {
	switch action.Kind {
	case report.Read:
		return a.read(ctx, now)
	case report.Fix:
		return a.fix(ctx, grant, action)
	case report.Send:
		return a.deliver(ctx, grant, action.Report)
	case report.ReadSaved:
		return a.readSaved(ctx, now)
	case report.RemoveSaved:
		return a.removeSaved(ctx, action.Version)
	}
	return nil
}

// read reads the store's object.
func (a *accounting) read(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, usageKey)
	if err != nil {
		return err
	}
	if err := a.machine.Read(now, object.Version, object.Value, &a.collector); err != nil {
		a.node.Log.Error("record of usage reports can't be used and is replaced", zap.Error(err))
	}
	return nil
}

// readSaved reads the counts that stopped processes have saved.
func (a *accounting) readSaved(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, savedKey)
	if err != nil {
		return err
	}
	if err := a.machine.ReadSaved(now, object.Version, object.Value, &a.collector); err != nil {
		a.node.Log.Error("saved usage counts can't be used and are removed", zap.Error(err))
	}
	return nil
}

// removeSaved removes the saved counts once their windows are reported.
func (a *accounting) removeSaved(ctx context.Context, version uint64) error {
	_, err := a.node.Store.Put(ctx, store.Object{Key: savedKey, Version: version})
	if err == nil {
		a.machine.RemovedSaved()
		return nil
	}
	if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
		a.machine.UnsettledSaved()
	}
	return fmt.Errorf("remove usage counts: %w", err)
}

// fix writes a report to the store.
func (a *accounting) fix(ctx context.Context, grant lease.Grant, action report.Action) error {
	version, err := a.node.Store.Put(ctx, store.Object{Key: usageKey, Value: action.Record.Encode(), Version: action.Version})
	if err != nil {
		if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
			a.machine.Unsettled()
		}
		a.node.Log.Info("usage report could not be fixed", zap.Int64("Window", action.Record.Report.Window), zap.Error(err))
		return fmt.Errorf("fix usage report: %w", err)
	}
	a.machine.Fixed(version, action)
	a.node.Log.Info("usage report fixed", zap.Int64("Window", action.Record.Report.Window), zap.Uint64("Fence", grant.Fence))
	return nil
}

// deliver sends a report that is fixed.
func (a *accounting) deliver(ctx context.Context, grant lease.Grant, r report.Report) error {
	err := a.node.Duties.Reports.ReportUsage(ctx, grant, r)
	now := a.clock.Time(time.Now())
	late := now.After(report.EndOf(r.Window, a.node.Duties.Window).Add(a.node.Duties.ReportWithin))
	fields := []zap.Field{zap.Int64("Window", r.Window), zap.Uint64("Fence", grant.Fence), zap.Bool("Late", late)}
	if err != nil {
		a.node.Meters.Add("UsageReportsFailed", 1)
		a.node.Log.Info("usage report was not delivered", append(fields, zap.Error(err))...)
		if !errors.Is(err, duty.ErrRefused) && !errors.Is(err, duty.ErrNoneLeft) {
			a.machine.Failed()
		} else if a.machine.Refused(r) {
			a.node.Log.Error("usage report is given up, the platform refuses it", fields...)
		}
		return err
	}
	a.machine.Delivered(r)
	a.node.Meters.Add("UsageReportsSent", 1)
	if late {
		a.node.Meters.Add("UsageReportsLate", 1)
	}
	a.node.Log.Info("usage report delivered", fields...)
	return nil
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
