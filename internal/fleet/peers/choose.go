package peers

import (
	"cmp"
	"iter"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Coordinator returns the name of the coordinator of the service with the hash key, which
// may be this process: the first of the Coordinators that have not lost the service.
// stopping says whether this process is not eligible. Processes with the same live peers
// get the same result. Without a candidate it is this process.
func (t *Table) Coordinator(key uint64, stopping bool) string {
	return t.first(key, stopping, func(p *peer) bool { return p.hasLost(key) })
}

// Chosen returns the name of the process that has the duty with a key for all, the first of
// the Coordinators.
func (t *Table) Chosen(key uint64, stopping bool) string {
	return t.first(key, stopping, func(*peer) bool { return false })
}

// first returns the first of the candidates without those that are excluded, this process if
// there is none. It is called in every tick.
func (t *Table) first(key uint64, stopping bool, excluded func(*peer) bool) string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	best, found := candidate{name: t.Self}, false
	for c := range t.candidates(key, stopping, excluded) {
		if !found || c.compare(best) < 0 {
			best, found = c, true
		}
	}
	return best.name
}

// Coordinators returns up to count of the live members that are not stopping, those with the
// most cores first; rendezvous hashing by the key decides between equals. It is the order in
// which they would replace each other.
func (t *Table) Coordinators(key uint64, stopping bool, count int) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]candidate, 0, len(t.peers)+1)
	for c := range t.candidates(key, stopping, func(*peer) bool { return false }) {
		list = append(list, c)
	}
	slices.SortFunc(list, candidate.compare)
	names := make([]string, 0, count)
	for _, c := range list[:min(count, len(list))] {
		names = append(names, c.name)
	}
	return names
}

// LiveMembers returns the live members, this process included if it is one, with the latest
// known incarnation of each: that of its status messages or of its entry in the store.
func (t *Table) LiveMembers() map[string]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	live := make(map[string]uint64, len(t.peers)+1)
	for name, m := range t.members {
		if p, ok := t.peers[name]; ok {
			live[name] = max(p.incarnation, m.Incarnation)
		} else if name == t.Self {
			live[name] = m.Incarnation
		}
	}
	return live
}

// TakesEnded returns whether a live member handles usage counts of ended processes from others,
// and its incarnation. One that has started again is not known to until its first status message.
func (t *Table) TakesEnded(name string) (incarnation uint64, takes bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, live := t.peers[name]
	if !live || !p.takesEnded || p.incarnation < t.members[name].Incarnation {
		return 0, false
	}
	return p.incarnation, true
}

// candidate is a process that may be a coordinator. score is its rendezvous score for the key.
type candidate struct {
	name  string
	cores float64
	score uint64
}

// compare orders the candidates: the first one becomes the coordinator.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.cores, c.cores), cmp.Compare(c.score, o.score))
}

// candidates returns the live members that are not stopping, in no order and without the peers
// that are excluded. The caller must hold mu.
func (t *Table) candidates(key uint64, stopping bool, excluded func(*peer) bool) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		if m, ok := t.members[t.Self]; ok && !stopping && !yield(candidate{t.Self, m.Cores, rendezvous(t.Self, key)}) {
			return
		}
		for name, p := range t.peers {
			if p.stopping || excluded(p) {
				continue
			}
			if m, ok := t.members[name]; ok && !yield(candidate{name, m.Cores, rendezvous(name, key)}) {
				return
			}
		}
	}
}

// Reacher is a live member that reaches backend servers of a service.
type Reacher struct {
	Member
	// Running is the number of its requests in progress.
	Running int
}

// LostAll stands for all services among those of which a process reaches no backend
// server.
const LostAll = 0

// Reachers returns the live peers that reach backend servers of the service with the hash
// key and are not stopping, up to MaxFresh of them: the first in the rendezvous order for
// this process's name.
func (t *Table) Reachers(key uint64) []Reacher {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []Reacher
	for name, p := range t.peers {
		m, ok := t.members[name]
		if ok && !p.stopping && !p.hasLost(key) {
			list = append(list, Reacher{m, p.running})
		}
	}
	if len(list) <= MaxFresh {
		return list
	}
	own := xxhash.Sum64String(t.Self)
	slices.SortFunc(list, func(a, b Reacher) int { return cmp.Compare(rendezvous(a.Name, own), rendezvous(b.Name, own)) })
	return list[:MaxFresh]
}

// hasLost reports whether the process reaches no backend server of the service.
func (p *peer) hasLost(key uint64) bool {
	return slices.Contains(p.lost, key) || slices.Contains(p.lost, LostAll)
}

// Standing is a member with what its status messages show of it.
type Standing struct {
	Member
	// Live is set if its status messages arrive, Heard if any has arrived since this process
	// started, and Stopping during its planned stop.
	Live, Heard, Stopping bool
}

// Standings returns all members in no order, this process included: own is its entry, which
// need not be in the store.
func (t *Table) Standings(own Member, stopping bool) []Standing {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Standing, 0, len(t.members)+1)
	list = append(list, Standing{own, true, true, stopping})
	for name, m := range t.members {
		if name == t.Self {
			continue
		}
		s := Standing{Member: m, Heard: !t.heard[name].IsZero()}
		if p, live := t.peers[name]; live {
			s.Live, s.Heard, s.Stopping = true, true, p.stopping
		}
		list = append(list, s)
	}
	return list
}

// Rank returns the position of this process, from 0, in the rendezvous order of all
// members for a key, and their number. Silent members count, since they may still run.
// While others may have removed this process's entry, it is the last: they share out all.
func (t *Table) Rank(key uint64) (rank, members int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own := rendezvous(t.Self, key)
	members = 1
	for name := range t.members {
		if name == t.Self {
			continue
		}
		members++
		if rendezvous(name, key) < own {
			rank++
		}
	}
	if t.uncounted {
		return members, members
	}
	return rank, members
}

// Nearest returns up to count live peers, the first in the rendezvous order for a key.
func (t *Table) Nearest(key uint64, count int) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.peers))
	for name := range t.peers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(rendezvous(a, key), rendezvous(b, key)) })
	return names[:min(count, len(names))]
}

// rendezvous returns the score of a process for a key. The lowest comes first.
func rendezvous(name string, key uint64) uint64 {
	var buffer [rendezvousBytes]byte
	text := append(append(buffer[:0], name...), '/')
	return xxhash.Sum64(strconv.AppendUint(text, key, 16))
}

// rendezvousBytes is enough for most names with a key; longer ones are allocated.
const rendezvousBytes = 96
