package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/node/ring"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// quarantine keeps prompts that crash backend servers away from them, in all processes
// together. It implements broker.Quarantine and is safe for concurrent use.
//
// Each process reports the requests that a backend server ended under to a few of them,
// the collectors, and to itself. Whoever has evidence asks the others which of the
// suspect parts they have served. A part that is found to be the cause is told to all
// and written to the store, from which processes learn it that start later or were
// cut off. Nothing depends on the processes agreeing on the collectors: a finding is
// the same from whoever makes it, and made by several it has the same effect.
type quarantine struct {
	node      *Node
	parts     crash.Quarantine
	successes crash.Successes
	writes    *ring.Ring[store.Object]
	// wake interrupts the pause of the task after a report.
	wake chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	evidence crash.Evidence
	// reports are this process's own recent ones, reported is when the last report or
	// finding came, also from a peer.
	reports  []*ownReport
	reported time.Time
	// asked has when the peers were last asked about a part, questions the parts
	// that peers have asked about.
	asked     map[string]time.Time
	questions map[string]question
	// found has the parts that this process has found and tells the peers.
	found map[string]finding
	// stored has the versions of the entries in the store, by part. written is when
	// an entry was last given to the writer.
	stored  map[string]uint64
	written map[string]time.Time
}

// ownReport is a report of this process, which is sent several times as datagrams may
// be lost.
type ownReport struct {
	crash.Report
	sent time.Time
	// pause is the time from sent to when it is sent again.
	pause time.Duration
}

// finding is a part that this process has found to crash backend servers.
type finding struct{ at, told time.Time }

// question is that of a peer about a part. It is responded to until it expires.
type question struct {
	from             string
	expires, replied time.Time
}

const (
	// quarantineInterval is the period of the task while there are recent reports or
	// findings, idleInterval that at rest.
	quarantineInterval = 50 * time.Millisecond
	idleInterval       = time.Second
	// resendInterval is the pause after which a message is sent again, askPerPeer that
	// of questions per process that is asked, if that is longer. resendFor is how long
	// reports, questions and findings are sent.
	resendInterval = 200 * time.Millisecond
	askPerPeer     = 2 * time.Millisecond
	resendFor      = 3 * time.Second
	// collectors is how many processes collect reports in a large system. Up to
	// peers.MaxFresh processes all do.
	collectors = 3
	// quarantineWriteRetry is the pause after which an entry that the store still
	// lacks is written again.
	quarantineWriteRetry = time.Second
	// maxReports bounds the reports of this process that are sent again,
	// maxReportsPerMessage those in one message, so that it fits one packet.
	maxReports           = 256
	maxReportsPerMessage = 6
	// maxQuestions bounds the parts that peers ask about.
	maxQuestions = 256
	// maxQuarantineWrites bounds the writes that wait. Further ones are made again
	// after quarantineWriteRetry.
	maxQuarantineWrites = 64
)

func newQuarantine(n *Node) *quarantine {
	return &quarantine{
		node: n, writes: ring.New[store.Object]("Quarantine", maxQuarantineWrites), wake: make(chan struct{}, 1), asked: map[string]time.Time{},
		questions: map[string]question{}, found: map[string]finding{}, stored: map[string]uint64{}, written: map[string]time.Time{},
	}
}

// Until implements broker.Quarantine.
func (q *quarantine) Until(now time.Time, parts []string) (time.Time, bool) {
	return q.parts.Until(now, parts)
}

// Crashed implements broker.Quarantine.
func (q *quarantine) Crashed(server roster.Server, request string, parts []string) {
	now := time.Now()
	r := &ownReport{Report: crash.Report{Server: server.Key(), Request: xxhash.Sum64String(request), At: now}}
	for _, part := range parts {
		r.Suspects = append(r.Suspects, crash.Suspect{Part: part, Succeeded: q.successes.Last(part)})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.Add(now, r.Report)
	q.active(now)
	if len(q.reports) < maxReports {
		q.reports = append(q.reports, r)
	}
	q.sendReports(now)
}

// Succeeded implements broker.Quarantine. It tells those peers that have asked.
func (q *quarantine) Succeeded(parts []string) {
	now := time.Now()
	q.successes.Record(now, parts)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		q.evidence.Succeeded(part, now)
		if asked, ok := q.questions[part]; ok && now.Before(asked.expires) && now.Sub(asked.replied) >= resendInterval {
			asked.replied = now
			q.questions[part] = asked
			q.node.coordination.push(asked.from, &wire.News{Served: []*wire.PartTime{encodePartTime(part, now, now)}})
		}
	}
}

// collectors returns the processes that collect reports.
func (q *quarantine) collectors() []string {
	count := collectors
	if q.node.peers.Live() <= peers.MaxFresh {
		count = peers.MaxFresh
	}
	return q.node.peers.Coordinators(collectorKey, q.node.stopping.Load(), count)
}

// collectorKey is the key by which the collectors are chosen.
var collectorKey = xxhash.Sum64String("quarantine")

// writesToStore reports whether this process writes the entries in the store.
func (q *quarantine) writesToStore() bool {
	return q.node.peers.Coordinator(collectorKey, q.node.stopping.Load()) == q.node.Name
}

// sendReports sends the reports that are due to the collectors. q.mu must be held.
func (q *quarantine) sendReports(now time.Time) {
	kept := q.reports[:0]
	for _, r := range q.reports {
		if now.Sub(r.At) < resendFor {
			kept = append(kept, r)
		}
	}
	clear(q.reports[len(kept):])
	q.reports = kept
	var due []*wire.CrashReport
	for _, r := range q.reports {
		if now.Sub(r.sent) < r.pause {
			continue
		}
		r.sent, r.pause = now, max(2*r.pause, resendInterval)
		due = append(due, encodeReport(now, r.Report))
	}
	if len(due) == 0 {
		return
	}
	names := q.collectors()
	for batch := range slices.Chunk(due, maxReportsPerMessage) {
		for _, name := range names {
			if name != q.node.Name {
				q.node.coordination.push(name, &wire.News{Crashes: batch})
			}
		}
	}
}

// handle handles what a peer says of crashes.
func (q *quarantine) handle(now time.Time, message *wire.News) {
	if len(message.Crashes)+len(message.Suspects)+len(message.Served)+len(message.Quarantined) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range message.Crashes {
		q.evidence.Add(now, decodeReport(now, r))
		q.active(now)
	}
	for _, p := range message.Served {
		if p.Ms > 0 {
			q.evidence.Succeeded(p.Part, decodePartTime(now, p))
		}
	}
	q.answer(now, message)
	for _, p := range message.Quarantined {
		left := min(time.Duration(p.Ms)*time.Millisecond, crash.QuarantineTime)
		if p.Part != "" && len(p.Part) <= crash.MaxPartBytes && q.parts.Add(p.Part, now.Add(left)) {
			q.active(now)
			q.node.Log.Info("prompt part is in quarantine", zap.String("Part", p.Part), zap.Duration("Left", left), zap.String("Source", message.From))
		}
	}
}

// answer responds to a peer's question which parts this process has served. q.mu must
// be held.
func (q *quarantine) answer(now time.Time, message *wire.News) {
	var served []*wire.PartTime
	for _, part := range message.Suspects {
		asked := q.questions[part]
		if len(q.questions) < maxQuestions || !asked.expires.IsZero() {
			q.questions[part] = question{from: message.From, expires: now.Add(resendFor), replied: asked.replied}
		}
		if last := q.successes.Last(part); !last.IsZero() {
			served = append(served, encodePartTime(part, now, last))
		}
	}
	if len(served) > 0 {
		q.node.coordination.push(message.From, &wire.News{Served: served})
	}
}

// active wakes the task after a report or a finding. q.mu must be held.
func (q *quarantine) active(now time.Time) {
	q.reported = now
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run looks for the causes of crashes until ctx ends and returns its error.
func (q *quarantine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		q.wait(ctx)
		q.tick(time.Now())
	}
	return ctx.Err()
}

// wait waits for the next tick.
func (q *quarantine) wait(ctx context.Context) {
	q.mu.Lock()
	busy := time.Since(q.reported) < 2*resendFor || len(q.found) > 0
	q.mu.Unlock()
	if busy {
		timer.Wait(ctx, quarantineInterval)
		return
	}
	pause := time.NewTimer(idleInterval)
	defer pause.Stop()
	select {
	case <-q.wake:
	case <-pause.C:
	case <-ctx.Done():
	}
}

// tick sends what is due, and puts the parts that are the cause of crashes into
// quarantine.
func (q *quarantine) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sendReports(now)
	q.ask(now)
	for _, part := range q.evidence.Causes(now, q.known(now)) {
		q.parts.Add(part, now.Add(crash.QuarantineTime))
		q.found[part] = finding{at: now}
		q.node.Meters.Add("PartsFound", 1)
		q.node.Log.Warn("prompt part crashes backend servers and is in quarantine", zap.String("Part", part), zap.Duration("For", crash.QuarantineTime))
	}
	q.tell(now)
	for part, asked := range q.questions {
		if now.After(asked.expires) {
			delete(q.questions, part)
		}
	}
	if len(q.parts.Parts()) == 0 {
		return
	}
	q.forgetEnded(now)
	if q.writesToStore() {
		q.keepStored(now)
	}
}

// known returns a function that reports whether a part is in quarantine.
func (q *quarantine) known(now time.Time) func(part string) bool {
	parts := q.parts.Parts()
	return func(part string) bool { return parts[part].After(now) }
}

// ask asks the peers which of the suspect parts they have served. q.mu must be held.
func (q *quarantine) ask(now time.Time) {
	for part, at := range q.asked {
		if now.Sub(at) > resendFor {
			delete(q.asked, part)
		}
	}
	interval := max(resendInterval, askPerPeer*time.Duration(q.node.peers.Live()))
	var due []string
	for _, part := range q.evidence.Suspects(now, q.known(now)) {
		if last := q.successes.Last(part); !last.IsZero() {
			q.evidence.Succeeded(part, last)
		}
		if now.Sub(q.asked[part]) >= interval {
			q.asked[part] = now
			due = append(due, part)
		}
	}
	if len(due) > 0 {
		q.sendAll(&wire.News{Suspects: due})
	}
}

// tell tells the peers which parts this process has found. q.mu must be held.
func (q *quarantine) tell(now time.Time) {
	var due []*wire.PartTime
	for part, f := range q.found {
		until, found := q.parts.Until(now, []string{part})
		if !found || now.Sub(f.at) > resendFor {
			delete(q.found, part)
			continue
		}
		if now.Sub(f.told) >= resendInterval {
			q.found[part] = finding{f.at, now}
			due = append(due, &wire.PartTime{Part: part, Ms: uint32(until.Sub(now).Milliseconds())})
		}
	}
	if len(due) > 0 {
		q.sendAll(&wire.News{Quarantined: due})
	}
}

// sendAll sends a message to all peers.
func (q *quarantine) sendAll(message *wire.News) {
	for _, m := range q.node.peers.Peers() {
		q.node.coordination.push(m.Name, message)
	}
}
