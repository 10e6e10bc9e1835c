package broker

import (
	"slices"

	"ebonyscale.example/ebonyscale/internal/route/detail"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// decideByCost is admitByCost for a request that is not sent. It works on copies of what
// admitByCost changes. b.mu must be held.
func (x *explainer) decideByCost(w *waiter, q *queue, v views) (detail.Decision, need) {
	b, stage := x.broker, &shed.Stage{}
	if q.shedding != nil {
		stage = q.shedding.stage.Clone()
	}
	w.cost = b.newCost(w, q)
	if w.since.After(w.cost.work.Latest) {
		if q.servesLate(w) {
			if d, used := x.sendOrWait(w, v); d.Action == detail.Send {
				return d, used
			}
		}
		return *x.rejection(rejectedByCost, 0), w.need
	}
	w.cost.member = stage.Arrive(w.since, &w.cost.work)
	w.assess(w.since, stage)
	at, first := q.position(w)
	d := detail.Decision{Action: detail.Wait, Reason: detail.Ahead}
	if first {
		var used need
		if d, used = x.sendOrWait(w, v); d.Action == detail.Send {
			return d, used
		}
	}
	if rate, refused := x.wouldShed(w, q.with(w, at), at, stage, v); refused {
		d = *x.rejection(rejectedByCost, expectedWait(q.waitingUnits()+w.need.size(), rate))
	}
	return d, w.need
}

// with returns a copy of the queue with another waiter at the position.
func (q *queue) with(w *waiter, at int) *queue {
	copied := *q
	copied.waiting = slices.Insert(slices.Clone(q.waiting), at, w)
	return &copied
}

// wouldShed reports whether shedQueue would reject the waiter at the position of the queue,
// and returns the rate of ownRate. b.mu must be held.
func (x *explainer) wouldShed(w *waiter, q *queue, at int, stage *shed.Stage, v views) (rate float64, refused bool) {
	first := q.firstUnbound()
	works := make([]*shed.Work, 0, len(q.waiting)-first)
	for _, other := range q.waiting[first:] {
		work := other.cost.work
		works = append(works, &work)
	}
	rate, units := x.broker.ownRate(q, q.waiting[first].need, v)
	refuse := shed.Choose(w.since, works, stage.Room(w.since, rate, float64(units)), nil)
	return rate, slices.Contains(refuse, at-first)
}
