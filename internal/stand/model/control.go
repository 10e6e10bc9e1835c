package model

import (
	"context"
	"slices"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

// maxEvents is how many cache events a report carries at most.
const maxEvents = 64

// Report gives the engine's account of itself as of Lag ago, with the newest
// cache events after since.
func (e *Engine) Report(ctx context.Context, since uint64) (engine.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return engine.Report{}, errDown
	}
	e.snapshot()
	lag := e.Lag + e.faults.Late
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

// snapshot records the present state as the newest report.
func (e *Engine) snapshot() {
	e.state.Sequence++
	r := e.state
	r.Running = len(e.running)
	r.Queued = len(e.waiting)
	for _, s := range e.waiting {
		r.QueuedTokens += s.prompt
	}
	for _, s := range e.running {
		r.QueuedTokens += s.prompt
	}
	r.KvTokens = e.held()
	r.CacheEvents = e.cache.recent(maxEvents, e.faults.LoseEvents)
	if n := len(e.reports); n > 0 && time.Since(e.reports[n-1].at) < reportSpacing {
		e.reports[n-1].report = r
		return
	}
	e.reports = append(e.reports, dated{time.Now(), r})
}

// reportSpacing is the least distance between two reports that are kept.
const reportSpacing = 10 * time.Millisecond

// Order takes an order. The engine is out of service while it carries it out,
// and streams that run by then are cut.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crashed || !e.started {
		return errDown
	}
	seen := SeenOrder{At: time.Now(), Order: order, During: e.changing}
	if order.ID == e.state.OrderID {
		return nil
	}
	switch {
	case e.ChecksFence && order.Fence < e.state.Fence:
		seen.Refused = engine.ErrStaleFence
	case e.changing != "":
		seen.Refused = engine.ErrBusy
	}
	e.record.Orders = append(e.record.Orders, seen)
	if seen.Refused != nil {
		return seen.Refused
	}
	for _, s := range append(e.running, e.waiting...) {
		e.record.Cut = append(e.record.Cut, s.id)
	}
	e.breakAll()
	e.take(order)
	if e.faults.LoseOrderAnswers > 0 {
		e.faults.LoseOrderAnswers--
		return errLost
	}
	return nil
}

// take begins to carry out an order.
func (e *Engine) take(order engine.Order) {
	e.state.OrderID = order.ID
	e.state.Fence = max(order.Fence, e.state.Fence)
	e.state.Changing = true
	e.changing = order.ID
	takes := e.Vendor.Change + e.fetch(order.Load)
	e.record.OutOfService += takes
	crash := e.faults.CrashInOrder
	e.faults.CrashInOrder = false
	if crash {
		e.faults.Crashed = true
	}
	time.AfterFunc(takes, func() { e.finish(order, crash) })
}

// fetch returns how long the engine waits for models that it does not have.
func (e *Engine) fetch(models []engine.Loaded) time.Duration {
	var longest time.Duration
	for _, m := range models {
		has := slices.ContainsFunc(e.state.Models, func(l engine.Loaded) bool { return l.Model == m.Model && l.Version == m.Version })
		if !has && e.Weights != nil {
			longest = max(longest, e.Weights.Fetch())
		}
	}
	return longest
}

// finish ends an order, or the crash that came of it: then the engine is up
// again in its old role and knows nothing of the order.
func (e *Engine) finish(order engine.Order, crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing != order.ID {
		return
	}
	e.changing = ""
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
