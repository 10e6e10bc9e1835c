package core

import (
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// tableView activates the configuration of the store. It implements
// follow.View.
type tableView struct{ node *Node }

// Replace implements follow.View.
func (v *tableView) Replace(page store.Page, _ bool) { v.Change(page) }

// Change implements follow.View.
func (v *tableView) Change(page store.Page) {
	key := v.node.Keys.TableKind + "/" + v.node.Keys.TableName
	for _, o := range page.Objects {
		if o.Key == key && !o.Removed {
			v.node.activate(o.Value, "store")
		}
	}
}

// activate parses a configuration and makes it the active one if its version is
// higher than that of the active one. An invalid configuration is logged and
// ignored. source names where the configuration came from, for the log.
func (n *Node) activate(data []byte, source string) {
	t, err := table.Parse(data)
	if err != nil {
		n.Log.Error("configuration cannot be used", zap.String("Source", source), zap.Uint64("InForce", n.Version()), zap.String("error", short(err.Error())))
		return
	}
	if t.Version <= n.Version() {
		return
	}
	document, err := table.WithoutKeys(t, data)
	if err != nil {
		n.Log.Error("configuration can't be given to peers", zap.Uint64("Version", t.Version), zap.Error(err))
	}
	n.mu.Lock()
	previous := n.Version()
	if t.Version > previous {
		n.table.Store(t)
		n.document = document
	}
	n.mu.Unlock()
	if t.Version <= previous {
		return
	}
	n.Log.Info("configuration is active", zap.Uint64("Version", t.Version), zap.Uint64("Before", previous),
		zap.String("Source", source), zap.Int("Routes", len(t.Routes)))
	n.reportAccounts(t)
	for _, f := range t.Faults {
		n.Log.Error("part of the configuration is not used", zap.Uint64("Version", t.Version), zap.String("error", short(f.String())))
	}
	n.Meters.Add("TableChanges", 1)
	n.Broker.Dispatch(time.Now())
}

// serversView applies the backend servers' store entries to the roster. It
// implements follow.View.
type serversView struct{ node *Node }

// Replace implements follow.View.
func (v *serversView) Replace(page store.Page, outage bool) {
	n, now := v.node, time.Now()
	servers := make([]roster.Server, 0, len(page.Objects))
	for _, o := range page.Objects {
		if s, ok := n.parseServer(o); ok {
			servers = append(servers, s)
		}
	}
	n.handleChanges(n.roster.Replace(now, page.Revision, servers, n.grace(now, outage)))
	n.serversListed.Store(true)
}

// Change implements follow.View.
func (v *serversView) Change(page store.Page) {
	n, now := v.node, time.Now()
	events := make([]roster.Event, 0, len(page.Objects))
	for _, o := range page.Objects {
		s, ok := n.parseServer(o)
		if o.Removed || !ok {
			events = append(events, roster.Event{Server: roster.Server{ID: objectName(o)}, Removed: true})
			continue
		}
		events = append(events, roster.Event{Server: s})
	}
	n.handleChanges(n.roster.Update(now, page.Revision, events, n.grace(now, false)))
}

// grace returns how long the roster keeps servers whose entries are found removed
// now, since the entries may only have expired during a store outage. Those removed
// in mass are kept for LeaveWithin, counted from the removal, less leaveMargin, but at most
// for roster.OutageGrace.
func (n *Node) grace(now time.Time, outage bool) roster.Grace {
	g := roster.Grace{MassRemoval: max(min(n.LeaveWithin-n.foundAfter()-leaveMargin, roster.OutageGrace), 0)}
	last, known := n.health.Last(now)
	switch {
	case known && now.Before(last.Seen.Add(roster.OutageGrace)):
		g.Outage, g.Settled = n.keepUntil(last), last.NotBefore.Add(n.settledAfter())
		if n.LeaveWithin > 0 {
			g.Few = firstAnswer(last).Add(n.LeaveWithin - leaveMargin)
		}
	case !known && outage:
		g.Outage, g.Settled = now.Add(roster.OutageGrace), now.Add(n.settledAfter())
	}
	return g
}

// firstAnswer returns the earliest time at which the store can have answered anybody after an
// outage: it answered none of this process's calls before.
func firstAnswer(o follow.Outage) time.Time {
	if o.LastFailed.IsZero() {
		return o.Seen
	}
	return o.LastFailed
}

// foundAfter returns how long after the removal of a backend server's entry this process may
// find it: if that followed another change, the store's answer to that, the longest pause after
// changes, 5/4 of the mean, and the next call come before.
func (n *Node) foundAfter() time.Duration {
	return n.serversDebounce()*5/4 + 2*n.storeDelay.last()
}

// keepUntil returns until when servers are kept whose entries may have expired in an
// outage. A server that leaves from settledAfter after the outage on has LeaveWithin, so
// that the time is also bounded by the earliest end that the outage can have had.
func (n *Node) keepUntil(o follow.Outage) time.Time {
	written := o.Seen.Add(roster.OutageGrace)
	if n.LeaveWithin <= 0 {
		return written
	}
	left := o.NotBefore.Add(n.settledAfter() + n.LeaveWithin - leaveMargin)
	if left.Before(written) {
		return left
	}
	return written
}

// defaultSettled is settledAfter if SettledAfter is not set.
const defaultSettled = 3 * time.Second

// settledAfter returns how long after an outage of the store removals count as those of a
// store without outage.
func (n *Node) settledAfter() time.Duration {
	if n.SettledAfter <= 0 {
		return defaultSettled
	}
	return n.SettledAfter
}

const (
	// confirmBefore is how long before servers are dropped whose entries are missing since
	// an outage the store is asked for them once more, confirmWithin how long after that
	// they are kept if it doesn't respond: a call has failed by then, and another one for
	// long enough to count as an outage.
	confirmBefore = 300 * time.Millisecond
	confirmWithin = 2 * time.Second
)

// expireServers drops the servers whose entries were not written again in time. Those that
// are missing because of an outage are kept while it lasts, or another one has begun.
func (n *Node) expireServers(now time.Time) {
	if n.outageLasts(now) {
		n.roster.Prolong(n.grace(now, false))
		n.askWhetherItLasts(now)
	}
	next := n.roster.NextGone()
	if !next.IsZero() && !next.Equal(n.confirmed) && now.After(next.Add(-confirmBefore)) && n.serversFollower.Relist() {
		n.confirmed = next
		n.roster.Hold(next.Add(confirmWithin))
	}
	n.handleChanges(n.roster.Expire(now))
}

// outageLasts reports whether the store has an outage now.
func (n *Node) outageLasts(now time.Time) bool {
	last, known := n.health.Last(now)
	return known && last.Lasting && last.Seen.Equal(now)
}

// askWhetherItLasts lists the backend servers once more as some are found missing in an outage.
// That they are may be the store's answer to an earlier call, and the outage one of calls for
// other objects only: a later call that is answered ends it.
func (n *Node) askWhetherItLasts(now time.Time) {
	if n.roster.LastMissing().After(n.asked) && n.serversFollower.Relist() {
		n.asked = now
	}
}

// pauseAfterChanges returns the pause after changes of the backend servers: none in an outage,
// as the next call shows whether it lasts.
func (n *Node) pauseAfterChanges() time.Duration {
	if n.outageLasts(time.Now()) {
		return 0
	}
	return n.jittered(n.serversDebounce)()
}

// leaveMargin is how long before the end of LeaveWithin a removed backend server
// is dropped, since a request may already be on its way to it.
const leaveMargin = 150 * time.Millisecond

// objectName returns the part of an object's key after its kind.
func objectName(o store.Object) string {
	_, name, _ := strings.Cut(o.Key, "/")
	return name
}

// parseServer decodes a backend server's entry. It returns false for an invalid
// one, and logs it unless it was removed.
func (n *Node) parseServer(o store.Object) (roster.Server, bool) {
	s, err := roster.Parse(objectName(o), o.Value)
	s.Revision = o.Version
	if err != nil && !o.Removed {
		n.logInvalid(o, err)
	}
	return s, !errors.Is(err, roster.ErrInvalidEntry)
}

// logInvalid logs that an entry of the store is not used.
func (n *Node) logInvalid(o store.Object, err error) {
	n.Log.Info("invalid store entry is skipped over", zap.String("Key", short(o.Key)),
		zap.Uint64("Revision", store.Revision(o.Version)), zap.String("error", short(err.Error())))
}

// maxLogText bounds a text in a log line that another writer of the store may have made,
// in bytes.
const maxLogText = 512

// short returns the beginning of a text.
func short(text string) string {
	if len(text) <= maxLogText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLogText], "") + "..."
}

// announceLeaving handles a backend server that has said that it leaves. The peers are
// told of it like of an entry with the state Leaving.
func (n *Node) announceLeaving(server roster.Server) {
	n.handleChanges(n.roster.Announce(time.Now(), server.ID, server.Born))
}

// handleChanges records and logs changes of the backend servers, and dispatches
// queued requests.
func (n *Node) handleChanges(changes []roster.Change) {
	for _, c := range changes {
		n.recordDeparture(c)
		fields := []zap.Field{
			zap.String("What", string(c.Kind)), zap.String("Server", c.Server.ID), zap.Int64("Born", c.Server.Born),
			zap.String("Service", c.Server.Service), zap.Stringer("Address", c.Server.Address), zap.String("State", string(c.Server.State)),
			zap.String("Role", string(c.Server.Role)), zap.Uint64("Sequence", c.Server.Sequence),
			zap.Uint64("Revision", store.Revision(c.Server.Revision)), zap.Uint64("Removed", store.Revision(c.Removed)),
		}
		if c.Hold.Cause != "" {
			fields = append(fields, zap.String("Cause", string(c.Hold.Cause)), zap.Time("Until", c.Hold.Until), zap.Duration("Held", c.Held))
		}
		n.Log.Info("backend server changed", fields...)
	}
	if len(changes) > 0 {
		n.Broker.Dispatch(time.Now())
	}
}
