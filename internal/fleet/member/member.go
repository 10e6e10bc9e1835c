// Package member tracks which processes of the system are live, by a gossip
// protocol in the manner of SWIM, without a consensus group.
//
// In each period a process exchanges messages with one other. It goes through
// its availability zone in a random order that is new for each round, so that it
// probes every process of the zone once per round. A process that responds
// neither directly nor to an indirect probe through others is suspected, which
// spreads with the exchanges. When the suspected process receives that update,
// it refutes it with a higher incarnation and is live again; if this does not
// happen within SuspicionTimeout, it is gone. A process that is suspect or gone
// has no share of the zone's tasks. This only balances load: what must be done by
// one process at a time is protected by leases.
//
// Messages have a bounded size. A change is sent a limited number of times;
// after that, messages only have a digest of the zone's processes, which shows
// whether two tables differ.
//
// # Usage
//
//	table := &member.Table{Self: self}
//	target, ok := table.Next(period, random)
//	// Exchange messages with target, then:
//	table.Merge(now, response.Updates)
//	table.MarkLive(now, target)
//
// Owner assigns tasks to live processes by rendezvous hashing.
package member

import (
	"net/netip"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a process according to a table.
type State int

// The states.
const (
	// Live processes respond.
	Live State = iota
	// Suspect processes did not respond, and have not refuted the suspicion yet.
	Suspect
	// Gone processes were suspected for SuspicionTimeout, or have never been
	// reached.
	Gone
)

var stateNames = [...]string{"Live", "Suspect", "Gone"}

// String returns the state's name. For a state that only a newer release
// defines, it returns "State" and the number.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "State" + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// Member is a process of the system.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          netip.AddrPort
	// Incarnation grows with each start and each refuted suspicion. Its high
	// bits are the time of the start.
	Incarnation uint64
	State       State
}

// newer reports whether m supersedes old, which is about the same process.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Timing of the protocol.
const (
	// Period is the interval between two exchanges that a process begins.
	Period = time.Second
	// SuspicionTimeout is how long a process is suspected before it is gone.
	SuspicionTimeout = 1500 * time.Millisecond
	// RemoteEvery is the interval, in periods, between exchanges with processes
	// of other zones.
	RemoteEvery = 5
	// RetryGoneEvery is the interval, in periods, between exchanges with
	// processes that are gone: they may be reachable again after a network
	// partition.
	RetryGoneEvery = 10
)

// retransmitFactor is how often a change is sent per doubling of the number of
// members.
const retransmitFactor = 3

// entry is a process other than this one.
type entry struct {
	Member
	// since is when the entry was last updated.
	since time.Time
	// transmissions is how often the change still has to be sent.
	transmissions int
}

// Table has the states of the other known processes. Self, this process, must be
// set before use. A Table is not safe for concurrent use.
type Table struct {
	Self Member

	entries map[string]*entry
	// probeOrder has the names of the processes still to be probed in this round.
	probeOrder []string
}

// Change is an applied update of a member.
type Change struct {
	Member Member
	// From is the state before the update; not valid if New is set.
	From State
	// New is set if the member was not known before.
	New bool
}

// Merge applies updates, except those that are stale, and returns what changed.
// If one of them has this process as suspect or gone in its incarnation or a
// later one, Self.Incarnation is raised above that, which refutes the update.
func (t *Table) Merge(now time.Time, updates []Member) []Change {
	var changes []Change
	for _, m := range updates {
		if c, ok := t.merge(now, m); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// merge applies one update and reports whether it changed an entry.
func (t *Table) merge(now time.Time, m Member) (Change, bool) {
	if m.Name == t.Self.Name {
		t.refute(m)
		return Change{}, false
	}
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	old, known := t.entries[m.Name]
	if known && !m.newer(old.Member) {
		return Change{}, false
	}
	change := Change{Member: m, New: !known}
	if known {
		change.From = old.State
		if !m.Address.IsValid() {
			m.Address = old.Address
		}
	}
	t.entries[m.Name] = &entry{Member: m, since: now, transmissions: t.transmitLimit()}
	return change, true
}

// refute raises the incarnation of this process above that of an update by which
// the process is suspected or gone.
func (t *Table) refute(m Member) {
	if m.State != Live && m.Incarnation >= t.Self.Incarnation {
		t.Self.Incarnation = m.Incarnation + 1
	}
}

// transmitLimit returns how often a change is sent. It grows with the logarithm of
// the number of members, almost all of which are in the local zone, where the
// change has to reach every process.
func (t *Table) transmitLimit() int {
	n := retransmitFactor
	for size := 1; size < len(t.entries); size *= 2 {
		n += retransmitFactor
	}
	return n
}

// Add adds a process of which only the name, zone and address are known, as from
// the list of VMs. It is gone until it responds.
func (t *Table) Add(now time.Time, m Member) {
	if _, known := t.entries[m.Name]; known || m.Name == t.Self.Name {
		return
	}
	m.Incarnation, m.State = 0, Gone
	t.merge(now, m)
}

// MarkLive records that the process m sent a message, and so is live. It does not
// refute a suspicion of the same incarnation.
func (t *Table) MarkLive(now time.Time, m Member) []Change {
	m.State = Live
	return t.Merge(now, []Member{m})
}

// MarkSuspect suspects a live process, which responded neither to an exchange
// nor to indirect probes. It changes nothing if the process is not live.
func (t *Table) MarkSuspect(now time.Time, name string) []Change {
	e, ok := t.entries[name]
	if !ok || e.State != Live {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return t.Merge(now, []Member{m})
}

// Expire turns the state of processes that were suspected for SuspicionTimeout
// to Gone.
func (t *Table) Expire(now time.Time) []Change {
	var changes []Change
	for _, name := range t.names() {
		e := t.entries[name]
		if e.State != Suspect || now.Sub(e.since) < SuspicionTimeout {
			continue
		}
		m := e.Member
		m.State = Gone
		changes = append(changes, t.Merge(now, []Member{m})...)
	}
	return changes
}

// Forget deletes the processes that are gone and not listed, as in the list of
// VMs.
func (t *Table) Forget(listed map[string]bool) {
	for name, e := range t.entries {
		if e.State == Gone && !listed[name] {
			delete(t.entries, name)
		}
	}
}

// names returns the names of the other processes, sorted.
func (t *Table) names() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Next returns the process to exchange messages with in the period with this
// number. It goes through the local zone in a random order. Every RemoteEvery
// periods it returns a process of another zone instead, and every RetryGoneEvery
// periods one that is gone, if there are such processes. If all other processes of
// the local zone are gone, it returns any process. random must be a new random
// number in each call. It returns false if no other process is known.
func (t *Table) Next(period int, random uint64) (Member, bool) {
	if period%RetryGoneEvery == RetryGoneEvery-1 {
		if m, ok := t.pick(random, func(e *entry) bool { return e.State == Gone }); ok {
			return m, true
		}
	}
	if period%RemoteEvery == RemoteEvery-1 {
		if m, ok := t.pick(random, func(e *entry) bool { return e.State != Gone && !t.isLocal(e) }); ok {
			return m, true
		}
	}
	for {
		if len(t.probeOrder) == 0 && !t.shuffle(random) {
			return t.pick(random, func(e *entry) bool { return true })
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if e, ok := t.entries[name]; ok && e.State != Gone && t.isLocal(e) {
			return e.Member, true
		}
	}
}

// isLocal reports whether the process is in the local zone.
func (t *Table) isLocal(e *entry) bool { return e.AvailabilityZone == t.Self.AvailabilityZone }

// shuffle begins a round: it puts the processes of the local zone that are not
// gone into a random order. It returns false if there are none.
func (t *Table) shuffle(random uint64) bool {
	t.probeOrder = t.probeOrder[:0]
	for _, name := range t.names() {
		if e := t.entries[name]; e.State != Gone && t.isLocal(e) {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	// Fisher-Yates with a linear congruential generator (Knuth's MMIX).
	for i := len(t.probeOrder) - 1; i > 0; i-- {
		random = random*6364136223846793005 + 1442695040888963407
		j := int((random >> 33) % uint64(i+1))
		t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
	}
	return len(t.probeOrder) > 0
}

// pick returns a random one of the processes that match.
func (t *Table) pick(random uint64, match func(*entry) bool) (Member, bool) {
	var list []string
	for _, name := range t.names() {
		if match(t.entries[name]) {
			list = append(list, name)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return t.entries[list[(random>>7)%uint64(len(list))]].Member, true
}

// IndirectProbers returns up to n random live processes of the local zone, by
// which the named process can be probed indirectly. Neither that process nor this
// one is among them.
func (t *Table) IndirectProbers(name string, n int, random uint64) []Member {
	var list []Member
	for _, m := range t.LiveInZone() {
		if m.Name != name && m.Name != t.Self.Name {
			list = append(list, m)
		}
	}
	for len(list) > n {
		i := int(random % uint64(len(list)))
		random /= 3
		list = append(list[:i], list[i+1:]...)
	}
	return list
}

// ZoneContacts returns, for each other zone, a random one of its processes
// that are not gone.
func (t *Table) ZoneContacts(random uint64) []Member {
	zones := map[string][]Member{}
	var names []string
	for _, m := range t.All()[1:] {
		zone := m.AvailabilityZone
		if m.State == Gone || zone == t.Self.AvailabilityZone {
			continue
		}
		if zones[zone] == nil {
			names = append(names, zone)
		}
		zones[zone] = append(zones[zone], m)
	}
	var list []Member
	for _, zone := range names {
		members := zones[zone]
		list = append(list, members[(random>>5)%uint64(len(members))])
	}
	return list
}

// Updates returns the changes to send, at most limit, and counts them as sent. Those
// with the most remaining transmissions come first.
func (t *Table) Updates(limit int) []Member {
	var list []*entry
	for _, name := range t.names() {
		if e := t.entries[name]; e.transmissions > 0 {
			list = append(list, e)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].transmissions > list[j].transmissions })
	var updates []Member
	for _, e := range list[:min(limit, len(list))] {
		e.transmissions--
		updates = append(updates, e.Member)
	}
	return updates
}

// Digest returns a hash of the processes of the local zone that are not gone, this
// one included, with their states and incarnations. Processes whose tables agree
// on these have the same digest.
func (t *Table) Digest() uint32 {
	var sum uint64
	for _, e := range t.entries {
		if t.isLocal(e) && e.State != Gone {
			sum += digest(e.Member)
		}
	}
	return uint32(sum + digest(t.Self))
}

// digest returns the hash of one member.
func digest(m Member) uint64 {
	return xxhash.Sum64String(m.Name) * (2*m.Incarnation + 1) * uint64(m.State+1)
}

// All returns all known processes: this one, then the others by name.
func (t *Table) All() []Member {
	list := []Member{t.Self}
	for _, name := range t.names() {
		list = append(list, t.entries[name].Member)
	}
	return list
}

// LiveInZone returns the live processes of the local zone, this one included.
func (t *Table) LiveInZone() []Member {
	var list []Member
	for _, m := range t.All() {
		if m.State == Live && m.AvailabilityZone == t.Self.AvailabilityZone {
			list = append(list, m)
		}
	}
	return list
}

// Owner returns the name of the member that a task is assigned to by rendezvous
// hashing: the one with the highest hash of the task and its name. If a member
// is removed, only its own tasks move. Without members it returns "".
func Owner(task string, members []Member) string {
	best, owner := uint64(0), ""
	for _, m := range members {
		h := xxhash.Sum64String(task + "\x00" + m.Name)
		if owner == "" || h > best {
			best, owner = h, m.Name
		}
	}
	return owner
}
