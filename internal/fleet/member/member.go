// Package member keeps which processes of the system are live, without a
// consensus group.
//
// In each period a process exchanges with one other, in an order that is a new
// random round each time, so that every process of a zone is probed once per
// round. A process that does not answer, neither directly nor when asked
// through others, is suspected. News of that spreads with the exchanges. The
// suspected process, once it hears of it, answers with a higher incarnation and
// is live again; if it does not within SuspectFor, it is gone. Being gone
// costs a process its share of the zone's chores, never its promises: those
// rest on leases.
//
// Messages have a bounded size: a change is passed on a few times and then only
// a digest of the whole table goes along, which shows when two tables differ.
//
// # Usage
//
//	table := &member.Table{Self: self}
//	target, ok := table.Next(random)
//	// exchange with target, then
//	table.Merge(now, answer.News)
//	table.Reached(now, target.Name)
//
// Owner assigns chores to live processes by rendezvous hashing.
package member

import (
	"net/netip"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a process.
type State int

// The states.
const (
	Live State = iota
	Suspect
	Gone
)

var stateNames = [...]string{"Live", "Suspect", "Gone"}

// String returns the state's name. A state may be one that only a newer release
// knows.
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

// newer reports whether m is later news than old about the same process.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State > old.State
}

// Timing of the protocol.
const (
	// Period is the time between two exchanges of a process.
	Period = time.Second
	// SuspectFor is how long a process is suspected before it is gone.
	SuspectFor = 1500 * time.Millisecond
	// RemoteEvery is how many periods lie between exchanges with other zones.
	RemoteEvery = 5
	// RetryGone is how many periods lie between tries to reach a process that
	// is gone, which heals partitions.
	RetryGone = 10
)

// repeats is how often a change is passed on per doubling of the zone's size.
const repeats = 3

type entry struct {
	Member
	since time.Time
	// left counts how often the change is still to be passed on.
	left int
}

// Table is what a process believes of all processes it knows. Self must be
// set. A Table is not safe for concurrent use.
type Table struct {
	Self Member

	entries map[string]*entry
	round   []string
}

// Change is a change of state of a member.
type Change struct {
	Member Member
	From   State
	// New is set if the member was not known.
	New bool
}

// Merge takes in news and returns what changed.
func (t *Table) Merge(now time.Time, news []Member) []Change {
	var changes []Change
	for _, m := range news {
		if c, ok := t.merge(now, m); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

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
	t.entries[m.Name] = &entry{Member: m, since: now, left: t.repeats()}
	return change, true
}

// refute answers news that this process is suspected or gone.
func (t *Table) refute(m Member) {
	if m.State != Live && m.Incarnation >= t.Self.Incarnation {
		t.Self.Incarnation = m.Incarnation + 1
	}
}

// repeats grows with the logarithm of the members of the own zone, since news
// that matters to a zone spreads among these.
func (t *Table) repeats() int {
	n := repeats
	for size := 1; size < len(t.entries); size *= 2 {
		n += repeats
	}
	return n
}

// Add makes a process known by its address only, as from the list of VMs. It
// counts as gone until it answers.
func (t *Table) Add(now time.Time, m Member) {
	if _, known := t.entries[m.Name]; known || m.Name == t.Self.Name {
		return
	}
	m.Incarnation, m.State = 0, Gone
	t.merge(now, m)
}

// Reached notes that a process answered.
func (t *Table) Reached(now time.Time, m Member) []Change {
	m.State = Live
	return t.Merge(now, []Member{m})
}

// Missed notes that a process answered neither directly nor through others.
func (t *Table) Missed(now time.Time, name string) []Change {
	e, ok := t.entries[name]
	if !ok || e.State != Live {
		return nil
	}
	m := e.Member
	m.State = Suspect
	return t.Merge(now, []Member{m})
}

// Expire turns suspicions that were not refuted in time into Gone.
func (t *Table) Expire(now time.Time) []Change {
	var changes []Change
	for _, name := range t.names() {
		e := t.entries[name]
		if e.State != Suspect || now.Sub(e.since) < SuspectFor {
			continue
		}
		m := e.Member
		m.State = Gone
		changes = append(changes, t.Merge(now, []Member{m})...)
	}
	return changes
}

// Forget drops processes that are gone and not on the list of VMs.
func (t *Table) Forget(listed map[string]bool) {
	for name, e := range t.entries {
		if e.State == Gone && !listed[name] {
			delete(t.entries, name)
		}
	}
}

func (t *Table) names() []string {
	names := make([]string, 0, len(t.entries))
	for name := range t.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Next returns the process to exchange with in the period with the number. It
// goes through the zone in a random order, and now and then to another zone or
// to a process that is gone. random must be a new number each time.
func (t *Table) Next(period int, random uint64) (Member, bool) {
	if period%RetryGone == RetryGone-1 {
		if m, ok := t.any(random, func(e *entry) bool { return e.State == Gone }); ok {
			return m, true
		}
	}
	if period%RemoteEvery == RemoteEvery-1 {
		if m, ok := t.any(random, func(e *entry) bool { return e.State != Gone && !t.near(e) }); ok {
			return m, true
		}
	}
	for {
		if len(t.round) == 0 && !t.startRound(random) {
			return t.any(random, func(e *entry) bool { return true })
		}
		name := t.round[0]
		t.round = t.round[1:]
		if e, ok := t.entries[name]; ok && e.State != Gone && t.near(e) {
			return e.Member, true
		}
	}
}

func (t *Table) near(e *entry) bool { return e.AvailabilityZone == t.Self.AvailabilityZone }

// startRound shuffles the live processes of the zone.
func (t *Table) startRound(random uint64) bool {
	t.round = t.round[:0]
	for _, name := range t.names() {
		if e := t.entries[name]; e.State != Gone && t.near(e) {
			t.round = append(t.round, name)
		}
	}
	for i := len(t.round) - 1; i > 0; i-- {
		random = random*6364136223846793005 + 1442695040888963407
		j := int((random >> 33) % uint64(i+1))
		t.round[i], t.round[j] = t.round[j], t.round[i]
	}
	return len(t.round) > 0
}

// any returns one of the processes that match.
func (t *Table) any(random uint64, match func(*entry) bool) (Member, bool) {
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

// Helpers returns up to n live processes of the zone, other than the named
// one, to probe it through.
func (t *Table) Helpers(name string, n int, random uint64) []Member {
	var list []Member
	for _, m := range t.Zone() {
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

// Contacts returns one process of each other zone that is not gone.
func (t *Table) Contacts(random uint64) []Member {
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

// News returns the changes to pass on, at most limit, and counts them as passed
// on. The changes that were passed on least come first.
func (t *Table) News(limit int) []Member {
	var list []*entry
	for _, name := range t.names() {
		if e := t.entries[name]; e.left > 0 {
			list = append(list, e)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].left > list[j].left })
	var news []Member
	for _, e := range list[:min(limit, len(list))] {
		e.left--
		news = append(news, e.Member)
	}
	return news
}

// Digest is a hash of what the table says of the own zone. Tables that say the
// same have the same digest.
func (t *Table) Digest() uint32 {
	var sum uint64
	for _, e := range t.entries {
		if t.near(e) && e.State != Gone {
			sum += digest(e.Member)
		}
	}
	return uint32(sum + digest(t.Self))
}

func digest(m Member) uint64 {
	return xxhash.Sum64String(m.Name) * (2*m.Incarnation + 1) * uint64(m.State+1)
}

// All returns every process known, this one first.
func (t *Table) All() []Member {
	list := []Member{t.Self}
	for _, name := range t.names() {
		list = append(list, t.entries[name].Member)
	}
	return list
}

// Zone returns the live processes of the own zone, this one included.
func (t *Table) Zone() []Member {
	var list []Member
	for _, m := range t.All() {
		if m.State == Live && m.AvailabilityZone == t.Self.AvailabilityZone {
			list = append(list, m)
		}
	}
	return list
}

// Owner returns the name of the process that has a chore: of all that are
// given, the one whose hash with the chore is highest. When a process goes,
// only its own chores move.
func Owner(chore string, members []Member) string {
	best, owner := uint64(0), ""
	for _, m := range members {
		h := xxhash.Sum64String(chore + "\x00" + m.Name)
		if owner == "" || h > best {
			best, owner = h, m.Name
		}
	}
	return owner
}
