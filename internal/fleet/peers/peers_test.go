package peers

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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
	assert.Equal(t, Load{Running: 7, Long: 2}, table.Server(7))
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
	assert.Equal(t, Member{"a", "calicut", netip.MustParseAddrPort("10.0.0.1:7660"), 5, 0}, m)
	for _, data := range []string{``, `7`, `{"Name":"a"}`, `{"Address":"10.0.0.1:7660"}`, `{"Name":"a","Address":"somewhere"}`} {
		_, err := Parse([]byte(data))
		assert.ErrorIs(t, err, ErrInvalidEntry, data)
	}
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

// TestProcessGoneForGoodHasNoShare checks that a process that has been silent for an hour
// is not counted any more where a limit is divided among the processes.
func TestProcessGoneForGoodHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &Table{Self: "a"}
		table.Set(Member{Name: "a"})
		table.Set(Member{Name: "gone"})
		table.Apply(time.Now(), &wire.News{From: "gone", Incarnation: 1, Sequence: 1})
		time.Sleep(time.Hour)
		_, members := table.Rank(7)
		assert.Equal(t, 1, members)
	})
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
}
