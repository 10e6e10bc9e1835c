package usage

import (
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// limited is the rate limit of one incarnation of a backend server.
type limited struct {
	// perSecond is the limit for all processes together, valid if heard is not zero.
	perSecond float64
	// heard is when the latest response came that names it.
	heard time.Time
}

// SetLimit records the requests per second, of all processes together, that the backend
// server has said it takes. It returns whether that is new.
func (t *Table) SetLimit(now time.Time, server roster.Server, perSecond float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.lastUsed = now
	changed := r.limited.heard.IsZero() || r.limited.perSecond != perSecond
	r.limited.perSecond, r.limited.heard = perSecond, now
	return changed
}

// EndLimit records that a response of the backend server names no limit. sent is when
// its request was sent: a response to a request that was sent before a limit became
// known may be older than that. It returns whether a limit has ended.
func (t *Table) EndLimit(server roster.Server, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	if !ok || r.limited.heard.IsZero() || !sent.After(r.limited.heard) {
		return false
	}
	r.limited = limited{}
	return true
}
