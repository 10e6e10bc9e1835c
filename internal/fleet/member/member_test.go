package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func named(name string, incarnation uint64, state State) Member {
	return Member{Name: name, AvailabilityZone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: incarnation, State: state}
}

func table(members ...Member) *Table {
	t := &Table{Self: named("self", 5, Live)}
	t.Merge(time.Unix(0, 0), members)
	return t
}

func state(t *Table, name string) State { return t.entries[name].State }

func TestMerge(t *testing.T) {
	cases := []struct {
		name          string
		known, update Member
		want          State
		changed       bool
	}{
		{"suspected", named("a", 1, Live), named("a", 1, Suspect), Suspect, true},
		{"refuted", named("a", 1, Suspect), named("a", 2, Live), Live, true},
		{"started again", named("a", 1, Gone), named("a", 9, Live), Live, true},
		{"stale update", named("a", 2, Live), named("a", 1, Gone), Live, false},
		{"duplicate update", named("a", 1, Suspect), named("a", 1, Suspect), Suspect, false},
		{"live of the same incarnation does not refute", named("a", 1, Suspect), named("a", 1, Live), Suspect, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			members := table(c.known)
			changes := members.Merge(time.Unix(1, 0), []Member{c.update})
			assert.Equal(t, c.changed, len(changes) > 0)
			assert.Equal(t, c.want, state(members, "a"))
		})
	}
}

func TestSuspectGoneAndLiveAgain(t *testing.T) {
	now := time.Unix(0, 0)
	members := table(named("a", 1, Live))
	require.Len(t, members.MarkSuspect(now, "a"), 1)
	assert.Empty(t, members.Expire(now.Add(SuspicionTimeout-time.Millisecond)))
	assert.Len(t, members.LiveInZone(), 1, "a suspect gets no tasks")
	require.Len(t, members.Expire(now.Add(SuspicionTimeout)), 1)
	assert.Equal(t, Gone, state(members, "a"))
	require.Len(t, members.MarkLive(now, named("a", 2, Live)), 1)
	assert.Len(t, members.LiveInZone(), 2)
}

func TestRefute(t *testing.T) {
	members := table()
	members.Merge(time.Unix(0, 0), []Member{named("self", 5, Suspect)})
	assert.EqualValues(t, 6, members.Self.Incarnation)
	members.Merge(time.Unix(0, 0), []Member{named("self", 4, Gone)})
	assert.EqualValues(t, 6, members.Self.Incarnation, "a stale update needs no refutation")
}

func TestDigest(t *testing.T) {
	one := &Table{Self: named("a", 1, Live)}
	two := &Table{Self: named("b", 1, Live)}
	assert.NotEqual(t, one.Digest(), two.Digest())
	one.Merge(time.Time{}, []Member{two.Self})
	two.Merge(time.Time{}, []Member{one.Self})
	assert.Equal(t, one.Digest(), two.Digest())
}

// Next returns every process of the zone once in a round.
func TestRoundProbesEveryProcess(t *testing.T) {
	var list []Member
	for i := range 20 {
		list = append(list, named(fmt.Sprint("m", i), 1, Live))
	}
	members := table(list...)
	probed := map[string]bool{}
	for i := range 20 {
		m, ok := members.Next(0, uint64(i)*7919)
		require.True(t, ok)
		probed[m.Name] = true
	}
	assert.Len(t, probed, 20)
}

func TestTransmitLimit(t *testing.T) {
	members := table(named("a", 1, Live))
	n := 0
	for len(members.Updates(10)) > 0 {
		n++
		require.Less(t, n, 100)
	}
	assert.GreaterOrEqual(t, n, retransmitFactor)
}

func TestOwnerMovesOnlyTasksOfRemovedMember(t *testing.T) {
	var list []Member
	for i := range 45 {
		list = append(list, named(fmt.Sprint("m", i), 1, Live))
	}
	moved, count := 0, map[string]int{}
	for i := range 488 {
		task := fmt.Sprint("engine", i)
		before, after := Owner(task, list), Owner(task, list[:44])
		count[before]++
		if before != after {
			moved++
			assert.Equal(t, "m44", before)
		}
	}
	assert.Equal(t, count["m44"], moved)
	for name, n := range count {
		assert.Less(t, n, 30, name)
	}
}
