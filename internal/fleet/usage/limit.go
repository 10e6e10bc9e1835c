package usage

import (
	"time"

	"golang.org/x/time/rate"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Limit is the rate limit that a backend server has named.
type Limit struct {
	Incarnation
	// PerSecond is how many requests it takes from all processes together, Share how
	// many of these are this process's; 0 if it must send none.
	PerSecond, Share float64
	// Ended is set if the backend server names no limit any more.
	Ended bool
}

// limited is the rate limit of one incarnation of a backend server.
type limited struct {
	perSecond, share float64
	// told is when the latest response came that names the limit, heard that or when
	// the latest peer said so; both are zero if there is no limit. ended is when the
	// last limit has ended.
	told, heard, ended time.Time
	// spoken is when somebody last named the limit that has ended, confirmed when a
	// response to a request that was sent after that named none.
	spoken, confirmed time.Time
	// bucket has the requests that may be sent. It is kept when the limit ends.
	bucket *rate.Limiter
}

const (
	// relayFor is how long after a response that names a limit the peers are told of
	// it. What they say meanwhile is ignored, and while they may not know that a limit
	// has ended.
	relayFor = 2 * time.Second
	// shareless is how long a process that has no share, and so gets no response,
	// believes in a limit that nobody speaks of.
	shareless = 5 * time.Second
)

// active reports whether the limit holds.
func (l *limited) active(now time.Time) bool {
	return !l.heard.IsZero() && (l.share > 0 || now.Sub(l.heard) < shareless)
}

// throttled reports whether no request may be sent now.
func (l *limited) throttled(now time.Time) bool {
	return l.active(now) && l.bucket.TokensAt(now) < 1
}

// set sets the limit.
func (l *limited) set(now time.Time, perSecond, share float64) {
	l.perSecond, l.share, l.heard = perSecond, share, now
	if l.bucket == nil {
		// It begins empty: requests were sent up to now.
		l.bucket = rate.NewLimiter(rate.Limit(share), 1)
		l.bucket.AllowN(now, 1)
		return
	}
	l.bucket.SetLimitAt(now, rate.Limit(share))
}

// SetLimit records a limit that the backend server has named in a response. It returns
// whether the limit is new.
func (t *Table) SetLimit(now time.Time, server roster.Server, perSecond, share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.lastUsed = now
	changed := !r.limited.active(now) || r.limited.perSecond != perSecond
	r.limited.set(now, perSecond, share)
	r.limited.told = now
	return changed
}

// HearLimit records a limit that a peer has been told. It is ignored if this process
// has been told something itself a short time ago.
func (t *Table) HearLimit(now time.Time, server roster.Server, perSecond, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	if now.Sub(r.limited.told) < relayFor || now.Sub(r.limited.ended) < 2*relayFor {
		r.limited.spoken = now
		return
	}
	r.lastUsed = now
	r.limited.set(now, perSecond, share)
}

// EndLimit records that a response of the backend server names no limit. sent is when
// its request was sent: a response to a request that was sent before a limit became
// known may be older than that. It returns whether a limit has ended.
func (t *Table) EndLimit(now time.Time, server roster.Server, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	if !ok {
		return false
	}
	l := &r.limited
	named := !l.heard.IsZero()
	if named && !sent.After(l.told) {
		return false
	}
	if named {
		l.end(now)
	}
	if l.confirmed.IsZero() && !l.ended.IsZero() && sent.After(l.spoken) {
		l.confirmed = now
	}
	return named
}

// end records that there is no limit any more.
func (l *limited) end(now time.Time) {
	spoken := l.heard
	if l.told.After(spoken) {
		spoken = l.told
	}
	*l = limited{bucket: l.bucket, ended: now, spoken: spoken}
}

// HearEnd records that a limit has ended, as a peer says. It is ignored if this process
// has been told of the limit itself a short time ago.
func (t *Table) HearEnd(now time.Time, server roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	if !ok || r.limited.heard.IsZero() || now.Sub(r.limited.told) < relayFor {
		return
	}
	r.limited.end(now)
}

// LimitsTold returns the limits that responses have named a short time ago, and the ends
// of limits that they have confirmed.
func (t *Table) LimitsTold(now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Limit
	for k, r := range t.records {
		if l := &r.limited; !l.heard.IsZero() && now.Sub(l.told) < relayFor {
			list = append(list, Limit{Incarnation: k, PerSecond: l.perSecond, Share: l.share})
		} else if now.Sub(l.confirmed) < relayFor {
			list = append(list, Limit{Incarnation: k, Ended: true})
		}
	}
	return list
}
