// Package peers keeps the state of the other processes of the system: which
// of them are members, their requests in progress, and the versions of their
// configurations.
//
// The members are the processes with an entry in the store. Their state comes
// in status messages, datagrams that each process sends to all others several
// times a second. The load of a process that has sent none for HeartbeatTimeout
// no longer counts, but the process remains a member, as it may still run,
// until its entry is removed from the store. A process that still sends status
// messages then remains one until it has been silent for some seconds.
//
// # Usage
//
//	table := peers.Table{Self: "entry-1"}
//	table.Replace(members)
//	table.Apply(now, message)
//	load := table.Server(server.Key())
//
// Every method is safe for concurrent use. The zero value has no members.
package peers

import (
	"maps"
	"sort"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/fleet/gone"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// HeartbeatTimeout is how long a process may send no status message before its
// load no longer counts. With many processes it is three times the
// HeartbeatInterval instead, if that is longer.
const HeartbeatTimeout = 600 * time.Millisecond

// MaxFresh is the number of processes up to which each sends its state to all others
// so often that the loads are fresh.
const MaxFresh = 12

const (
	// minInterval is the interval of status messages up to MaxFresh
	// processes.
	minInterval = 20 * time.Millisecond
	// messagesPerSecond bounds the status messages that a process sends, to all
	// peers together, above MaxFresh processes.
	messagesPerSecond = 200
	// missedHeartbeats is how many status messages in a row may be lost or late.
	missedHeartbeats = 3
)

// HeartbeatInterval returns the interval at which a process with this many peers
// sends each of them a status message. Above MaxFresh processes it grows
// with their number, so that the rate at which a process sends and receives does
// not.
func HeartbeatInterval(peers int) time.Duration {
	if peers < MaxFresh {
		return minInterval
	}
	return time.Second * time.Duration(peers) / messagesPerSecond
}

// timeoutFor returns how long a process with this many peers may send no status
// message before it counts as silent.
func timeoutFor(peers int) time.Duration {
	return max(HeartbeatTimeout, missedHeartbeats*HeartbeatInterval(peers))
}

// Load counts requests of one process, or of several together, at one backend
// server or in one queue. The unit in the queues of prefills is prompt tokens.
type Load struct {
	// Running counts the requests in progress, Long those of them that are long
	// work, Waiting those in the queue. Granted counts those of Running whose
	// permit another process granted.
	Running, Long, Waiting, Granted int
	// Prefills counts those of Running at an engine whose prefill has not ended,
	// PrefillTokens their prompt tokens. GrantedPrefills and GrantedTokens are
	// those of them whose permit another process granted.
	Prefills, PrefillTokens, GrantedPrefills, GrantedTokens int
	// PromptTokens are the tokens of the whole prompts that an engine holds for the
	// processes that tell them, GrantedPromptTokens those of Granted.
	PromptTokens, GrantedPromptTokens int
	// Untold are the requests of the processes that do not tell their prompts.
	Untold Untold
}

// Untold counts requests whose whole prompts are not known: those of Load.Running,
// PrefillTokens, Granted and GrantedTokens of some processes.
type Untold struct{ Running, PrefillTokens, Granted, GrantedTokens int }

// plus returns l plus o, or minus o if sign is -1.
func (l Load) plus(o Load, sign int) Load {
	return Load{
		Running: l.Running + sign*o.Running, Long: l.Long + sign*o.Long, Waiting: l.Waiting + sign*o.Waiting,
		Granted: l.Granted + sign*o.Granted, Prefills: l.Prefills + sign*o.Prefills, PrefillTokens: l.PrefillTokens + sign*o.PrefillTokens,
		GrantedPrefills: l.GrantedPrefills + sign*o.GrantedPrefills, GrantedTokens: l.GrantedTokens + sign*o.GrantedTokens,
		PromptTokens: l.PromptTokens + sign*o.PromptTokens, GrantedPromptTokens: l.GrantedPromptTokens + sign*o.GrantedPromptTokens,
		Untold: Untold{
			Running: l.Untold.Running + sign*o.Untold.Running, PrefillTokens: l.Untold.PrefillTokens + sign*o.Untold.PrefillTokens,
			Granted: l.Untold.Granted + sign*o.Untold.Granted, GrantedTokens: l.Untold.GrantedTokens + sign*o.Untold.GrantedTokens,
		},
	}
}

// WithoutGrants returns the load without the requests whose permit another process
// granted.
func (l Load) WithoutGrants() Load {
	l.Running -= l.Granted
	l.Prefills -= l.GrantedPrefills
	l.PrefillTokens -= l.GrantedTokens
	l.PromptTokens -= l.GrantedPromptTokens
	l.Untold.Running -= l.Untold.Granted
	l.Untold.PrefillTokens -= l.Untold.GrantedTokens
	return l
}

// peer is the last status message of a process.
type peer struct {
	incarnation, sequence uint64
	receivedAt            time.Time
	version               uint64
	stopping              bool
	servers, queues       map[uint64]Load
	// lost has the hashes of the services of which it reaches no backend server, running
	// is the number of its requests in progress.
	lost    []uint64
	running int
	// takesEnded is set if it handles usage counts of ended processes from others.
	takesEnded bool
}

// Table has the members and the state of the live peers. Self must be set before
// use.
type Table struct {
	// Self is this process's name.
	Self string

	mu      sync.RWMutex
	members map[string]Member
	peers   map[string]*peer
	// servers and queues are the sums over peers, by the hash of a backend
	// server's incarnation and of a queue.
	servers, queues map[uint64]Load
	// silent has the time of the last status message of each process that
	// Expire removed from peers, for silentRetention.
	silent map[string]time.Time
	// unlisted has the members without an entry in the store, which stay while they may
	// still run.
	unlisted map[string]bool
	// heard is when the last status message of each member came.
	heard map[string]time.Time
	// confirmed is when this process last saw its own entry in the store; zero if never.
	confirmed time.Time
	// uncounted is set while others may have removed this process's entry.
	uncounted bool
}

// Replace replaces all members. Those that are live stay until they are silent, as the
// store may have lost their entries.
func (t *Table) Replace(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.members
	t.members, t.unlisted = make(map[string]Member, len(members)), map[string]bool{}
	for name := range t.peers {
		if m, ok := before[name]; ok {
			t.members[name], t.unlisted[name] = m, true
		}
	}
	for _, m := range members {
		t.members[m.Name] = m
		delete(t.unlisted, m.Name)
	}
	maps.DeleteFunc(t.heard, func(name string, _ time.Time) bool {
		_, ok := t.members[name]
		return !ok
	})
}

// Set adds or updates a member.
func (t *Table) Set(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members == nil {
		t.members = map[string]Member{}
	}
	t.members[m.Name] = m
	delete(t.unlisted, m.Name)
}

// Remove removes a member, once it is silent.
func (t *Table) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, live := t.peers[name]; !live {
		t.drop(name)
		return
	}
	if _, ok := t.members[name]; ok {
		if t.unlisted == nil {
			t.unlisted = map[string]bool{}
		}
		t.unlisted[name] = true
	}
}

// drop removes a member. The caller must hold mu.
func (t *Table) drop(name string) {
	delete(t.members, name)
	delete(t.unlisted, name)
	delete(t.heard, name)
}

// Peers returns the members other than this process, sorted by name.
func (t *Table) Peers() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if m.Name != t.Self {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	return list
}

// Members returns the number of members, whether live or silent, this process
// included. It is higher while others may have removed this process's entry: what they
// share out among themselves and what the processes here take is then not more than what
// all members take.
func (t *Table) Members() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	members := t.size()
	if t.uncounted {
		live := t.live()
		return max(members, (members-live+1)*live-1)
	}
	return members
}

// size returns the number of members, this process included. The caller must hold mu.
func (t *Table) size() int {
	if _, ok := t.members[t.Self]; ok {
		return len(t.members)
	}
	return len(t.members) + 1
}

// live returns the number of live members, this process included. The caller must hold mu.
func (t *Table) live() int {
	live := 1
	for name := range t.peers {
		if _, ok := t.members[name]; ok {
			live++
		}
	}
	return live
}

// Confirm records that this process's entry was in the store, without a mark, at a time
// or later.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = at
}

// Half reports whether half of the members or more are live, this process included.
func (t *Table) Half() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return 2*t.live() >= t.size()
}

// Quiet returns the members that are not live, other than this process, and when their
// last status message came, zero if none has.
func (t *Table) Quiet() map[string]time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	quiet := map[string]time.Time{}
	for name := range t.members {
		if _, live := t.peers[name]; !live && name != t.Self {
			quiet[name] = t.heard[name]
		}
	}
	return quiet
}

// LiveCount returns the number of live members, this process included.
func (t *Table) LiveCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.live()
}

// Live returns the number of processes that are not silent, this one included.
// They need not be members.
func (t *Table) Live() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.peers) + 1
}

// Apply applies a status message. It returns false, and changes nothing, if the
// message is stale or a duplicate, is this process's own or has no sender. The
// sender need not be a member.
func (t *Table) Apply(now time.Time, message *wire.News) bool {
	if message.From == t.Self || message.From == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.peers[message.From]
	if known && (message.Incarnation < before.incarnation || message.Incarnation == before.incarnation && message.Sequence <= before.sequence) {
		return false
	}
	if t.peers == nil {
		t.peers, t.servers, t.queues = map[string]*peer{}, map[uint64]Load{}, map[uint64]Load{}
	}
	p := before
	if known {
		t.addLoads(p, -1)
		clear(p.servers)
		clear(p.queues)
	} else {
		p = &peer{servers: make(map[uint64]Load, len(message.Loads)), queues: make(map[uint64]Load, len(message.Lines))}
		t.peers[message.From] = p
	}
	p.incarnation, p.sequence, p.receivedAt = message.Incarnation, message.Sequence, now
	p.version, p.stopping, p.lost, p.takesEnded, p.running = message.TableVersion, message.Stopping, message.Lost, message.TakesEnded, 0
	for _, l := range message.Loads {
		p.running += int(l.Running)
		p.servers[l.Server] = serverLoad(l, message.TellsPrompts)
	}
	for _, l := range message.Lines {
		p.queues[l.Line] = Load{Running: int(l.Running), Waiting: int(l.Waiting), Granted: int(l.Granted)}
	}
	delete(t.silent, message.From)
	t.addLoads(p, 1)
	t.recordHeard(now, message.From)
	return true
}

// serverLoad returns a peer's load at a backend server. tells is set if the peer tells its prompts.
// A process of an older build does not, and neither does one without CacheTokens in its configuration:
// 0 then means that the prompts are not known.
func serverLoad(l *wire.ServerLoad, tells bool) Load {
	load := Load{
		Running: int(l.Running), Long: int(l.Long), Granted: int(l.Granted), Prefills: int(l.Reading), PrefillTokens: int(l.Tokens),
		GrantedPrefills: int(l.GrantedReading), GrantedTokens: int(l.GrantedTokens),
	}
	if tells {
		load.PromptTokens, load.GrantedPromptTokens = int(l.PromptTokens), int(l.GrantedPromptTokens)
		return load
	}
	load.Untold = Untold{Running: load.Running, PrefillTokens: load.PrefillTokens, Granted: load.Granted, GrantedTokens: load.GrantedTokens}
	return load
}

// recordHeard records that a status message came. The caller must hold mu.
func (t *Table) recordHeard(now time.Time, name string) {
	if _, ok := t.members[name]; !ok {
		return
	}
	if t.heard == nil {
		t.heard = map[string]time.Time{}
	}
	t.heard[name] = now
}

// addLoads adds a process's loads to the sums, or subtracts them if sign is -1.
// The caller must hold mu.
func (t *Table) addLoads(p *peer, sign int) {
	add := func(sums, loads map[uint64]Load) {
		for key, load := range loads {
			if sum := sums[key].plus(load, sign); sum == (Load{}) {
				delete(sums, key)
			} else {
				sums[key] = sum
			}
		}
	}
	add(t.servers, p.servers)
	add(t.queues, p.queues)
}

// Expire drops the loads of processes that have sent no status message for too
// long, and returns the names of these processes. It must be called regularly.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []string
	timeout := timeoutFor(len(t.members))
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) > timeout {
			t.addLoads(p, -1)
			delete(t.peers, name)
			if t.silent == nil {
				t.silent = map[string]time.Time{}
			}
			t.silent[name] = p.receivedAt
			silent = append(silent, name)
		}
	}
	for name, last := range t.silent {
		if now.Sub(last) > silentRetention {
			delete(t.silent, name)
			if t.unlisted[name] {
				t.drop(name)
			}
		}
	}
	t.uncounted = !t.confirmed.IsZero() && now.Sub(t.confirmed) > gone.ConfirmedFor && 2*t.live() <= t.size()
	return silent
}

// silentRetention is how long after its last status message a silent process is
// assumed to still use backend servers.
const silentRetention = 4 * time.Second

// Silent returns how many recently silent members may still use backend servers
// of the availability zone: those in that zone, and those in the local zone,
// whose silence is not explained by a network partition between zones.
func (t *Table) Silent(zone, local string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	count := 0
	for name := range t.silent {
		if z := t.members[name].AvailabilityZone; z == zone || z == local {
			count++
		}
	}
	return count
}

// Server returns the load of all live peers at the backend server with the key.
func (t *Table) Server(key uint64) Load {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servers[key]
}

// Queue returns the load of all live peers in the queue with the key.
func (t *Table) Queue(key uint64) Load {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.queues[key]
}

// Member returns the member with the name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m, ok := t.members[name]
	return m, ok
}

// NewerConfig returns the live member with the newest configuration, if that is
// newer than version. Otherwise it returns false.
func (t *Table) NewerConfig(version uint64) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var best Member
	found := false
	for name, p := range t.peers {
		if m, ok := t.members[name]; ok && p.version > version {
			best, found, version = m, true, p.version
		}
	}
	return best, found
}
