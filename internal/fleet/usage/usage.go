// Package usage counts the requests that a process has in progress at each
// backend server and tracks the server's health from their results.
//
// # Usage
//
//	var table usage.Table
//	table.Start(now, server, usage.Short)
//	defer table.End(now, server, usage.Result{Verdict: usage.OK})
//	snapshot := table.Get(now, server)
//
// A backend server whose failure rate is too high is ejected for a time that
// doubles with each ejection. After that it is on probation (half-open): the
// caller sends it one request at a time until its failure rate is below the
// threshold again. A backend server is also ejected for a short time after it
// rejected a request for lack of capacity, and while it has requests in progress
// and has sent nothing for StallThreshold. One that cannot be connected to stays
// ejected until it sends something or a connection succeeds. The caller tries to
// connect in the background:
//
//	for _, i := range table.Undialable() {
//		if connect(i) == nil {
//			table.MarkReachable(now, i)
//		}
//	}
//
// Prefills of engines are counted in prompt tokens, and the times of an engine are
// estimated from those that have completed:
//
//	table.StartPrefill(server, tokens)
//	defer table.EndPrefill(server, tokens)
//	table.RecordPrefill(now, server, tokens, took)
//	rate := table.Get(now, server).Times.Rate
//
// A backend server that has asked for a pause is reported as paused until its end. It
// must get nothing meanwhile, whatever else there is. One that names a rate limit is
// reported as throttled while the process has used its share of that:
//
//	table.SetLimit(now, server, 7.5, share)
//	throttled := table.Get(now, server).Throttled
//
// The zero value is ready to use. Every method is safe for concurrent use.
package usage

import (
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/route/assign"
)

// Result is how a request at a backend server ended.
type Result struct {
	Verdict Verdict
	// Work is the kind of work that was passed to Start.
	Work Work
	// LatencyRatio is the measured latency over the expected latency; 0 if there
	// was no response to measure.
	LatencyRatio float64
	// Prefilled is set if a prefill has completed with the request.
	Prefilled bool
	// Answer is what the request shows of the way to the backend server, Sent the time that
	// was passed to Start.
	Answer Answer
	Sent   time.Time
}

// Work is the kind of work that a request is for a backend server.
type Work int

// The kinds of work.
const (
	// Short work occupies a slot briefly. Callers keep some slots free of Long
	// work for it.
	Short Work = iota
	// Long work occupies a slot for long.
	Long
	// LocalPrefill is the prefill of a prompt by a decode engine, beside its
	// streams. It occupies a slot, too.
	LocalPrefill
)

// Verdict is what a result implies about the health of the backend server.
type Verdict int

// The verdicts.
const (
	// Neutral implies nothing, as when the client disconnected.
	Neutral Verdict = iota
	// OK is a complete response without an error.
	OK
	// Failed is an error response, or an incomplete or missing one.
	Failed
	// Full is a rejection for lack of capacity: the request did not run, as the
	// backend server rejected it or the limit of connections to it was reached.
	Full
	// Unreachable is a connection that could not be made.
	Unreachable
	// Replaced means that another backend server now has the address.
	Replaced
)

// Snapshot is a copy of the counts and health of one backend server.
type Snapshot struct {
	// Running counts the requests of this process in progress; Long counts those
	// of them that are such work. Prefills counts those whose prefill has not
	// ended, and PrefillTokens the prompt tokens of these.
	Running, Long, Prefills, PrefillTokens int
	// Times are the engine's estimated times.
	Times assign.Times
	// LatencyRatio is the average measured latency over the expected latency;
	// 1 if nothing is known.
	LatencyRatio float64
	// Suspect is set while the backend server is on probation (half-open) after
	// failures: it should get one request of this process at a time.
	Suspect bool
	// Ejected is set while it should get no requests: it is stalled or
	// unreachable, or its ejection or back-off has not ended.
	Ejected bool
	// Stalled is set while it has requests in progress and has sent nothing for
	// StallThreshold, or longer if it has long prompts to prefill.
	Stalled bool
	// TransferSeconds is the average time, in seconds, that an engine takes to fetch
	// the KV cache from this one and send its first event; 0 if not known.
	TransferSeconds float64
	// TransferAt is the time of the last such KV transfer.
	TransferAt time.Time
	// Unreachable is set after a connection could not be made, until one
	// succeeds or the backend server sends something.
	Unreachable bool
	// Undialable is set after a connection could not be made, until one succeeds. Those
	// that are open may still work.
	Undialable bool
	// Unanswered counts the last requests to which the backend server has not responded, at
	// most 2, while Watch is on. Unresponsive is set if there were 2 for long enough that
	// peers know of theirs.
	Unanswered   int
	Unresponsive bool
	// HeardAt is when the backend server last sent something to this process.
	HeardAt time.Time
	// Paused is set while the backend server wants no request from this process. It
	// must get none, not even if there is no other.
	Paused bool
	// Throttled is set while this process has used its share of the backend server's
	// rate limit. It must get no request for a moment, of which there are LimitShare a
	// second.
	Throttled  bool
	LimitShare float64
}

// Incarnation identifies one run of a backend server: Born differs after each
// start.
type Incarnation struct {
	ID   string
	Born int64
}

// record is the state of one incarnation.
type record struct {
	running         int
	work            [LocalPrefill + 1]int
	prefills        prefills
	failureRate     float64
	latencyRatio    float64
	transferSeconds float64
	transferAt      time.Time
	// ejections counts the ejections, rejections the back-offs after Full,
	// since the last success. They set the length of the next one.
	ejections, rejections int
	suspect               bool
	unreachable           bool
	undialable            bool
	ejectedUntil          time.Time
	pausedUntil           time.Time
	limited               limited
	contact               contact
	lastUsed              time.Time
	// lastActive is when the backend server last sent something, or when it
	// got a request while it had none.
	lastActive time.Time
	// heardAt is when the backend server last sent something.
	heardAt time.Time
}

// Table has the counts and the health of each incarnation of a backend server.
type Table struct {
	mu      sync.Mutex
	records map[Incarnation]*record
}

// StallThreshold is how long a backend server with requests in progress may send
// nothing before it is ejected. It is about the latency of the slowest plain
// requests, during which a backend server may send nothing.
const StallThreshold = 500 * time.Millisecond

const (
	// suspectThreshold is the failure rate from which a backend server is
	// ejected and then on probation; failureWeight is the EWMA weight of the
	// newest result.
	suspectThreshold = 0.3
	failureWeight    = 0.15
	// minEjection doubles with each ejection since the last success, up to
	// maxEjection.
	minEjection = 300 * time.Millisecond
	maxEjection = 5 * time.Second
	// minFullBackoff is the back-off from a backend server without free
	// capacity. It doubles with each one since the last success, up to
	// maxFullBackoff: an engine that carries out an order rejects requests for
	// seconds.
	minFullBackoff = 10 * time.Millisecond
	maxFullBackoff = 700 * time.Millisecond
	// replacedEjection is longer than it takes until the store's entry of a
	// backend server that no longer exists is removed.
	replacedEjection = 5 * time.Second
	// latencyWeight is the EWMA weight of the newest latency ratio.
	latencyWeight = 0.1
	// transferWeight is the EWMA weight of the newest KV transfer: a link that
	// becomes slow shows after about ten of them.
	transferWeight = 0.15
	// maxLatencyRatio caps the latency ratio of a single result.
	maxLatencyRatio = 20
	// idleRetention is how long a record without requests in progress is kept.
	idleRetention = time.Minute
)

// record returns the backend server's record, which it creates if there is
// none. The caller must hold mu.
func (t *Table) record(server roster.Server) *record {
	k := Incarnation{server.ID, server.Born}
	r, ok := t.records[k]
	if !ok {
		if t.records == nil {
			t.records = map[Incarnation]*record{}
		}
		r = &record{latencyRatio: 1}
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
		r.lastActive = now
	}
	if r.limited.active(now) {
		r.limited.bucket.ReserveN(now, 1)
	}
	r.running++
	r.work[work]++
	r.lastUsed = now
	r.contact.start(now)
}

// End counts the end of a request that Start counted, and applies its result.
// result.Work must be the work that was passed to Start.
func (t *Table) End(now time.Time, server roster.Server, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.running--
	r.work[result.Work]--
	if result.Verdict == OK || result.Verdict == Full {
		r.lastActive, r.heardAt, r.unreachable = now, now, false
	}
	r.contact.end(now, result.Sent, result.Answer)
	t.observe(now, r, result)
}

// RecordRemote applies the result of a request that another process sent to
// the backend server. It does not change the counts of requests, nor whether this process
// reaches the backend server.
func (t *Table) RecordRemote(now time.Time, server roster.Server, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now, t.record(server), result)
}

// observe updates the record with a result.
func (*Table) observe(now time.Time, r *record, result Result) {
	r.lastUsed = now
	if result.LatencyRatio > 0 {
		r.latencyRatio += latencyWeight * (min(result.LatencyRatio, maxLatencyRatio) - r.latencyRatio)
	}
	switch result.Verdict {
	case OK:
		r.failureRate -= failureWeight * r.failureRate
		r.ejections, r.rejections = 0, 0
		if r.failureRate < suspectThreshold {
			r.suspect = false
		}
	case Failed:
		r.failureRate += failureWeight * (1 - r.failureRate)
		if r.failureRate >= suspectThreshold {
			r.eject(now)
		}
	case Unreachable:
		r.unreachable, r.undialable = true, true
		r.failureRate += failureWeight * (1 - r.failureRate)
		r.eject(now)
	case Full:
		if !now.Before(r.ejectedUntil) {
			// Rejections of requests sent at the same time count once.
			r.ejectedUntil = now.Add(min(minFullBackoff<<min(r.rejections, 8), maxFullBackoff))
			r.rejections++
		}
	case Replaced:
		r.ejectedUntil = later(r.ejectedUntil, now.Add(replacedEjection))
	}
}

// eject puts the backend server on probation and ejects it, unless it is
// ejected already.
func (r *record) eject(now time.Time) {
	r.suspect = true
	if now.Before(r.ejectedUntil) {
		return
	}
	r.ejectedUntil = now.Add(min(minEjection<<min(r.ejections, 8), maxEjection))
	r.ejections++
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Get returns the counts and health of the backend server as of now. While Watch is on, it also
// decides whether requests in progress at a stalled one count as unanswered.
func (t *Table) Get(now time.Time, server roster.Server) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[Incarnation{server.ID, server.Born}]
	if !ok {
		return Snapshot{LatencyRatio: 1}
	}
	shareless := r.limited.active(now) && r.limited.share == 0
	stalled := r.stalled(now)
	if stalled && r.contact.tracked() {
		r.contact.settle(now, r.stallTime())
	}
	return Snapshot{
		Unanswered: r.contact.count(), Unresponsive: r.contact.unresponsive(now),
		Paused: now.Before(r.pausedUntil) || shareless, Throttled: r.limited.throttled(now), LimitShare: r.limited.share, Running: r.running, Long: r.work[Long], Prefills: r.prefills.running, PrefillTokens: r.prefills.tokens,
		Times: r.prefills.times(now, server.Role), LatencyRatio: r.latencyRatio, Suspect: r.suspect,
		Ejected: stalled || r.unreachable || now.Before(r.ejectedUntil), Stalled: stalled, Unreachable: r.unreachable, Undialable: r.undialable, HeardAt: r.heardAt,
		TransferSeconds: r.transferSeconds, TransferAt: r.transferAt,
	}
}

// RecordTransfer records how long an engine that fetches the KV cache from this
// backend server took from its permit to its first event.
func (t *Table) RecordTransfer(now time.Time, server roster.Server, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.lastUsed, r.transferAt = now, now
	if r.transferSeconds == 0 {
		r.transferSeconds = took.Seconds()
		return
	}
	r.transferSeconds += transferWeight * (took.Seconds() - r.transferSeconds)
}

// MaxPause bounds a pause.
const MaxPause = 10 * time.Minute

// Pause records that the backend server wants no request from this process for a time,
// at most MaxPause.
func (t *Table) Pause(now time.Time, server roster.Server, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.lastUsed = now
	r.pausedUntil = later(r.pausedUntil, now.Add(min(max(pause, 0), MaxPause)))
}

// Each calls visit, with only the counts set, for each backend server with
// requests in progress. visit must not call methods of the table.
func (t *Table) Each(visit func(id string, born int64, counts Snapshot)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.running > 0 {
			visit(k.ID, k.Born, Snapshot{Running: r.running, Long: r.work[Long], Prefills: r.prefills.running, PrefillTokens: r.prefills.tokens})
		}
	}
}

// Sweep deletes the records without requests in progress that have not been used
// for a minute.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.records {
		if r.running == 0 && now.Sub(r.lastUsed) > idleRetention && !now.Before(r.pausedUntil) {
			delete(t.records, k)
		}
	}
}
