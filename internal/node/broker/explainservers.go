package broker

import (
	"cmp"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/route/detail"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// queues describes the queues that can serve a request. b.mu must be held.
func (x *explainer) queues(w *waiter, v views) []detail.Queue {
	list := []detail.Queue{x.describeQueue(w, w.need, v.first, v)}
	if w.alternative != nil {
		list = append(list, x.describeQueue(w, *w.alternative, *v.alternative, views{first: *v.alternative}))
	}
	return list
}

// describeQueue describes the queue of the need. b.mu must be held.
func (x *explainer) describeQueue(w *waiter, n need, own view, all views) detail.Queue {
	b := x.broker
	q := b.queue(n.key)
	d := detail.Queue{
		Work: x.workOf(n.key), Order: string(cmp.Or(b.Admission, shed.Arrival)), Waiting: len(q.waiting), Units: n.size(),
		PerSecond: all.throughput(n), LongestWaitMs: detail.Ms(n.longestWait(x.now)),
	}
	if name := b.elected[n.key.service]; (n.key.prefills() || b.isBusy(n.key)) && !n.software.limited() && !x.now.Before(b.avoided[name]) {
		d.Coordinator = name
	}
	waiting := q.waiting
	if w.cost != nil && n.key == w.need.key {
		at, _ := q.position(w)
		waiting, d.Rank = q.waiting[:at], w.cost.rank
	}
	for _, other := range waiting {
		if n.competes(other.need) && (w.cost != nil || !n.precedes(other.need)) {
			d.Ahead++
			d.UnitsAhead += other.need.size()
		}
	}
	if !n.software.limited() && (w.cost == nil || b.coordinates(n.key)) {
		d.UnitsAhead += own.peerLoad.Waiting
	}
	d.WaitMs = detail.Ms(expectedWait(d.UnitsAhead+n.size(), d.PerSecond))
	return d
}

// servers describes the backend servers of the service. b.mu must be held.
func (x *explainer) servers(w *waiter) []detail.Server {
	all := x.broker.Roster.All(w.need.key.service)
	rows := make([]detail.Server, 0, len(all))
	index := make(map[string]*detail.Server, len(all))
	for _, s := range all {
		rows = append(rows, x.describeServer(s, w))
		index[s.ID] = &rows[len(rows)-1]
	}
	for _, n := range w.needs() {
		if n.key.prefills() {
			x.describePrefillers(n, index)
		} else {
			x.describeCandidates(n, index)
		}
	}
	return rows
}

// needs returns the needs for the first queue and for the second one, if there is one.
func (w *waiter) needs() []need {
	if w.alternative == nil {
		return []need{w.need}
	}
	return []need{w.need, *w.alternative}
}

// describeServer describes a backend server apart from the queues. b.mu must be held.
func (x *explainer) describeServer(s roster.Server, w *waiter) detail.Server {
	b := x.broker
	snapshot := b.Usage.Get(x.now, s)
	peerLoad := b.withoutGrants(s.Service, b.Peers.Server(s.Key()))
	row := detail.Server{
		ID: s.ID, AvailabilityZone: s.Zone, Role: string(s.Role), Running: snapshot.Running + peerLoad.Running + b.grantedByEngine[s.Key()].Requests,
		CachedTokens: b.kept.Tokens(s.Key(), w.need.chain), NotUsed: detail.OtherRole,
	}
	for _, n := range w.needs() {
		if n.key.role == s.Role {
			row.NotUsed = detail.OtherVersion
		}
	}
	switch {
	case s.State != roster.Ready:
		row.NotUsed = detail.Leaving
	case snapshot.Paused:
		row.NotUsed = detail.Paused
	case snapshot.Throttled && row.NotUsed != detail.OtherRole:
		row.NotUsed = detail.Throttled
	}
	return row
}

// describeCandidates describes the servers of a queue for work other than prefills. b.mu
// must be held.
func (x *explainer) describeCandidates(n need, index map[string]*detail.Server) {
	_, candidates, options := x.broker.candidates(x.now, n)
	x.broker.predictGaps(x.now, n, candidates, options, &assign.Request{})
	for i, unfit := range assign.Unfits(candidates) {
		row := index[options[i].ID]
		if row == nil {
			// It has joined since All.
			continue
		}
		row.Limit, row.GapMs = candidates[i].Limit, detail.Ms(candidates[i].Gap)
		if unfit == assign.FullOfWork {
			row.Limit = candidates[i].SameWorkLimit
		}
		x.explainUse(row, options[i], unfit)
	}
}

// describePrefillers describes the engines of a queue for prefills. b.mu must be held.
func (x *explainer) describePrefillers(n need, index map[string]*detail.Server) {
	_, engines, states, query := x.broker.prefillers(x.now, n)
	forecasts, unfits := assign.Forecasts(engines, query)
	for i, unfit := range unfits {
		row := index[states[i].server.ID]
		if row == nil {
			continue
		}
		row.Limit = states[i].limit
		row.WaitMs, row.FinishMs = detail.Ms(forecasts[i].Wait), detail.Ms(forecasts[i].Finish)
		x.explainUse(row, states[i].server, unfit)
	}
}

// explainUse fills in why a backend server is not used. b.mu must be held.
func (x *explainer) explainUse(row *detail.Server, s roster.Server, unfit assign.Unfit) {
	d := x.result.Decision
	snapshot := x.broker.Usage.Get(x.now, s)
	switch {
	case unfit == assign.Fit && d.Action == detail.Send && d.Server == s.ID:
		row.NotUsed = ""
	case unfit == assign.Fit && snapshot.Ejected:
		// All servers of its queue are ejected, and those of another queue are not.
		row.NotUsed = causeOf(assign.Ejected, snapshot, false)
	case unfit != assign.Fit:
		row.NotUsed = causeOf(unfit, snapshot, x.broker.connectionsUsed(s.Service, snapshot))
	case d.Action == detail.Send:
		row.NotUsed = detail.NotBest
	case d.Action == detail.HandOver:
		row.NotUsed = detail.Unreachable
	default:
		row.NotUsed = d.Reason
	}
}

// causeOf returns the cause for which a backend server can't be chosen.
func causeOf(unfit assign.Unfit, s usage.Snapshot, connectionsUsed bool) detail.Cause {
	switch {
	case unfit == assign.Ejected && s.Unreachable:
		return detail.Unreachable
	case unfit == assign.Ejected && s.Stalled:
		return detail.Stalled
	case unfit == assign.Full && s.Throttled:
		return detail.Throttled
	case unfit == assign.Full && connectionsUsed:
		return detail.Connections
	}
	return detail.Cause(unfit)
}
