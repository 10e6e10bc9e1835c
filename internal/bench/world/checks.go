package world

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/state/lease"
)

// judge applies the checkers.
func (w *World) judge() {
	runs := judge.Runs(w.Scene.Plains)
	add := func(list []judge.Violation) { w.violations = append(w.violations, list...) }
	add(judge.RunTwice(runs))
	add(judge.FalseNotRun(w.outcomes, runs))
	add(judge.SaidRun(w.outcomes, runs))
	add(judge.Answers(w.outcomes))
	cut := map[string]bool{}
	for name, e := range w.Scene.Engines {
		seen := e.Seen()
		add(judge.Orders(name, seen.Orders))
		for _, id := range seen.Cut {
			cut[id] = true
		}
	}
	add(judge.CutByOrders(w.outcomes, cut, func(o load.Outcome) bool {
		return o.Lost || o.Total >= o.Entry.Deadline || w.disturbed(w.Hosts[o.Target], o.Began, o.Began.Add(o.Total))
	}))
}

// couldNotKnow excuses calls of processes that were cut off or stood still in
// the time within which they should have heard.
func (w *World) couldNotKnow(id string, at time.Time) bool {
	for _, h := range w.Hosts {
		if strings.HasPrefix(id, h.name+"-") {
			return w.disturbed(h, at.Add(-2*judge.LeavingWithin), at)
		}
	}
	return false
}

// listUnknown excuses also calls at a time when the list of VMs could not be
// read.
func (w *World) listUnknown(id string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(w.outages, at.Add(-2*judge.LeavingWithin), at)
}

// disturbed reports whether a host was paused, cut off or restarted within the
// time.
func (w *World) disturbed(h *Host, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(h.disturbances, from, to)
}

func overlaps(list []disturbance, from, to time.Time) bool {
	for _, d := range list {
		if d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// sampleEvery is the time between two looks at the configurations in force.
const sampleEvery = 100 * time.Millisecond

// inForceWithin is the bound for an accepted configuration.
const inForceWithin = 7 * time.Second

// watchConfig looks for configurations that revert or come too late.
func (w *World) watchConfig(ctx context.Context) {
	late := map[string]bool{}
	for timer.Wait(ctx, sampleEvery) {
		now := time.Now()
		for _, h := range w.Hosts {
			node := h.live()
			if node == nil {
				continue
			}
			version := node.Config.Version()
			if node.Ready() && version < h.highest {
				w.violate(judge.ConfigNeverReverts, "%s went from version %d to %d", h.name, h.highest, version)
			}
			h.highest = max(h.highest, version)
			w.checkLate(h, version, now, late)
		}
	}
}

func (w *World) checkLate(h *Host, version uint64, now time.Time, late map[string]bool) {
	w.mu.Lock()
	var missing uint64
	for v, at := range w.accepted {
		if v > version && now.Sub(at) > inForceWithin && !w.platform && w.shaken.Before(at) {
			missing = v
		}
	}
	at := w.accepted[missing]
	w.mu.Unlock()
	key := fmt.Sprintf("%s %d", h.name, missing)
	if missing == 0 || late[key] || w.disturbed(h, at, now) {
		return
	}
	late[key] = true
	w.violate(judge.ConfigInForceInTime, "%s has version %d, %v after %d was accepted", h.name, version, now.Sub(at), missing)
}

// lastRole returns the role that an engine was last ordered to have.
func (w *World) lastRole(name string, otherwise spec.Role) spec.Role {
	orders := w.Scene.Engines[name].Seen().Orders
	if len(orders) == 0 {
		return otherwise
	}
	return orders[len(orders)-1].Order.Role
}

// holder returns who holds the planner's lease of a zone, as the platform has
// it.
func (w *World) holder(zone string) string {
	object, ok := w.Scene.Platform.Peek("lease/planner/" + w.deployment.Name + "/" + zone)
	var record lease.Record
	if !ok || json.Unmarshal(object.Value, &record) != nil {
		return ""
	}
	return record.Holder
}
