// Package usage is what a process has under way at the backend servers, and
// how they have answered it.
//
// # Usage
//
//	var table usage.Table
//	table.Start(now, server, usage.Short)
//	defer table.End(now, server, usage.Result{Verdict: usage.Fine})
//	seen := table.Look(now, server)
//
// A backend server that fails more than a part of its requests is left alone
// for a while, each time for longer, and then tried with one request at a time
// until it has answered in order. One that cannot be reached gets no request
// until a connection has come about:
//
//	for _, i := range table.Unreachable() {
//		if connect(i) == nil {
//			table.Reached(now, i)
//		}
//	}
//
// The zero value is ready to use. Every method is safe for concurrent use.
package usage

import (
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// Result is how a request at a backend server ended.
type Result struct {
	Verdict Verdict
	// Work is what Start was told.
	Work Work
	// Slowness is the time that an answer took over what was expected;
	// 0 if there was none.
	Slowness float64
}

// Work is what a request asks of a backend server.
type Work int

// The kinds of work.
const (
	// Short work takes a slot for a moment.
	Short Work = iota
	// Long work takes a slot for long.
	Long
	// Reading takes a slot of an engine that reads a prompt beside its streams.
	Reading
)

// Verdict is what a result says about the backend server.
type Verdict int

// The verdicts.
const (
	// Nothing says nothing, as when the caller went.
	Nothing Verdict = iota
	// Fine is an answer in order.
	Fine
	// Failed is an answer that failed or did not come.
	Failed
	// Full is a refusal for lack of room.
	Full
	// Unreachable is a connection that did not come about.
	Unreachable
	// Replaced says that another backend server has the address.
	Replaced
)

// Seen is what is known of one backend server.
type Seen struct {
	// Running counts the requests under way, Long and Reading those of them
	// that do such work.
	Running, Long, Reading int
	// Slowness is the usual time of its answers over what was expected.
	Slowness float64
	// Suspect is set after failures until it has answered in order: it is
	// tried with one request at a time.
	Suspect bool
	// Closed is set while it should not be sent anything.
	Closed bool
	// Stalled is set while it has requests and has said nothing for Stall.
	Stalled bool
	// Handover is the usual time, in seconds, until another engine that takes
	// over what this one has read gives its first event; 0 if that is not known.
	Handover float64
	// Handed is when such a handover was seen last.
	Handed time.Time
	// Unreachable is set after a connection that did not come about, until one
	// does or it has said something.
	Unreachable bool
}

// Incarnation is one life of a backend server.
type Incarnation struct {
	ID   string
	Born int64
}

type record struct {
	running  int
	work     [Reading + 1]int
	failing  float64
	slowness float64
	handover float64
	handed   time.Time
	// streak counts the failures in a row, refusals the refusals.
	streak, refusals int
	suspect          bool
	unreachable      bool
	closed           time.Time
	used             time.Time
	// heard is when it said something last, or was first sent something after
	// it had nothing to do.
	heard time.Time
}

// Table has a record for each incarnation of a backend server.
type Table struct {
	mu      sync.Mutex
	records map[Incarnation]*record
}

// Stall is how long a backend server that has requests may say nothing until it
// is left alone. The slowest of plain work takes about as long.
const Stall = 500 * time.Millisecond

const (
	// failingShare is the share of failures from which on a backend server is
	// suspect, learnt is the weight of the newest result.
	failingShare = 0.3
	learnt       = 0.15
	// firstSuspicion doubles with each failure in a row, up to maxSuspicion.
	firstSuspicion = 300 * time.Millisecond
	maxSuspicion   = 5 * time.Second
	// fullPause is how long a backend server without room is left alone. It
	// doubles with each refusal in a row, up to maxFullPause: an engine that
	// carries out an order refuses for seconds.
	fullPause    = 10 * time.Millisecond
	maxFullPause = 700 * time.Millisecond
	// replacedPause outlasts the time until the entry of a backend server that
	// is gone has been taken back.
	replacedPause = 5 * time.Second
	slowLearnt    = 0.1
	// handoverLearnt is the weight of the newest handover: a link that turns
	// slow shows within some ten of them.
	handoverLearnt = 0.15
	maxSlowness    = 20
	forgetAfter    = time.Minute
)

func (t *Table) record(server roster.Server) *record {
	k := Incarnation{server.ID, server.Born}
	r, ok := t.records[k]
	if !ok {
		if t.records == nil {
			t.records = map[Incarnation]*record{}
		}
		r = &record{slowness: 1}
		t.records[k] = r
	}
	return r
}

// Start counts a request that is sent to the backend server.
func (t *Table) Start(now time.Time, server roster.Server, work Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	if r.running == 0 {
		r.heard = now
	}
	r.running++
	r.work[work]++
	r.used = now
}

// End counts the end of a request.
func (t *Table) End(now time.Time, server roster.Server, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.running--
	r.work[result.Work]--
	t.learn(now, r, result)
}

// Learn takes in how a request ended that another process had there.
func (t *Table) Learn(now time.Time, server roster.Server, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(now, t.record(server), result)
}

func (*Table) learn(now time.Time, r *record, result Result) {
	r.used = now
	if result.Slowness > 0 {
		r.slowness += slowLearnt * (min(result.Slowness, maxSlowness) - r.slowness)
	}
	if result.Verdict == Fine || result.Verdict == Full {
		r.heard = now
		r.unreachable = false
	}
	switch result.Verdict {
	case Fine:
		r.failing -= learnt * r.failing
		r.streak, r.refusals = 0, 0
		if r.failing < failingShare {
			r.suspect = false
		}
	case Failed:
		r.failing += learnt * (1 - r.failing)
		if r.failing >= failingShare {
			r.suspicion(now)
		}
	case Unreachable:
		r.unreachable = true
		r.failing += learnt * (1 - r.failing)
		r.suspicion(now)
	case Full:
		if !now.Before(r.closed) {
			// Refusals of requests sent together count once.
			r.closed = now.Add(min(fullPause<<min(r.refusals, 8), maxFullPause))
			r.refusals++
		}
	case Replaced:
		r.closed = later(r.closed, now.Add(replacedPause))
	}
}

func (r *record) suspicion(now time.Time) {
	r.suspect = true
	if now.Before(r.closed) {
		return
	}
	r.closed = now.Add(min(firstSuspicion<<min(r.streak, 8), maxSuspicion))
	r.streak++
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Look returns what is known of the backend server.
func (t *Table) Look(now time.Time, server roster.Server) Seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	if !ok {
		return Seen{Slowness: 1}
	}
	stalled := r.running > 0 && now.Sub(r.heard) > Stall
	return Seen{
		Running: r.running, Long: r.work[Long], Reading: r.work[Reading], Slowness: r.slowness, Suspect: r.suspect,
		Closed: stalled || r.unreachable || now.Before(r.closed), Stalled: stalled, Unreachable: r.unreachable,
		Handover: r.handover, Handed: r.handed,
	}
}

// Alive takes in that the backend server said something.
func (t *Table) Alive(now time.Time, server roster.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.heard, r.unreachable = now, false
}

// Unreachable lists those that cannot be reached.
func (t *Table) Unreachable() []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Incarnation
	for k, r := range t.records {
		if r.unreachable {
			list = append(list, k)
		}
	}
	return list
}

// Tried takes in that a connection is being tried, so that the backend server
// is not forgotten meanwhile.
func (t *Table) Tried(now time.Time, i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[i]; ok {
		r.used = now
	}
}

// Reached takes in that a connection has come about: one request at a time may
// try the backend server.
func (t *Table) Reached(now time.Time, i Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[i]; ok && r.unreachable {
		r.unreachable = false
		r.closed, r.used = now, now
	}
}

// Handed takes in how long another engine took to take over what this one has
// read.
func (t *Table) Handed(now time.Time, server roster.Server, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.used, r.handed = now, now
	if r.handover == 0 {
		r.handover = took.Seconds()
		return
	}
	r.handover += handoverLearnt * (took.Seconds() - r.handover)
}

// Each calls do for each backend server with requests under way.
func (t *Table) Each(do func(id string, born int64, seen Seen)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.running > 0 {
			do(k.ID, k.Born, Seen{Running: r.running, Long: r.work[Long], Reading: r.work[Reading]})
		}
	}
}

// Sweep forgets what has not been used for long.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.running == 0 && now.Sub(r.used) > forgetAfter {
			delete(t.records, k)
		}
	}
}
