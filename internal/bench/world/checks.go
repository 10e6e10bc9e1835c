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

// check runs the checkers that need the records of the whole run.
func (w *World) check() {
	runs := judge.Runs(w.Scene.Plains)
	add := func(list []judge.Violation) { w.violations = append(w.violations, list...) }
	add(judge.RunTwice(runs))
	add(judge.FalseNotRun(w.outcomes, runs))
	add(judge.FalseSuccess(w.outcomes, runs))
	add(judge.WrongResponses(w.outcomes))
	truncated := map[string]bool{}
	for name, e := range w.Scene.Engines {
		record := e.Recorded()
		add(judge.OrderViolations(name, record.Orders))
		for _, id := range record.Cut {
			truncated[id] = true
		}
	}
	add(judge.TruncatedByOrders(w.outcomes, truncated, func(o load.Outcome) bool {
		return o.ConnectionLost || o.Total >= o.Entry.Deadline || w.disrupted(w.Hosts[o.Target], o.Began, o.Began.Add(o.Total))
	}))
}

// uninformed excuses the call with this ID at a leaving server if the process
// that made it was disrupted in the period before, in which it should have
// received the drain. A request ID begins with the process's name.
func (w *World) uninformed(id string, at time.Time) bool {
	for _, h := range w.Hosts {
		if strings.HasPrefix(id, h.name+"-") {
			return w.disrupted(h, at.Add(-2*judge.LeavingWithin), at)
		}
	}
	return false
}

// listUnavailable excuses calls shortly after a time in which the platform's VM
// list could not be read.
func (w *World) listUnavailable(id string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(w.outages, at.Add(-2*judge.LeavingWithin), at)
}

// disrupted reports whether a host was paused, partitioned or restarted between
// from and to, or was still recovering from that.
func (w *World) disrupted(h *Host, from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return overlaps(h.disruptions, from, to)
}

// overlaps reports whether one of the disruptions overlaps the period.
func overlaps(list []disruption, from, to time.Time) bool {
	for _, d := range list {
		if d.start.Before(to) && (d.end.IsZero() || d.end.After(from)) {
			return true
		}
	}
	return false
}

// samplePeriod is the time between two checks of the active configurations.
const samplePeriod = 100 * time.Millisecond

// activationBound is how long after its acceptance a configuration must be
// active on every process.
const activationBound = 7 * time.Second

// checkConfig checks periodically that no process goes back to an older
// configuration or activates an accepted one too late.
func (w *World) checkConfig(ctx context.Context) {
	reported := map[string]bool{}
	for timer.Wait(ctx, samplePeriod) {
		now := time.Now()
		for _, h := range w.Hosts {
			node := h.live()
			if node == nil {
				continue
			}
			version := node.Config.Version()
			if node.Ready() && version < h.maxVersion {
				w.addViolation(judge.ConfigNeverReverts, "%s went back from configuration version %d to %d", h.name, h.maxVersion, version)
			}
			h.maxVersion = max(h.maxVersion, version)
			w.checkLate(h, version, now, reported)
		}
	}
}

// checkLate adds a violation if an accepted configuration is overdue on h, whose
// active version is given. Versions accepted before platformFaultUntil don't
// count, nor does any while the platform is faulty. reported has the keys of the
// violations that were added before.
func (w *World) checkLate(h *Host, version uint64, now time.Time, reported map[string]bool) {
	w.mu.Lock()
	var missing uint64
	for v, at := range w.accepted {
		if v > version && now.Sub(at) > activationBound && !w.platformFaulty && w.platformFaultUntil.Before(at) {
			missing = v
		}
	}
	at := w.accepted[missing]
	w.mu.Unlock()
	key := fmt.Sprintf("%s %d", h.name, missing)
	if missing == 0 || reported[key] || w.disrupted(h, at, now) {
		return
	}
	reported[key] = true
	w.addViolation(judge.ConfigInForceInTime, "%s still has configuration version %d, %v after version %d was accepted", h.name, version, now.Sub(at), missing)
}

// orderedRole returns the role in the last order that an engine received, or
// fallback if it received none.
func (w *World) orderedRole(name string, fallback spec.Role) spec.Role {
	orders := w.Scene.Engines[name].Recorded().Orders
	if len(orders) == 0 {
		return fallback
	}
	return orders[len(orders)-1].Order.Role
}

// leaseHolder returns the holder of the planner's lease of an availability zone,
// as stored in the platform; empty if there is none.
func (w *World) leaseHolder(zone string) string {
	object, ok := w.Scene.Platform.Peek("lease/planner/" + w.deployment.Name + "/" + zone)
	var record lease.Record
	if !ok || json.Unmarshal(object.Value, &record) != nil {
		return ""
	}
	return record.Holder
}
