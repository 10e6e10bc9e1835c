package model

import (
	"context"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// maxReportEvents is the largest number of cache events in a report.
const maxReportEvents = 64

// Connect returns the error that a connection to the engine fails with, if it is crashed
// or not started, a *call.Error.
func (e *Engine) Connect() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return errDown
	}
	return nil
}

// Report returns the engine's status report as of ReportAge ago, with those of
// the newest maxReportEvents cache events whose sequence numbers are greater than
// since. Until the first report is that old, it returns the first one. The error
// of an engine that is crashed or not started is a *call.Error.
func (e *Engine) Report(ctx context.Context, since uint64) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return engine.Report{}, errDown
	}
	e.snapshot()
	lag := e.ReportAge + e.faults.Late
	for len(e.reports) > 1 && time.Since(e.reports[1].at) >= lag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].report
	events := report.CacheEvents
	report.CacheEvents = nil
	for i, event := range events {
		if event.Sequence > since {
			report.CacheEvents = events[i:]
			break
		}
	}
	return report, nil
}

// snapshot records the current state as the newest report. Within
// minReportInterval of the last one it replaces the contents of that one. The
// caller must hold mu.
func (e *Engine) snapshot() {
	e.state.Sequence++
	r := e.state
	r.Running = len(e.running)
	r.Queued = len(e.waiting)
	for _, s := range e.waiting {
		r.QueuedTokens += s.prefillLeft
	}
	for _, s := range e.running {
		r.QueuedTokens += s.prefillLeft
	}
	r.KvTokens = e.kvInUse()
	r.CacheEvents = e.cache.recent(maxReportEvents, e.faults.LoseEvents)
	if n := len(e.reports); n > 0 && time.Since(e.reports[n-1].at) < minReportInterval {
		e.reports[n-1].report = r
		return
	}
	e.reports = append(e.reports, timedReport{time.Now(), r})
}

// minReportInterval is the shortest time between two reports that are kept.
const minReportInterval = 10 * time.Millisecond

// Order accepts an order: the engine truncates all streams and is out of
// service until the order is carried out. It returns engine.ErrStaleFence or
// engine.ErrBusy if the order is rejected, and nil without further effect if it
// is the last accepted order again. Any other error is a *call.Error.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return errDown
	}
	received := ReceivedOrder{At: time.Now(), Order: order, During: e.currentOrder}
	if order.ID == e.state.OrderID {
		return nil
	}
	switch {
	case e.ChecksFence && order.Fence < e.state.Fence:
		received.Refused = engine.ErrStaleFence
	case e.currentOrder != "":
		received.Refused = engine.ErrBusy
	}
	e.record.Orders = append(e.record.Orders, received)
	if received.Refused != nil {
		return received.Refused
	}
	for _, s := range append(e.running, e.waiting...) {
		e.record.Cut = append(e.record.Cut, s.id)
	}
	e.failStreams()
	e.startOrder(order)
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		return errResponseLost
	}
	return nil
}

// startOrder begins to carry out an order and schedules its end. The caller
// must hold mu.
func (e *Engine) startOrder(order engine.Order) {
	e.state.OrderID = order.ID
	e.state.Fence = max(order.Fence, e.state.Fence)
	e.state.Changing = true
	e.currentOrder = order.ID
	duration := e.Vendor.OrderDuration + e.loadDelay(order.Load)
	e.record.OutOfService += duration
	crash := e.faults.CrashInOrder
	e.faults.CrashInOrder = false
	if crash {
		e.faults.Crashed = true
	}
	time.AfterFunc(duration, func() { e.finishOrder(order, crash) })
}

// loadDelay returns how long the engine waits for the weights of models that are
// not in its memory: the longest wait of a single model.
func (e *Engine) loadDelay(models []engine.Loaded) time.Duration {
	var longest time.Duration
	for _, m := range models {
		loaded := slices.ContainsFunc(e.state.Models, func(l engine.Loaded) bool { return l.Model == m.Model && l.Version == m.Version })
		if !loaded && e.Weights != nil {
			longest = max(longest, e.Weights.Fetch())
		}
	}
	return longest
}

// finishOrder ends an order: the engine has its new role and models and an empty
// prefix cache. If crash is set, the order crashed the engine: it restarts in its
// old role and reports no order. finishOrder does nothing if the order is no
// longer the current one.
func (e *Engine) finishOrder(order engine.Order, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentOrder != order.ID {
		return
	}
	e.currentOrder = ""
	e.state.Changing = false
	if crash {
		e.faults.Crashed = false
		e.restart()
		e.state.OrderID = ""
		return
	}
	e.state.Role = order.Role
	if len(order.Load) > 0 {
		e.state.Models = order.Load
	}
	e.cache = cache{limit: e.CacheTokens, sequence: e.cache.sequence}
	e.signal()
}
