// Package roster keeps the backend servers that have an entry in the store, with
// their addresses and whether they are leaving.
//
// If an entry is removed while the store is available, its backend server has
// left and is dropped at once. During a store outage, however, entries expire
// that their backend servers could not renew, and reappear soon after it. The
// caller says until when with Grace.Outage. An entry that is found to be removed
// before that is kept until then, and dropped if it has not reappeared: it may also be
// that of a backend server that has left since, so that the time is counted from the
// end of the outage and not from when the removal is found. The removal of at least
// half of all entries at once, and of at least three, also counts as an outage.
// These entries are kept for Grace.MassRemoval, which should be shorter, as
// backend servers that have really left get requests until then. An entry that is
// older than the known one, or written by an earlier incarnation, is ignored.
//
// A backend server that reports itself as Leaving never becomes ready again in
// that incarnation. One whose entry was removed becomes ready again if it writes
// an entry at a later revision of the store than that of the removal.
//
// # Usage
//
//	var servers roster.Roster
//	changes := servers.Replace(now, revision, list, roster.Grace{Outage: ended.Add(roster.OutageGrace)})
//	changes = servers.Update(now, revision, []roster.Event{{Server: server}}, roster.Grace{MassRemoval: time.Second})
//	for _, server := range servers.Service("jobs") { ... }
//
// The zero value is empty and ready to use. Every method is safe for concurrent
// use.
package roster

import (
	"maps"
	"sort"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// OutageGrace is how long after the end of a store outage removed entries are kept,
// for their backend servers to write them again.
const OutageGrace = 2200 * time.Millisecond

// Change is a change of a backend server's state.
type Change struct {
	Server Server
	Kind   ChangeKind
	// Removed is the store's revision at which the entry was found to be
	// removed; 0 if it was not.
	Removed uint64
	// Hold is set if the backend server is kept though its entry was removed, or was until
	// now; Held is for how long.
	Hold Hold
	Held time.Duration
}

// Hold says why and until when a backend server is kept whose entry was removed.
type Hold struct {
	Cause HoldCause
	Until time.Time
}

// HoldCause is why a backend server is kept.
type HoldCause string

// The causes: the entry may have expired in an outage of the store, or as its backend server
// and many others could not reach the store.
const (
	Outage      HoldCause = "Outage"
	MassRemoval HoldCause = "MassRemoval"
)

// Event is a change of an entry in the store.
type Event struct {
	// Server is the new entry. If it was removed, only the ID is set.
	Server  Server
	Removed bool
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Joined is a new backend server.
	Joined ChangeKind = "Joined"
	// Changed is a known backend server whose new entry is not just a heartbeat,
	// whose missing entry has reappeared, or that MarkLeaving has marked.
	Changed ChangeKind = "Changed"
	// Left is a backend server that is dropped as its entry was removed.
	Left ChangeKind = "Left"
	// Missing is a backend server that is kept although its entry was removed,
	// as the entry may have expired in a store outage.
	Missing ChangeKind = "Missing"
	// Gone is a missing backend server that is dropped, as its entry was not
	// written again in time.
	Gone ChangeKind = "Gone"
)

// entry is the state of a backend server.
type entry struct {
	server Server
	// expires is when a missing entry is dropped; zero if it is not missing. missing is
	// since when it is, cause is why it is kept.
	expires, missing time.Time
	cause            HoldCause
	// outage is set if it was surely removed before the store had settled after an outage:
	// it is no proof that the backend server leaves.
	outage bool
	// removed is the revision at which the entry was found to be removed; 0 if
	// it was not. dropped is when a backend server was dropped.
	removed uint64
	dropped time.Time
}

// Roster is the table of the backend servers in the store.
type Roster struct {
	mu      sync.RWMutex
	entries map[string]entry
	// ready caches the ready backend servers of each service, sorted by ID. It
	// is reset when a backend server changes.
	ready map[string][]Server
	// graceUntil is the end of the last grace period, in which removed entries
	// are kept; zero if there was none. graceCause is why.
	graceUntil time.Time
	graceCause HoldCause
	// longestHold is the longest time for which a backend server was kept.
	longestHold time.Duration
	// settled is when the store has settled after the last outage.
	settled time.Time
	// heldUntil is until when entries that were removed before that are kept in any case,
	// unless there is a complete list before.
	heldUntil time.Time
	// announced has the incarnations that have said themselves that they leave, by
	// ID, also those whose entry is gone.
	announced map[string]announcement
	// dropped has the last state of backend servers that were dropped, by ID.
	dropped map[string]entry
}

// announcement is that of an incarnation that leaves.
type announcement struct {
	born int64
	at   time.Time
}

// maxDropped bounds the backend servers that are remembered after they were dropped.
const maxDropped = 4096

const (
	// announcedRetention is how long announcements are kept if there are more than
	// maxAnnounced. No incarnation takes longer to leave.
	announcedRetention = time.Hour
	maxAnnounced       = 1024
)

// Grace states whether entries that are found to be removed may have expired in
// a store outage, and how long they are kept.
type Grace struct {
	// Outage is until when removed entries are kept because of an outage; zero if there
	// was none of late. If it is over, they are not kept. Settled is when the store has
	// surely not settled before: entries that are found to be removed earlier may be kept
	// for longer if the outage lasts, or another one begins.
	Outage, Settled time.Time
	// Few is until when they are kept at most if they, and those that were written again, are
	// less than a mass removal; zero if that makes no difference. An outage silences all
	// backend servers alike, so that a few that are missing after it are likely to have left.
	Few time.Time
	// MassRemoval is how long removed entries are kept if there was no known
	// outage, but many were removed at once.
	MassRemoval time.Duration
}

// Replace applies the complete list of entries at a revision and returns what
// changed.
func (r *Roster) Replace(now time.Time, revision uint64, servers []Server, grace Grace) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(servers))
	rewritten := 0
	for _, s := range servers {
		listed[s.ID] = true
		if r.rewrites(s) {
			rewritten++
		}
	}
	var missing []string
	for id := range r.entries {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	r.extendGrace(now, grace, len(missing), rewritten)
	r.heldUntil = time.Time{}
	var changes []Change
	for _, s := range servers {
		changes = r.set(changes, s)
	}
	for _, id := range missing {
		changes = r.remove(changes, now, id, revision)
	}
	return changes
}

// Update applies events up to a revision, in their order, and returns what
// changed.
func (r *Roster) Update(now time.Time, revision uint64, events []Event, grace Grace) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing, rewritten := 0, 0
	for _, e := range events {
		if _, known := r.entries[e.Server.ID]; known && e.Removed {
			missing++
		}
		if !e.Removed && r.rewrites(e.Server) {
			rewritten++
		}
	}
	r.extendGrace(now, grace, missing, rewritten)
	var changes []Change
	for _, e := range events {
		if e.Removed {
			changes = r.remove(changes, now, e.Server.ID, revision)
			continue
		}
		changes = r.set(changes, e.Server)
	}
	return changes
}

// minMassRemoval is the least number of entries that count as a mass removal.
const minMassRemoval = 3

// rewrites reports whether a server's entry is a later one than the known one, as after it had
// expired.
func (r *Roster) rewrites(s Server) bool {
	known, ok := r.entries[s.ID]
	return ok && s.Revision > known.server.Revision
}

// isMass reports whether so many entries are a mass removal.
func (r *Roster) isMass(count int) bool {
	return count >= minMassRemoval && 2*count >= len(r.entries)
}

// extendGrace updates graceUntil when so many entries were removed, and so many written again.
func (r *Roster) extendGrace(now time.Time, grace Grace, removed, rewritten int) {
	hold := Hold{}
	switch {
	case !grace.Outage.IsZero():
		hold, r.settled = Hold{Outage, r.outageUntil(grace, removed+rewritten)}, grace.Settled
		r.prolong(hold.Until)
	case r.isMass(removed):
		hold = Hold{MassRemoval, now.Add(grace.MassRemoval)}
	}
	if hold.Until.After(r.graceUntil) {
		r.graceUntil, r.graceCause = hold.Until, hold.Cause
	}
}

// MarkLeaving marks an incarnation as leaving, as reported by another process: its
// entry was removed at the revision or, if that is 0, has the state Leaving. sequence
// is that of its last entry, 0 if not known. The report is ignored if it is about
// another incarnation than the known one, or if the known entry was written after the
// removal.
func (r *Roster) MarkLeaving(id string, born int64, removed, sequence uint64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[id]
	if !known || e.server.Born != born || e.server.State == Leaving || e.writtenAfter(removed, sequence) {
		return nil
	}
	e.server.State, e.removed = Leaving, removed
	r.entries[id] = e
	r.ready = nil
	return []Change{{Server: e.server, Kind: Changed, Removed: removed}}
}

// Announce marks an incarnation as leaving, as it has said itself. It stays so even if
// its entry is removed and written again.
func (r *Roster) Announce(now time.Time, id string, born int64) []Change {
	r.mu.Lock()
	if r.announced == nil {
		r.announced = map[string]announcement{}
	}
	if len(r.announced) > maxAnnounced {
		maps.DeleteFunc(r.announced, func(_ string, a announcement) bool { return now.Sub(a.at) > announcedRetention })
	}
	r.announced[id] = announcement{born, now}
	r.mu.Unlock()
	return r.MarkLeaving(id, born, 0, 0)
}

// writtenAfter reports whether the entry was written after it was removed at the
// revision; 0 is none. In a later era of the store it may be a copy of one that was
// written before.
func (e entry) writtenAfter(removed, sequence uint64) bool {
	if removed == 0 || e.server.Revision <= removed {
		return false
	}
	return store.Era(e.server.Revision) == store.Era(removed) || e.server.Sequence > sequence
}

// Expire drops the missing entries that were not written again in time.
func (r *Roster) Expire(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changes []Change
	for id, e := range r.entries {
		held := e.outage && now.Before(r.heldUntil)
		if !e.expires.IsZero() && !now.Before(e.expires) && !held {
			changes = r.drop(changes, now, id, Gone, e.removed)
		}
	}
	return changes
}

// Prolong keeps the servers whose entries were removed before the store had settled as long as
// grace says, as the outage lasts.
func (r *Roster) Prolong(grace Grace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := 0
	for _, e := range r.entries {
		if e.outage {
			missing++
		}
	}
	r.prolong(r.outageUntil(grace, missing))
}

// outageUntil returns until when so many entries are kept because of an outage.
func (r *Roster) outageUntil(grace Grace, count int) time.Time {
	if !r.isMass(count) && !grace.Few.IsZero() && grace.Few.Before(grace.Outage) {
		return grace.Few
	}
	return grace.Outage
}

// prolong keeps them until a time. r.mu must be held.
func (r *Roster) prolong(until time.Time) {
	for id, e := range r.entries {
		if e.outage && until.After(e.expires) {
			e.expires = until
			r.entries[id] = e
		}
	}
}

// NextGone returns when the first of the servers is dropped whose entries were removed before
// the store had settled; zero if there are none.
func (r *Roster) NextGone() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var next time.Time
	for _, e := range r.entries {
		if e.outage && (next.IsZero() || e.expires.Before(next)) {
			next = e.expires
		}
	}
	return next
}

// LastMissing returns when the last of these entries was found to be removed; zero if there are
// none.
func (r *Roster) LastMissing() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var last time.Time
	for _, e := range r.entries {
		if e.outage && e.missing.After(last) {
			last = e.missing
		}
	}
	return last
}

// LongestHold returns the longest time for which a backend server was kept after its entry was
// found to be removed, of those that were dropped since.
func (r *Roster) LongestHold() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.longestHold
}

// Hold keeps the servers whose entries were removed before the store had settled until the
// next complete list, but at most until a time.
func (r *Roster) Hold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldUntil = until
}

// remove drops an entry that is no longer in the store, or marks it as missing if
// removed entries are kept at this time.
func (r *Roster) remove(changes []Change, now time.Time, id string, revision uint64) []Change {
	e, known := r.entries[id]
	switch {
	case !known:
		return changes
	case !now.Before(r.graceUntil):
		return r.drop(changes, now, id, Left, revision)
	case !e.expires.IsZero():
		return changes
	}
	e.expires, e.missing, e.cause = r.graceUntil, now, r.graceCause
	e.removed, e.outage = revision, now.Before(r.settled)
	r.entries[id] = e
	return append(changes, Change{Server: e.server, Kind: Missing, Removed: revision, Hold: e.hold()})
}

// hold returns why and until when a missing entry is kept.
func (e entry) hold() Hold { return Hold{e.cause, e.expires} }

// set applies an entry from the store.
func (r *Roster) set(changes []Change, server Server) []Change {
	if r.entries == nil {
		r.entries = map[string]entry{}
	}
	before, known := r.entries[server.ID]
	if known && !server.newer(before.server) || !known && r.dropped[server.ID].isCopyOf(server) {
		return changes
	}
	delete(r.dropped, server.ID)
	after := entry{server: server}
	if known && before.staysLeaving(server) {
		after.server.State, after.removed = Leaving, before.removed
	}
	if a, ok := r.announced[server.ID]; ok && a.born == server.Born {
		after.server.State = Leaving
	}
	r.entries[server.ID] = after
	// An entry that differs only in these fields is a heartbeat, not a change.
	heartbeat := before.server
	heartbeat.Sequence, heartbeat.WarmupLeft, heartbeat.Revision = server.Sequence, server.WarmupLeft, server.Revision
	if known && before.expires.IsZero() && heartbeat == after.server {
		r.refreshWarmup(after.server)
		return changes
	}
	r.ready = nil
	kind := Changed
	if !known {
		kind = Joined
	}
	return append(changes, Change{Server: after.server, Kind: kind, Removed: after.removed})
}

// isCopyOf reports whether an entry is what the store had of a backend server before it
// was dropped: the store came back from an older copy since, and the backend server has
// not written its entry again.
func (e entry) isCopyOf(listed Server) bool {
	return e.server.ID == listed.ID && e.server.Born == listed.Born && listed.Sequence <= e.server.Sequence &&
		store.Era(listed.Revision) > store.Era(e.removed)
}

// staysLeaving reports whether the backend server is leaving whatever the state
// of its newer entry.
func (e entry) staysLeaving(newer Server) bool {
	if e.server.Born != newer.Born || e.server.State != Leaving {
		return false
	}
	return e.removed == 0 || newer.Revision <= e.removed
}

// refreshWarmup resets the cached lists if they have an outdated WarmupLeft of
// the server.
func (r *Roster) refreshWarmup(server Server) {
	list := r.ready[server.Service]
	i := sort.Search(len(list), func(i int) bool { return list[i].ID >= server.ID })
	if i < len(list) && list[i].ID == server.ID && list[i].WarmupLeft != server.WarmupLeft {
		r.ready = nil
	}
}

// drop deletes an entry and appends a change of the kind.
func (r *Roster) drop(changes []Change, now time.Time, id string, kind ChangeKind, removed uint64) []Change {
	e := r.entries[id]
	change := Change{Server: e.server, Kind: kind, Removed: removed}
	if !e.missing.IsZero() {
		change.Hold, change.Held = e.hold(), now.Sub(e.missing)
		r.longestHold = max(r.longestHold, change.Held)
	}
	e.removed, e.dropped = removed, now
	if r.dropped == nil || len(r.dropped) >= maxDropped {
		r.dropped = map[string]entry{}
	}
	r.dropped[id] = e
	delete(r.entries, id)
	r.ready = nil
	return append(changes, change)
}

// Service returns the ready backend servers of a service, sorted by ID. The
// caller must not change the list.
func (r *Roster) Service(name string) []Server {
	r.mu.RLock()
	list, ok := r.ready[name]
	r.mu.RUnlock()
	if ok {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready == nil {
		r.ready = map[string][]Server{}
	}
	for _, e := range r.entries {
		if e.server.Service == name && e.server.State == Ready {
			list = append(list, e.server)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	r.ready[name] = list
	return list
}

// All returns the backend servers of a service in any state, sorted by ID.
func (r *Roster) All(service string) []Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Server
	for _, e := range r.entries {
		if e.server.Service == service {
			list = append(list, e.server)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// Find returns the known incarnation of a backend server, the zero Server if
// there is none, and whether it is the one that started at born and is ready.
func (r *Roster) Find(id string, born int64) (Server, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.entries[id].server
	return s, s.State == Ready && s.Born == born
}

// Versions returns the number of a service's backend servers by software version, those
// that are leaving included.
func (r *Roster) Versions(service string) map[string]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	count := map[string]int{}
	for _, e := range r.entries {
		if e.server.Service == service {
			count[e.server.Version]++
		}
	}
	return count
}

// Superseded reports whether an incarnation has ended, as a later one has its ID or its
// address. The entry of one that crashed may still be there.
func (r *Roster) Superseded(server Server) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for id, e := range r.entries {
		if (id == server.ID || e.server.Address == server.Address) && e.server.Born > server.Born {
			return true
		}
	}
	return false
}

// Len returns the number of backend servers, whether ready or not.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}
