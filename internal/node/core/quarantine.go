package core

import (
	"context"
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

// quarantine keeps requests that crash backend servers away from them, in all processes
// together. It implements broker.Quarantine and is safe for concurrent use.
//
// Each process reports the requests that a backend server ended under to a few of them,
// the collectors, and to itself. Whoever has evidence asks the others which of the
// suspect requests and parts they have served. What is found to be the cause is told to
// all and written to the store, from which processes learn it that start later or were
// cut off. Nothing depends on the processes agreeing on the collectors: a finding is
// the same from whoever makes it, and made by several it has the same effect.
//
// A part in quarantine is tried with single requests, see crash.Trials. If one is served,
// the part is withdrawn: all are told, and the entry in the store is removed.
type quarantine struct {
	node *Node
	// subjects are in quarantine.
	subjects crash.Quarantine
	// successes are those of parts, requests those of requests, which are many more.
	successes, requests crash.Successes
	writes              *ring.Ring[store.Object]
	// wake interrupts the pause of the task after a report.
	wake chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	evidence crash.Evidence
	trials   crash.Trials
	// withdrawals are the parts that were withdrawn after a trial of this process.
	withdrawals map[string]*withdrawal
	// reports are this process's own recent ones, reported is when the last report or
	// finding came, also from a peer.
	reports  []*ownReport
	reported time.Time
	// asked has the subjects about which the peers are asked, questions those that peers
	// have asked about.
	asked     map[string]*asking
	questions map[string]question
	// searchAt is when the next search may begin.
	searchAt time.Time
	// cleared is when an answer last said that a suspect subject was served.
	cleared time.Time
	// sentAt and sent are when messages with reports were sent last, and how many.
	sentAt time.Time
	sent   int
	// found has the causes that this process has found and tells the peers.
	found map[string]finding
	// stored has the entries in the store, by subject. written is when an entry was last
	// given to the writer.
	stored  map[string]storedEntry
	written map[string]time.Time
}

// storedEntry is an entry in the store: its version, and when it says that the quarantine ends.
type storedEntry struct {
	version uint64
	until   time.Time
}

// finding is a cause that this process has found.
type finding struct{ at, told time.Time }

// question is that of a peer about a subject. It is responded to until it expires.
type question struct {
	from             string
	expires, replied time.Time
}

const (
	// quarantineInterval is the period of the task while there are recent reports or
	// findings, idleInterval that at rest.
	quarantineInterval = 50 * time.Millisecond
	idleInterval       = time.Second
	// searchPause is the pause after a search as a multiple of the time that it took.
	searchPause = 9
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
	// maxReports bounds the reports of this process that are sent again.
	maxReports = 256
	// maxQuestions bounds the subjects that peers ask about: several of the longest prompts.
	maxQuestions = 8192
	// maxQuarantineWrites bounds the writes that wait. Further ones are made again
	// after quarantineWriteRetry.
	maxQuarantineWrites = 64
)

func newQuarantine(n *Node) *quarantine {
	return &quarantine{
		node: n, writes: ring.New[store.Object]("Quarantine", maxQuarantineWrites), wake: make(chan struct{}, 1), asked: map[string]*asking{},
		questions: map[string]question{}, found: map[string]finding{}, stored: map[string]storedEntry{}, written: map[string]time.Time{},
		trials: crash.Trials{Self: n.Name, Incarnation: n.incarnation, Started: time.Now()}, withdrawals: map[string]*withdrawal{},
	}
}

// Until implements broker.Quarantine.
func (q *quarantine) Until(now time.Time, content uint64, parts []string) (time.Time, bool) {
	until, found := q.subjects.Until(now, parts)
	whole, foundWhole := q.subjects.Until(now, []string{crash.RequestSubject(content)})
	if whole.After(until) {
		until = whole
	}
	return until, found || foundWhole
}

// Crashed implements broker.Quarantine.
func (q *quarantine) Crashed(at time.Time, server roster.Server, content uint64, parts []string) {
	now := time.Now()
	r := &ownReport{Report: crash.Report{Server: server.Key(), Request: content, At: at}, made: now}
	for _, part := range parts {
		r.Suspects = append(r.Suspects, crash.Suspect{Part: part, Succeeded: q.successes.Last(part)})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.Add(now, r.Report)
	q.active(now)
	if len(q.reports) < maxReports {
		r.told = q.untold(r.Report)
		q.reports = append(q.reports, r)
	}
	q.sendReports(now)
}

// Succeeded implements broker.Quarantine. It tells those peers that have asked.
func (q *quarantine) Succeeded(content uint64, parts []string) {
	now, request := time.Now(), crash.RequestSubject(content)
	q.successes.Record(now, parts)
	q.requests.Record(now, []string{request})
	q.mu.Lock()
	defer q.mu.Unlock()
	answers := map[string][]*wire.PartTime{}
	served := func(subject string) {
		q.evidence.Succeeded(subject, now)
		if asked, ok := q.questions[subject]; ok && now.Before(asked.expires) && now.Sub(asked.replied) >= resendInterval {
			asked.replied = now
			q.questions[subject] = asked
			answers[asked.from] = append(answers[asked.from], encodePartTime(subject, now, now))
		}
	}
	served(request)
	if !q.evidence.Empty() || len(q.questions) > 0 {
		for _, part := range parts {
			served(part)
		}
	}
	for from, list := range answers {
		q.sendServed(from, list)
	}
}

// sendServed tells a peer which subjects this process has served.
func (q *quarantine) sendServed(to string, served []*wire.PartTime) {
	for batch := range batches(served, func(p *wire.PartTime) int { return partBytes(p.Part) }) {
		q.node.coordination.push(to, &wire.News{Served: batch})
	}
}

// lastServed returns when this process last served a subject, zero if that is not known.
func (q *quarantine) lastServed(subject string) time.Time {
	if last := q.requests.Last(subject); !last.IsZero() {
		return last
	}
	return q.successes.Last(subject)
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
	return q.node.peers.Chosen(collectorKey, q.node.stopping.Load()) == q.node.Name
}

// handle handles what a peer says of crashes.
func (q *quarantine) handle(now time.Time, message *wire.News) {
	if len(message.Crashes)+len(message.Suspects)+len(message.Served)+len(message.Quarantined)+len(message.Trials)+len(message.Withdrawn) == 0 {
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
			q.clear(now, p.Part, decodePartTime(now, p))
		}
	}
	q.answer(now, message)
	for _, p := range message.Quarantined {
		left := min(time.Duration(p.Ms)*time.Millisecond, crash.QuarantineTime)
		if p.Part != "" && len(p.Part) <= crash.MaxPartBytes && !q.add(now, p.Part, left, message.From) {
			q.tellWithdrawnTo(now, message.From, p.Part)
		}
	}
	q.handleTrials(now, message)
}

// add puts a subject into quarantine that a peer or the store has named. It returns false if
// that was withdrawn since. q.mu must be held.
func (q *quarantine) add(now time.Time, subject string, left time.Duration, source string) bool {
	if !q.trials.Found(subject, now.Add(left)) {
		return false
	}
	q.evidence.Found(now, subject, left)
	if q.subjects.Add(subject, now.Add(left)) {
		q.active(now)
		q.node.Log.Info("quarantine begun elsewhere", zap.String("Subject", subject), zap.Duration("Left", left), zap.String("Source", source))
	}
	return true
}

// answer responds to a peer's question which subjects this process has served. q.mu must
// be held.
func (q *quarantine) answer(now time.Time, message *wire.News) {
	var served []*wire.PartTime
	for _, subject := range message.Suspects {
		asked := q.questions[subject]
		if len(q.questions) < maxQuestions || !asked.expires.IsZero() {
			q.questions[subject] = question{from: message.From, expires: now.Add(resendFor), replied: asked.replied}
		}
		if last := q.lastServed(subject); !last.IsZero() {
			served = append(served, encodePartTime(subject, now, last))
		}
	}
	q.sendServed(message.From, served)
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
	busy, interval := time.Since(q.reported) < 2*resendFor || len(q.found) > 0, idleInterval
	if q.trials.Len() > 0 {
		interval = trialsInterval
	}
	q.mu.Unlock()
	if busy {
		timer.Wait(ctx, quarantineInterval)
		return
	}
	pause := time.NewTimer(interval)
	defer pause.Stop()
	select {
	case <-q.wake:
	case <-pause.C:
	case <-ctx.Done():
	}
}

// tick sends what is due, and puts the causes of crashes into quarantine.
func (q *quarantine) tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sendReports(now)
	if !now.Before(q.searchAt) {
		q.ask(now)
		q.search(now)
		q.searchAt = now.Add(searchPause * time.Since(now))
	}
	q.tell(now)
	q.tellTrials(now)
	for subject, asked := range q.questions {
		if now.After(asked.expires) {
			delete(q.questions, subject)
		}
	}
	if len(q.subjects.Subjects())+len(q.stored) == 0 {
		return
	}
	q.forgetEnded(now)
	if q.writesToStore() {
		q.keepStored(now)
	}
}

// search puts the causes of crashes into quarantine. q.mu must be held.
func (q *quarantine) search(now time.Time) {
	for _, c := range q.evidence.Causes(now, q.known(now)) {
		if !q.mayBeFound(now, c.Subject) {
			break
		}
		q.evidence.Found(now, c.Subject, c.For)
		q.trials.Found(c.Subject, now.Add(c.For))
		q.subjects.Add(c.Subject, now.Add(c.For))
		q.found[c.Subject] = finding{at: now}
		q.node.Meters.Add("CrashCausesFound", 1)
		q.node.Log.Warn("requests crash backend servers and are in quarantine", zap.String("Subject", c.Subject), zap.Duration("For", c.For))
	}
}

// known returns for how long each subject stays in quarantine.
func (q *quarantine) known(now time.Time) crash.Known {
	subjects := q.subjects.Subjects()
	return func(subject string) time.Duration { return max(subjects[subject].Sub(now), 0) }
}

// tell tells the peers which causes this process has found. q.mu must be held.
func (q *quarantine) tell(now time.Time) {
	var due []*wire.PartTime
	for subject, f := range q.found {
		until, found := q.subjects.Until(now, []string{subject})
		if !found || now.Sub(f.at) > resendFor {
			delete(q.found, subject)
			continue
		}
		if now.Sub(f.told) >= resendInterval {
			q.found[subject] = finding{f.at, now}
			due = append(due, encodeLeft(now, subject, until))
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
