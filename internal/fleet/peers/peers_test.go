package peers

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/gone"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

func message(from string, incarnation, sequence uint64, running uint32) *wire.News {
	return &wire.News{
		From: from, Incarnation: incarnation, Sequence: sequence, TableVersion: sequence,
		Loads: []*wire.ServerLoad{{Server: 7, Running: running, Long: 1}}, Lines: []*wire.LineLoad{{Line: 9, Waiting: running}},
	}
}

func TestApply(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	assert.True(t, table.Apply(now, message("b", 1, 1, 3)))
	assert.True(t, table.Apply(now, message("c", 1, 1, 4)))
	assert.Equal(t, Load{Running: 7, Long: 2, Untold: Untold{Running: 7}}, table.Server(7))
	assert.Equal(t, 7, table.Queue(9).Waiting)
	assert.True(t, table.Apply(now, message("b", 1, 2, 1)))
	assert.Equal(t, 5, table.Server(7).Running, "a newer message replaces an older one")
	assert.False(t, table.Apply(now, message("b", 1, 1, 9)), "a late datagram")
	assert.False(t, table.Apply(now, message("b", 1, 2, 9)), "a duplicate datagram")
	assert.True(t, table.Apply(now, message("b", 2, 1, 2)), "b has started again")
	assert.False(t, table.Apply(now, message("b", 1, 9, 9)), "a datagram from before the restart")
	assert.False(t, table.Apply(now, message("a", 9, 9, 9)), "its own message")
	assert.Equal(t, 6, table.Server(7).Running)
	assert.Equal(t, 3, table.Live())
}

func TestExpireSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Set(Member{Name: "b"})
	table.Apply(now, message("b", 1, 1, 3))
	assert.Empty(t, table.Expire(now.Add(HeartbeatTimeout)))
	assert.Equal(t, []string{"b"}, table.Expire(now.Add(HeartbeatTimeout+1)))
	assert.Equal(t, Load{}, table.Server(7))
	assert.Equal(t, 1, table.Live())
	assert.Equal(t, 2, table.Members(), "all members count, silent ones too")
	table.Remove("b")
	assert.Equal(t, 1, table.Members())
}

func TestNewerConfig(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Replace([]Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	table.Apply(now, message("b", 1, 4, 0))
	table.Apply(now, message("c", 1, 6, 0))
	table.Apply(now, message("unknown", 1, 9, 0))
	m, found := table.NewerConfig(5)
	assert.True(t, found)
	assert.Equal(t, "c", m.Name)
	_, found = table.NewerConfig(6)
	assert.False(t, found)
	assert.Len(t, table.Peers(), 2)
}

func TestParse(t *testing.T) {
	m, err := Parse([]byte(`{"Name":"a","AvailabilityZone":"calicut","Address":"10.0.0.1:7660","Incarnation":5}`))
	assert.NoError(t, err)
	assert.Equal(t, Member{"a", "calicut", netip.MustParseAddrPort("10.0.0.1:7660"), 5, 0, false}, m)
	for _, data := range []string{``, `7`, `{"Name":"a"}`, `{"Address":"10.0.0.1:7660"}`, `{"Name":"a","Address":"somewhere"}`} {
		_, err := Parse([]byte(data))
		assert.ErrorIs(t, err, ErrInvalidEntry, data)
	}
}

// memberEntry is the entry of a process with the fields added.
func memberEntry(fields string) string {
	return `{"Name":"a","AvailabilityZone":"calicut","Address":"10.0.0.1:7660","Incarnation":5,"Cores":2` + fields + `}`
}

// oddEntries are entries of another writer with values that no process has.
func oddEntries() []string {
	long := strings.Repeat("x", 257)
	entries := []string{"null", "[]", "\xff\xfe", `{"Name":["a"]}`, strings.Repeat("[", 20_000)}
	for _, fields := range []string{
		`,"Extra":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `,"Name":"` + long + `"`, `,"AvailabilityZone":"` + long + `"`,
		`,"Address":"10.0.0.1:0"`, `,"Address":"10.0.0.1:65536"`, `,"Address":"0.0.0.0:7660"`, `,"Address":"224.0.0.1:7660"`, `,"Address":7`,
		`,"Cores":-1`, `,"Cores":1e308`, `,"Cores":1e999`, `,"Cores":"2"`, `,"Cores":NaN`, `,"Incarnation":-1`, `,"Incarnation":18446744073709551616`,
	} {
		entries = append(entries, memberEntry(fields))
	}
	return entries
}

// TestOddEntryNamesNoProcess checks that values out of range make an entry that names no
// process.
func TestOddEntryNamesNoProcess(t *testing.T) {
	_, err := Parse([]byte(memberEntry("")))
	assert.NoError(t, err)
	for _, data := range oddEntries() {
		_, err := Parse([]byte(data))
		assert.ErrorIs(t, err, ErrInvalidEntry, "%.120s", data)
	}
}

// FuzzParse checks that Parse returns either a process that can be reached or an
// ErrInvalidEntry.
func FuzzParse(f *testing.F) {
	f.Add([]byte(memberEntry("")))
	for _, data := range oddEntries() {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if err != nil && !errors.Is(err, ErrInvalidEntry) {
			t.Fatal(err)
		}
		if err == nil && (m.Name == "" || m.Address.Port() == 0 || !(m.Cores >= 0 && m.Cores < 1e6)) {
			t.Fatalf("%+v", m)
		}
	})
}

// FuzzTake checks that no loads are left over once all peers have expired,
// whatever datagrams arrive.
func FuzzTake(f *testing.F) {
	for _, m := range []*wire.News{message("b", 1, 1, 3), {From: "b"}, {}} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		now := time.Unix(1000, 0)
		table := Table{Self: "a"}
		for _, data := range [][]byte{first, second, first} {
			var m wire.News
			if proto.Unmarshal(data, &m) == nil {
				table.Apply(now, &m)
			}
		}
		table.Expire(now.Add(time.Hour))
		if len(table.servers) > 0 || len(table.queues) > 0 || table.Live() != 1 {
			t.Fatalf("left over: %v %v", table.servers, table.queues)
		}
	})
}

// Processes with the same live peers agree on the coordinator, which is one of
// the largest VMs and neither stopping nor silent.
func TestCoordinator(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []Member{
		{Name: "a", Cores: 0.4}, {Name: "b", Cores: 0.8}, {Name: "c", Cores: 0.8}, {Name: "d", Cores: 0.1}, {Name: "e", Cores: 0.8},
	}
	tables := map[string]*Table{}
	exchange := func(stopping string, silent ...string) {
		for _, m := range members {
			table := &Table{Self: m.Name}
			table.Replace(members)
			for _, o := range members {
				if o.Name != m.Name && !slices.Contains(silent, o.Name) {
					table.Apply(now, &wire.News{From: o.Name, Incarnation: 1, Sequence: 1, Stopping: o.Name == stopping})
				}
			}
			tables[m.Name] = table
		}
	}
	agreed := func(key uint64, stopping string, silent ...string) string {
		got := map[string]bool{}
		for name, table := range tables {
			if !slices.Contains(silent, name) {
				got[table.Coordinator(key, name == stopping)] = true
			}
		}
		require.Len(t, got, 1, "all agree")
		for name := range got {
			return name
		}
		return ""
	}
	exchange("")
	coordinators := map[string]int{}
	for key := range uint64(100) {
		coordinators[agreed(key, "")]++
	}
	assert.Len(t, coordinators, 3, "each of the largest VMs coordinates some keys: %v", coordinators)
	first := agreed(1, "")
	exchange(first)
	second := agreed(1, first)
	assert.NotEqual(t, first, second, "a stopping process does not coordinate")
	exchange("", first)
	assert.Equal(t, second, agreed(1, "", first), "nor does a silent one")
	alone := &Table{Self: "x"}
	assert.Equal(t, "x", alone.Coordinator(1, false))
}

// Whatever the number of processes, one that sends at HeartbeatInterval never
// counts as silent, even if a message is lost, and one that has ended does.
func TestTimeoutFollowsInterval(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, count := range []int{2, 6, 80, 300, 720} {
		table := &Table{Self: "self"}
		for i := range count {
			table.Set(Member{Name: fmt.Sprint("p", i)})
		}
		interval := HeartbeatInterval(count)
		for round := range uint64(5) {
			at := start.Add(time.Duration(round) * interval)
			assert.Empty(t, table.Expire(at.Add(interval/2)), count)
			table.Apply(at, &wire.News{From: "p0", Incarnation: 1, Sequence: round + 1})
		}
		last := start.Add(4 * interval)
		assert.Empty(t, table.Expire(last.Add(2*interval)), "%d: one message lost", count)
		assert.Len(t, table.Expire(last.Add(max(HeartbeatTimeout, 3*interval)+1)), 1, count)
	}
	assert.Equal(t, 20*time.Millisecond, HeartbeatInterval(5))
	assert.Equal(t, 20*time.Millisecond, HeartbeatInterval(MaxFresh-1))
	assert.Equal(t, 395*time.Millisecond, HeartbeatInterval(79))
}

// TestRank checks that the processes that know the same members agree on their order,
// that it differs between keys, and that silent members keep their place.
func TestRank(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for key := range uint64(20) {
		ranks := map[int]string{}
		for _, self := range names {
			table := Table{Self: self}
			for _, name := range names {
				table.Set(Member{Name: name})
			}
			rank, members := table.Rank(key)
			assert.Equal(t, len(names), members)
			ranks[rank] = self
		}
		assert.Len(t, ranks, len(names), "each process has its own place")
	}
	first := map[int]bool{}
	table := Table{Self: "a"}
	for _, name := range names[1:] {
		table.Set(Member{Name: name})
	}
	for key := range uint64(20) {
		rank, members := table.Rank(key)
		assert.Equal(t, len(names), members, "a process without an entry counts itself")
		first[rank] = true
	}
	assert.Len(t, first, len(names))
}

// TestLiveMembersStay checks that processes whose entries the store has lost keep their
// shares, and that silent ones don't.
func TestLiveMembersStay(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Replace([]Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	table.Apply(now, &wire.News{From: "b", Incarnation: 1, Sequence: 1})
	table.Replace(nil)
	assert.Equal(t, 2, table.Members())
	_, known := table.Member("b")
	assert.True(t, known)
	table.Expire(now.Add(time.Minute))
	table.Replace(nil)
	assert.Equal(t, 1, table.Members())
}

// TestLiveProcessWhoseEntryIsRemovedKeepsItsShare checks that a process is counted while it
// sends status messages, and not any more once it is silent, if its entry is removed.
func TestLiveProcessWhoseEntryIsRemovedKeepsItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Replace([]Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	table.Apply(now, &wire.News{From: "b", Incarnation: 1, Sequence: 1})
	table.Remove("b")
	table.Remove("c")
	assert.Equal(t, 2, table.Members(), "b still runs")
	table.Expire(now.Add(silentRetention))
	assert.Equal(t, 2, table.Members(), "b may still use servers")
	table.Expire(now.Add(silentRetention + 1))
	assert.Equal(t, 1, table.Members())
}

// TestProcessThatMayBeRemovedTakesNothingOfTheOthers checks that a process which has not seen
// its own entry for long relies on no share, unless most of the members are live here: then
// no other process removes entries.
func TestProcessThatMayBeRemovedTakesNothingOfTheOthers(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		live, size int
		after      time.Duration
		uncounted  bool
	}{
		{"alone", 1, 5, gone.ConfirmedFor + 1, true},
		{"alone, lately confirmed", 1, 5, gone.ConfirmedFor, false},
		{"half", 3, 6, gone.ConfirmedFor + 1, true},
		{"more than half", 3, 5, gone.ConfirmedFor + 1, false},
		{"the only process", 1, 1, gone.ConfirmedFor + 1, false},
	} {
		table := Table{Self: "p0"}
		now := start.Add(c.after)
		table.Confirm(start)
		for i := range c.size {
			table.Set(Member{Name: fmt.Sprint("p", i)})
			if i > 0 && i < c.live {
				table.Apply(now, &wire.News{From: fmt.Sprint("p", i), Incarnation: 1, Sequence: 1})
			}
		}
		table.Expire(now)
		rank, members := table.Rank(7)
		assert.Equal(t, c.size, members, c.name)
		assert.Equal(t, c.uncounted, rank == members, c.name)
		assert.GreaterOrEqual(t, table.Members(), c.size, c.name)
		table.Confirm(now)
		table.Expire(now)
		rank, _ = table.Rank(7)
		assert.Less(t, rank, c.size, c.name)
		assert.Equal(t, c.size, table.Members(), c.name)
	}
}

// TestQuiet checks that the silent members and when they were heard are known, and that
// this is forgotten with the member.
func TestQuiet(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Replace([]Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	for _, name := range []string{"b", "stranger"} {
		table.Apply(now, &wire.News{From: name, Incarnation: 1, Sequence: 1})
	}
	assert.Equal(t, map[string]time.Time{"c": {}}, table.Quiet())
	assert.True(t, table.Half())
	table.Expire(now.Add(time.Minute))
	assert.Equal(t, map[string]time.Time{"b": now, "c": {}}, table.Quiet())
	assert.False(t, table.Half())
	table.Remove("b")
	assert.True(t, table.Half(), "one of two")
	assert.Empty(t, table.heard)
	table.Set(Member{Name: "b"})
	table.Apply(now, &wire.News{From: "b", Incarnation: 2, Sequence: 1})
	table.Expire(now.Add(time.Minute))
	table.Replace([]Member{{Name: "a"}})
	assert.Empty(t, table.heard)
}

// TestCutProcessDoesNotCoordinate checks that a process that reaches no backend server of a
// service is not its coordinator, while another one reaches some.
func TestCutProcessDoesNotCoordinate(t *testing.T) {
	const key, other = 7, 8
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	table.Replace([]Member{{Name: "a", Cores: 1}, {Name: "b", Cores: 2}, {Name: "c", Cores: 1}})
	for _, name := range []string{"b", "c"} {
		m := message(name, 1, 1, 0)
		if name == "b" {
			m.Lost = []uint64{key}
		}
		table.Apply(now, m)
	}
	assert.NotEqual(t, "b", table.Coordinator(key, false))
	assert.Equal(t, "c", table.Coordinator(key, true), "this process is cut off too")
	assert.Equal(t, "b", table.Coordinator(other, false))
	assert.Equal(t, "b", table.Chosen(key, false), "duties need no backend server")
	table.Apply(now, &wire.News{From: "b", Incarnation: 1, Sequence: 9, Lost: []uint64{LostAll}})
	assert.NotEqual(t, "b", table.Coordinator(other, false), "it has lost more services than a message names")
}

// TestPromptsOfPeers guards against a peer of an older build whose prompts count as nothing, and
// against prompts that stay when a peer is silent.
func TestPromptsOfPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	table := Table{Self: "a"}
	tell := func(from string, sequence uint64, tells bool, l *wire.ServerLoad) {
		l.Server = 7
		assert.True(t, table.Apply(now, &wire.News{From: from, Incarnation: 1, Sequence: sequence, TellsPrompts: tells, Loads: []*wire.ServerLoad{l}}))
	}
	tell("new", 1, true, &wire.ServerLoad{Running: 3, Granted: 1, Tokens: 900, GrantedTokens: 400, PromptTokens: 9000, GrantedPromptTokens: 4000})
	tell("short", 1, true, &wire.ServerLoad{Running: 2})
	tell("old", 1, false, &wire.ServerLoad{Running: 4, Granted: 1, Tokens: 700, GrantedTokens: 300})
	tell("cache", 1, true, &wire.ServerLoad{PromptTokens: 500})
	want := Load{
		Running: 9, Granted: 2, PrefillTokens: 1600, GrantedTokens: 700, PromptTokens: 9500, GrantedPromptTokens: 4000,
		Untold: Untold{Running: 4, PrefillTokens: 700, Granted: 1, GrantedTokens: 300},
	}
	assert.Equal(t, want, table.Server(7))
	rest := table.Server(7).WithoutGrants()
	assert.Equal(t, 5500, rest.PromptTokens)
	assert.Equal(t, 3, rest.Untold.Running)
	assert.Equal(t, 400, rest.Untold.PrefillTokens)
	tell("old", 2, true, &wire.ServerLoad{Running: 4, PromptTokens: 100})
	assert.Zero(t, table.Server(7).Untold, "a process that has been upgraded")
	assert.Equal(t, 9600, table.Server(7).PromptTokens)
	tell("new", 2, false, &wire.ServerLoad{Running: 3, PromptTokens: 9000})
	assert.Equal(t, 600, table.Server(7).PromptTokens, "only TellsPrompts decides")
	table.Expire(now.Add(time.Minute))
	assert.Zero(t, table.Server(7))
}

// TestRendezvousIsThatOfOtherBuilds guards against processes of two builds that choose different
// coordinators.
func TestRendezvousIsThatOfOtherBuilds(t *testing.T) {
	for _, name := range []string{"", "entry-1", strings.Repeat("e", 2*rendezvousBytes)} {
		assert.Equal(t, xxhash.Sum64String(name+"/ff00000000000001"), rendezvous(name, 0xff00000000000001))
	}
}
