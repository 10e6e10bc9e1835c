package shed

import (
	"math"
	"time"
)

// Floors guarantee that no group of requests is starved by the order of priorities,
// work and use.
//
// Three kinds of groups are counted: the requests of one client account, those of one
// kind, and those of one size within a kind. A kind is all requests with one priority
// and one latency target, a size all whose work has the same power of two. While
// less than kindFloor of the share that all requests are served, is served of an account
// or a kind, its requests have the floor AboveAll. While less than sizeFloor of the
// share of its kind is served of a size, its requests have the floor AmongEquals. Within
// one size of one kind the order does not depend on the work. So a kind or an account is
// served at least a quarter as often as all, and the largest tenth of a kind at least
// half as often as the whole kind: the constants are higher by a fifth, since requests
// that have arrived are counted before they are served, and since the floor takes
// effect only once a group is under it.
//
// The zero value is ready to use. Floors are not safe for concurrent use.
type Floors struct {
	all    tally
	groups map[group]*tally
	swept  time.Time
}

const (
	// kindFloor is the least ratio of the share that is served of a kind or an account
	// to that of all requests, sizeFloor that of a size to its kind.
	kindFloor = 0.3
	sizeFloor = 0.6
	// prior is the number of requests with the average share that each group is
	// counted with, so that an account is not preferred for its first requests.
	prior = 1
	// floorHalfLife is the half-life of the counts. It is longer than the
	// bursts in which requests are rejected.
	floorHalfLife = 30 * time.Second
	// sweepInterval is the period in which groups without requests are removed, and
	// minArrived the count below which they are.
	sweepInterval = 5 * time.Second
	minArrived    = 0.05
)

// group identifies a group of requests. Account groups have only the account.
type group struct {
	account  string
	kind     bool
	priority int
	target   time.Duration
	// size is the power of two of the work plus 1, 0 for the whole kind.
	size int
}

// tally counts the requests of a group, with exponential decay.
type tally struct {
	arrived, served float64
	at              time.Time
}

// decay applies the decay since the last call.
func (t *tally) decay(now time.Time) {
	if passed := now.Sub(t.at); passed > 0 && !t.at.IsZero() {
		factor := math.Exp2(-float64(passed) / float64(floorHalfLife))
		t.arrived *= factor
		t.served *= factor
	}
	t.at = now
}

// share returns the share of the requests that were served. usual is the share of the
// requests that a group without any is assumed to have had.
func (t *tally) share(now time.Time, usual float64) float64 {
	t.decay(now)
	return (t.served + prior*usual) / (t.arrived + prior)
}

// Member is a request as Floors counts it. The zero value is not counted.
type Member struct{ kind, size, account *tally }

// Arrive counts the arrival of a request.
func (f *Floors) Arrive(now time.Time, w *Work) Member {
	f.sweep(now)
	kind := group{kind: true, priority: w.Priority, target: w.Target}
	size := kind
	size.size = 1 + sizeClass(w.Tokens)
	m := Member{kind: f.tally(kind), size: f.tally(size)}
	if w.Account != "" {
		m.account = f.tally(group{account: w.Account})
	}
	for _, t := range [...]*tally{&f.all, m.kind, m.size, m.account} {
		if t != nil {
			t.decay(now)
			t.arrived++
		}
	}
	return m
}

// Serve counts that a request is served.
func (f *Floors) Serve(now time.Time, m Member) {
	if m.kind == nil {
		return
	}
	for _, t := range [...]*tally{&f.all, m.kind, m.size, m.account} {
		if t != nil {
			t.decay(now)
			t.served++
		}
	}
}

// Floor returns the floor under which a group of the request is.
func (f *Floors) Floor(now time.Time, m Member) Floor {
	if m.kind == nil {
		return NoFloor
	}
	all := f.all.share(now, 1)
	kind := m.kind.share(now, all)
	switch {
	case kind < kindFloor*all, m.account != nil && m.account.share(now, all) < kindFloor*all:
		return AboveAll
	case m.size.share(now, kind) < sizeFloor*kind:
		return AmongEquals
	}
	return NoFloor
}

// tally returns the counts of a group.
func (f *Floors) tally(g group) *tally {
	t, ok := f.groups[g]
	if !ok {
		if f.groups == nil {
			f.groups = map[group]*tally{}
		}
		t = &tally{}
		f.groups[g] = t
	}
	return t
}

// sweep removes the groups that have had no request for long, which bounds the memory.
func (f *Floors) sweep(now time.Time) {
	if now.Sub(f.swept) < sweepInterval {
		return
	}
	f.swept = now
	for g, t := range f.groups {
		if t.decay(now); t.arrived < minArrived {
			delete(f.groups, g)
		}
	}
}
