package usage

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// MarkActive records that the backend server sent something. It then counts
// neither as stalled nor as unreachable.
func (t *Table) MarkActive(now time.Time, server roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.lastActive, r.heardAt, r.unreachable = now, now, false
	r.contact.respond(now)
}

// Undialable returns the backend servers to which the latest connection could not be made,
// in no particular order, also those that answer over connections that are open.
func (t *Table) Undialable() []Incarnation {
	return t.list(func(r *record) bool { return r.undialable })
}

// Stalled returns the backend servers that are stalled and may be reachable, in no
// particular order.
func (t *Table) Stalled(now time.Time) []Incarnation {
	return t.list(func(r *record) bool { return !r.undialable && r.stalled(now) })
}

// list returns the backend servers for whose records the condition holds.
func (t *Table) list(condition func(*record) bool) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Incarnation
	for k, r := range t.records {
		if condition(r) {
			list = append(list, k)
		}
	}
	return list
}

// stalled reports whether the backend server has requests in progress and has sent
// nothing for too long.
func (r *record) stalled(now time.Time) bool {
	return r.running > 0 && now.Sub(r.lastActive) > r.stallTime()
}

// MarkDialing records a connection attempt, so that Sweep does not delete the
// record meanwhile.
func (t *Table) MarkDialing(now time.Time, i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[i]; ok {
		r.lastUsed = now
	}
}

// MarkReachable records that a connection was made to a backend server. If it was
// unreachable, this ends its ejection; it stays on probation.
func (t *Table) MarkReachable(now time.Time, i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[i]
	if !ok {
		return
	}
	r.undialable = false
	if r.unreachable {
		r.unreachable = false
		r.ejectedUntil, r.lastUsed = now, now
	}
}

// MarkUnreachable records that a connection to a backend server could not be made,
// though no request needed one.
func (t *Table) MarkUnreachable(now time.Time, server roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now, t.record(server), Result{Verdict: Unreachable})
}
