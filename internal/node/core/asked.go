package core

import (
	"math/rand/v2"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// asking is when the peers were asked about a subject.
type asking struct {
	// some is when a few were first asked, all when all were, last when all were last.
	some, all, last time.Time
}

const (
	// askFewer is the number of subjects from which on only a few peers are asked at first,
	// as in long prompts. Most parts are served by any process, which few can say. It is
	// also how many subjects all are asked about at a time then.
	askFewer = 32
	// askSome is the number of these peers, someSettle how long they have to respond.
	askSome    = peers.MaxFresh
	someSettle = 150 * time.Millisecond
	// askedSettle is how long all have to respond before a part can be a cause.
	askedSettle = 300 * time.Millisecond
	// askedLongest is how long a part is asked about at most while answers on others come,
	// which may have been lost before.
	askedLongest = 1500 * time.Millisecond
)

// ask asks the peers which of the suspect subjects they have served. q.mu must be held.
func (q *quarantine) ask(now time.Time) {
	for subject, a := range q.asked {
		if now.Sub(a.last) > resendFor && now.Sub(a.some) > resendFor {
			delete(q.asked, subject)
		}
	}
	var suspects []string
	for _, subject := range q.evidence.Suspects(now, q.known(now)) {
		if last := q.lastServed(subject); !last.IsZero() {
			q.evidence.Succeeded(subject, last)
		}
		if !q.evidence.ServedSince(subject) {
			suspects = append(suspects, subject)
		}
	}
	members := q.node.peers.Peers()
	few := len(members) > askSome && len(suspects) > askFewer
	interval := max(resendInterval, askPerPeer*time.Duration(q.node.peers.Live()))
	var some, all []string
	for _, subject := range suspects {
		a := q.asked[subject]
		if a == nil {
			a = &asking{some: now}
			q.asked[subject] = a
			if few {
				some = append(some, subject)
				continue
			}
		}
		if few && (now.Sub(a.some) < someSettle || len(all) >= askFewer) || now.Sub(a.last) < interval {
			continue
		}
		if a.last = now; a.all.IsZero() {
			a.all = now
		}
		all = append(all, subject)
	}
	q.question(members, all)
	if len(some) > 0 {
		rand.Shuffle(len(members), func(i, k int) { members[i], members[k] = members[k], members[i] })
		q.question(members[:askSome], some)
	}
}

// question asks peers about subjects. q.mu must be held.
func (q *quarantine) question(members []peers.Member, subjects []string) {
	for batch := range batches(subjects, partBytes) {
		message := &wire.News{Suspects: batch}
		for _, m := range members {
			q.node.coordination.push(m.Name, message)
		}
	}
}

// mayBeFound reports whether a subject may be put into quarantine: a part only if all peers
// have had time to say that they have served it, and no answer has cleared another part
// lately. q.mu must be held.
func (q *quarantine) mayBeFound(now time.Time, subject string) bool {
	if crash.IsRequest(subject) {
		return true
	}
	a := q.asked[subject]
	if a == nil || a.all.IsZero() {
		return false
	}
	asked := now.Sub(a.all)
	return asked >= askedSettle && (now.Sub(q.cleared) >= askedSettle || asked >= askedLongest)
}

// clear handles that a peer has served a subject. q.mu must be held.
func (q *quarantine) clear(now time.Time, subject string, at time.Time) {
	before := q.evidence.ServedSince(subject)
	q.evidence.Succeeded(subject, at)
	if !before && q.evidence.ServedSince(subject) {
		q.cleared = now
	}
}
