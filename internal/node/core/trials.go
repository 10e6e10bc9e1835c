package core

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

const (
	// trialsInterval is the period of the task while a part is in quarantine.
	trialsInterval = 200 * time.Millisecond
	// agreeInterval is the pause after which a trial looks again whether its request may be
	// sent, agreeWithin how long it waits for that.
	agreeInterval = 20 * time.Millisecond
	agreeWithin   = 500 * time.Millisecond
)

// trial is a request with a part in quarantine that may be sent. It implements
// broker.Trial.
type trial struct {
	quarantine *quarantine
	part       string
	began      time.Time
}

// Try implements broker.Trials. The request must have one subject in quarantine, a part.
func (q *quarantine) Try(now time.Time, content uint64, parts []string) (broker.Trial, bool) {
	if _, found := q.subjects.Until(now, []string{crash.RequestSubject(content)}); found {
		return nil, false
	}
	part := ""
	for _, p := range parts {
		if _, found := q.subjects.Until(now, []string{p}); !found || p == part {
			continue
		}
		if part != "" {
			return nil, false
		}
		part = p
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if part == "" || !q.trials.Begin(now, part, func() bool { return q.isChosenFor(part) }) {
		return nil, false
	}
	q.active(now)
	return &trial{q, part, now}, true
}

// isChosenFor reports whether this process is the one that tries a part.
func (q *quarantine) isChosenFor(part string) bool {
	return q.node.peers.Chosen(xxhash.Sum64String(part), q.node.stopping.Load()) == q.node.Name
}

// Agree implements broker.Trial.
func (t *trial) Agree(ctx context.Context) bool {
	for time.Since(t.began) < agreeWithin && timer.Wait(ctx, agreeInterval) {
		t.quarantine.mu.Lock()
		ready := t.quarantine.trials.Ready(time.Now(), t.part, t.began)
		t.quarantine.mu.Unlock()
		if ready {
			return true
		}
	}
	return false
}

// Send implements broker.Trial.
func (t *trial) Send() bool {
	q := t.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.trials.Send(time.Now(), t.part, t.began) {
		return false
	}
	q.node.Meters.Add("QuarantineTrials", 1)
	q.node.Log.Info("a request with a part in quarantine is tried", zap.String("Subject", t.part))
	return true
}

// End implements broker.Trial.
func (t *trial) End(reached, served bool) {
	q := t.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.trials.End(t.part, t.began, reached)
	if reached {
		q.node.Log.Info("trial of a part in quarantine has ended", zap.String("Subject", t.part), zap.Bool("Served", served))
	}
	if reached && served && q.withdraw(time.Now(), t.part, t.began, q.node.Name) {
		q.withdrawals[t.part] = &withdrawal{at: time.Now(), own: true}
		q.tellWithdrawn(time.Now())
	}
}

// withdrawal is that of a part which this process tells its peers, or removes from the store.
type withdrawal struct {
	at, told time.Time
	// own is set if the trial was this process's.
	own bool
}

// withdraw ends the quarantine of a part that was served in a trial. It returns false if the
// part was found again since. q.mu must be held.
func (q *quarantine) withdraw(now time.Time, part string, began time.Time, source string) bool {
	if !q.trials.Withdraw(part, began) {
		return false
	}
	delete(q.found, part)
	if q.subjects.Remove(part) {
		q.evidence.Forget(part)
		q.active(now)
		q.node.Meters.Add("QuarantinesWithdrawn", 1)
		q.node.Log.Info("quarantine is withdrawn, as a request with the part was served", zap.String("Subject", part), zap.String("Source", source))
	}
	return true
}

// handleTrials handles what a peer says of trials. q.mu must be held.
func (q *quarantine) handleTrials(now time.Time, message *wire.News) {
	if _, member := q.node.peers.Member(message.From); !member {
		return
	}
	for _, w := range message.Withdrawn {
		if w.Ms > 0 && w.Part != "" && len(w.Part) <= crash.MaxPartBytes {
			q.withdraw(now, w.Part, decodePartTime(now, w), message.From)
		}
	}
	var known []*wire.PartTrials
	for _, m := range message.Trials {
		q.trials.Hear(message.From, m.Part, decodeClaims(now, m), m.Vote)
		if m.Asked {
			known = append(known, q.encodeTrials(now, m.Part))
		}
	}
	if len(known) > 0 {
		q.node.coordination.push(message.From, &wire.News{Trials: known})
	}
}

// tellTrials tells the peers what is due of trials and withdrawals, and removes the entries
// of parts that were withdrawn from the store. q.mu must be held.
func (q *quarantine) tellTrials(now time.Time) {
	q.trials.Observe(now, q.node.peers.LiveCount(), q.node.peers.Members())
	for _, part := range q.trials.Tell(now) {
		if until, found := q.subjects.Until(now, []string{part}); found {
			asked := q.encodeTrials(now, part)
			asked.Asked = true
			q.sendAll(&wire.News{Quarantined: []*wire.PartTime{encodeLeft(now, part, until)}, Trials: []*wire.PartTrials{asked}})
		}
	}
	q.tellWithdrawn(now)
	q.removeWithdrawn(now)
}

// tellWithdrawn tells the peers which parts this process has withdrawn. q.mu must be held.
func (q *quarantine) tellWithdrawn(now time.Time) {
	began := q.trials.Withdrawn()
	var due []*wire.PartTime
	for part, w := range q.withdrawals {
		at, withdrawn := began[part]
		switch {
		case !withdrawn:
			delete(q.withdrawals, part)
		case now.Sub(w.at) <= resendFor && now.Sub(w.told) >= resendInterval:
			w.told = now
			due = append(due, encodePartTime(part, now, at))
		}
	}
	if len(due) > 0 {
		q.sendAll(&wire.News{Withdrawn: due})
	}
}

// tellWithdrawnTo tells a peer that has become live, or that tells the finding of a part,
// what was withdrawn. q.mu must be held.
func (q *quarantine) tellWithdrawnTo(now time.Time, peer string, parts ...string) {
	for batch := range slices.Chunk(parts, maxWithdrawnPerMessage) {
		m := &wire.News{}
		for _, part := range batch {
			m.Withdrawn = append(m.Withdrawn, encodePartTime(part, now, q.trials.Withdrawn()[part]))
		}
		q.node.coordination.push(peer, m)
	}
}

// maxWithdrawnPerMessage bounds the parts in one message, so that it fits one packet.
const maxWithdrawnPerMessage = 16

// tellAllWithdrawnTo tells a peer that has become live which parts were withdrawn: it may have been cut
// off meanwhile.
func (q *quarantine) tellAllWithdrawnTo(now time.Time, peer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var parts []string
	for part := range q.trials.Withdrawn() {
		parts = append(parts, part)
	}
	q.tellWithdrawnTo(now, peer, parts...)
}

// removeWithdrawn removes the entries of parts that were withdrawn, also if they come back
// with an older copy of the store or are written again by a process of an older build. The
// process whose trial it was does so, and the one that writes the entries. q.mu must be held.
func (q *quarantine) removeWithdrawn(now time.Time) {
	for part := range q.trials.Withdrawn() {
		entry, stored := q.stored[part]
		if !stored {
			delete(q.written, part)
		}
		own := q.withdrawals[part] != nil && q.withdrawals[part].own
		if !stored || now.Sub(q.written[part]) < quarantineWriteRetry || !own && !q.writesToStore() {
			continue
		}
		if q.writes.Push(store.Object{Key: q.key(part), Version: entry.version}) {
			q.written[part] = now
		}
	}
}

// encodeTrials encodes what this process knows of the trials of a part. q.mu must be held.
func (q *quarantine) encodeTrials(now time.Time, part string) *wire.PartTrials {
	claims, vote := q.trials.Claims(part)
	m := &wire.PartTrials{Part: part, Vote: vote}
	for _, c := range claims {
		age := uint32(0)
		if c.Process != "" {
			age = uint32(max(now.Sub(c.At).Milliseconds(), 0))
		}
		m.Claims = append(m.Claims, &wire.TrialClaim{Process: c.Process, Incarnation: c.Incarnation, AgeMs: age})
	}
	return m
}

// maxOwnerName bounds the names of processes in claims, in bytes.
const maxOwnerName = 256

// decodeClaims decodes the claims of the trials of a part.
func decodeClaims(now time.Time, m *wire.PartTrials) []crash.Claim {
	claims := make([]crash.Claim, len(m.Claims))
	for i, c := range m.Claims {
		if c.Process != "" && len(c.Process) <= maxOwnerName {
			claims[i] = crash.Claim{Process: c.Process, Incarnation: c.Incarnation, At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond)}
		}
	}
	return claims
}

// encodeLeft encodes a subject in quarantine and the time that is left.
func encodeLeft(now time.Time, subject string, until time.Time) *wire.PartTime {
	return &wire.PartTime{Part: subject, Ms: uint32(until.Sub(now).Milliseconds())}
}
