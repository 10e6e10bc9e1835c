package core

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/gone"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/route/limit"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// newAnnounced returns a process that has an entry in the store and keeps it there.
func newAnnounced(t *testing.T) (*Node, *fakeStore) {
	n, s := newNode(t), &fakeStore{}
	n.Store = s
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = n.announce(ctx) }()
	time.Sleep(time.Second)
	synctest.Wait()
	return n, s
}

// TestProcessWhoseEntryIsRemovedAnnouncesItselfAtOnce checks that a process which learns
// from the watch that its entry is gone writes it again within a second.
func TestProcessWhoseEntryIsRemovedAnnouncesItselfAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := newAnnounced(t)
		require.NotEmpty(t, s.object.Value)
		s.object = store.Object{}
		(&membersView{n}).Change(page(store.Object{Key: "members/a", Removed: true}))
		time.Sleep(time.Second)
		synctest.Wait()
		require.NotEmpty(t, s.object.Value)
		m, err := peers.Parse(s.object.Value)
		require.NoError(t, err)
		assert.Equal(t, n.incarnation, m.Incarnation)
	})
}

// TestDoubtedProcessAnnouncesItselfAtOnce checks that a process writes its entry again within
// a second if another one has marked it, whether the watch or a list says so.
func TestDoubtedProcessAnnouncesItselfAtOnce(t *testing.T) {
	for _, tell := range []func(v *membersView, o store.Object){
		func(v *membersView, o store.Object) { v.Change(page(o)) },
		func(v *membersView, o store.Object) { v.Replace(page(o), false) },
	} {
		synctest.Test(t, func(t *testing.T) {
			n, s := newAnnounced(t)
			m, err := peers.Parse(s.object.Value)
			require.NoError(t, err)
			m.Doubted = true
			s.object.Value, err = json.Marshal(m)
			require.NoError(t, err)
			tell(&membersView{n}, s.object)
			time.Sleep(time.Second)
			synctest.Wait()
			m, err = peers.Parse(s.object.Value)
			require.NoError(t, err)
			assert.False(t, m.Doubted)
		})
	}
}

// membership is a set of processes with one store, whose tasks that concern membership run.
// The processes of a group reach each other; those that are cut off don't reach the store.
type membership struct {
	t     *testing.T
	nodes []*Node
	stop  []context.CancelFunc

	mu      sync.Mutex
	objects map[string]store.Object
	version uint64
	// marks and removals count the writes of each name.
	marks, removals map[string]int
	// readers has the processes that have read the entry of another one.
	readers map[string]bool
	group   map[string]int
	cut     map[string]bool
	down    bool
}

// newMembership starts processes, which all know each other after a second.
func newMembership(t *testing.T, size int) *membership {
	m := &membership{t: t, objects: map[string]store.Object{}, marks: map[string]int{}, removals: map[string]int{}, readers: map[string]bool{}, group: map[string]int{}, cut: map[string]bool{}}
	for i := range size {
		n := newNode(t)
		n.Name = string(rune('a' + i))
		n.peers.Self = n.Name
		n.Store = memberStore{m, n.Name}
		m.nodes = append(m.nodes, n)
	}
	m.stop = make([]context.CancelFunc, size)
	for i := range m.nodes {
		m.start(i)
	}
	t.Cleanup(func() {
		for _, stop := range m.stop {
			stop()
		}
	})
	time.Sleep(time.Second)
	synctest.Wait()
	for _, n := range m.nodes {
		require.Equal(t, size, n.peers.Members())
		require.Equal(t, size, n.peers.Live())
	}
	return m
}

// start runs a process's tasks until its stop function is called.
func (m *membership) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	n := m.nodes[i]
	m.stop[i] = cancel
	m.list(n)
	go func() { _ = n.announce(ctx) }()
	go func() { _ = n.removeGone(ctx) }()
	go func() {
		for timer.Wait(ctx, statusInterval) {
			m.sendStatus(n)
			n.peers.Expire(time.Now())
		}
	}()
}

// statusInterval is shorter than peers.HeartbeatTimeout.
const statusInterval = peers.HeartbeatTimeout * 3 / 4

// sendStatus sends a status message to the processes of the same group.
func (m *membership) sendStatus(n *Node) {
	message, _ := n.composeStatus()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, to := range m.nodes {
		if to != n && m.group[to.Name] == m.group[n.Name] {
			to.handleStatus(message)
		}
	}
}

// list gives a process all entries, as when it reaches the store again.
func (m *membership) list(n *Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []store.Object
	for _, o := range m.objects {
		all = append(all, o)
	}
	(&membersView{n}).Replace(store.Page{Objects: all}, false)
}

// separate puts processes into a group of their own; cut says whether they don't reach the
// store either.
func (m *membership) separate(group int, cut bool, names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		m.group[name], m.cut[name] = group, cut
	}
}

// setDown makes the store fail for all, or none.
func (m *membership) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// count returns a count of writes.
func (m *membership) count(counts map[string]int, name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return counts[name]
}

// stored reports whether a process has an entry.
func (m *membership) stored(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.objects["members/"+name]
	return ok
}

// doubted reports whether the entry of a process has the mark.
func (m *membership) doubted(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Contains(string(m.objects["members/"+name].Value), "Doubted")
}

// memberStore is the store as one process sees it.
type memberStore struct {
	*membership
	name string
}

func (s memberStore) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.cut[s.name] {
		return store.Object{}, store.ErrRefused
	}
	if key != "members/"+s.name {
		s.readers[s.name] = true
	}
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrAbsent
	}
	return o, nil
}

func (s memberStore) Put(_ context.Context, o store.Object) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down || s.cut[s.name]:
		return 0, store.ErrRefused
	case s.objects[o.Key].Version != o.Version:
		return 0, store.ErrConflict
	}
	s.version++
	o.Version = s.version
	name := objectName(o)
	switch {
	case len(o.Value) == 0:
		o.Removed = true
		delete(s.objects, o.Key)
		s.removals[name]++
	case strings.Contains(string(o.Value), "Doubted"):
		s.marks[name]++
		fallthrough
	default:
		s.objects[o.Key] = o
	}
	for _, n := range s.nodes {
		if !s.cut[n.Name] {
			(&membersView{n}).Change(page(o))
		}
	}
	return o.Version, nil
}

// checkBounds checks that the running processes together take no more than there is.
func (m *membership) checkBounds(running ...string) {
	const perSecond, connections = 100.0, 130
	rate, retries, connected := 0.0, 0.0, 0
	for _, n := range m.nodes {
		if !strings.Contains(strings.Join(running, ""), n.Name) {
			continue
		}
		rank, members := n.peers.Rank(7)
		rate += limit.Share(perSecond, members, rank)
		retries += 1 / float64(n.peers.Members()+2)
		connected += max(connections/(n.peers.Members()+1), 2)
	}
	assert.LessOrEqual(m.t, rate, perSecond+0.001, "rate limit")
	assert.LessOrEqual(m.t, retries, 1.0, "retries")
	assert.LessOrEqual(m.t, connected, connections, "connections")
}

// sleepChecking sleeps for d and calls check every ten seconds.
func sleepChecking(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(10 * time.Second)
		synctest.Wait()
		check()
	}
}

// removedAfter is when the entry of a process that fell silent is removed at the latest.
const removedAfter = gone.DoubtAfter + gone.RemoveAfter + 4*gone.Interval

// TestProcessGoneForGoodHasNoShare checks that a process that has been silent for an hour
// is not counted any more where a limit is divided among the processes, that it is counted
// for long before, and that one process removes it.
func TestProcessGoneForGoodHasNoShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(t, 3)
		m.stop[2]()
		m.separate(1, true, "c")
		sleepChecking(gone.DoubtAfter+gone.RemoveAfter, func() {
			_, members := m.nodes[0].peers.Rank(7)
			assert.Equal(t, 3, members)
		})
		time.Sleep(time.Hour - gone.DoubtAfter - gone.RemoveAfter)
		synctest.Wait()
		for _, n := range m.nodes[:2] {
			_, members := n.peers.Rank(7)
			assert.Equal(t, 2, members)
			assert.Equal(t, 2, n.peers.Members())
		}
		assert.Equal(t, []int{1, 1}, []int{m.count(m.marks, "c"), m.count(m.removals, "c")})
		assert.Equal(t, []int{0, 0}, []int{m.count(m.marks, "a") + m.count(m.marks, "b"), m.count(m.removals, "a") + m.count(m.removals, "b")})
		assert.Len(t, m.readers, 1, "one process observes")
	})
}

// TestProcessThatReachesTheStoreKeepsItsEntry checks that a process which none of the others
// hears is not removed while it reaches the store.
func TestProcessThatReachesTheStoreKeepsItsEntry(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"b"}, {"c"}, {"a", "b"}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMembership(t, 3)
			m.separate(1, false, names...)
			sleepChecking(2*removedAfter, func() {
				for _, n := range m.nodes {
					assert.True(t, m.stored(n.Name))
					assert.False(t, m.doubted(n.Name), "written again at once")
					assert.Equal(t, 3, n.peers.Members())
				}
				m.checkBounds("a", "b", "c")
			})
			marks := m.count(m.marks, "a") + m.count(m.marks, "b") + m.count(m.marks, "c")
			assert.Positive(t, marks, "some were doubted")
		})
	}
}

// TestProcessThatOthersHearKeepsItsEntry checks that a process which does not reach the store
// is not doubted while the others hear it.
func TestProcessThatOthersHearKeepsItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(t, 3)
		m.separate(0, true, "b")
		sleepChecking(2*removedAfter, func() { m.checkBounds("a", "b", "c") })
		assert.Zero(t, m.count(m.marks, "b"))
		assert.True(t, m.stored("b"))
	})
}

// TestBoundsHoldWhileARemovedProcessRuns checks that processes which are cut off from the
// store and the others, and go on, take no more together with these than there is, and that
// they have their places again at once afterwards.
func TestBoundsHoldWhileARemovedProcessRuns(t *testing.T) {
	for _, c := range []struct {
		size int
		cut  string
	}{{2, "b"}, {3, "c"}, {5, "a"}, {5, "de"}, {6, "abc"}, {6, "cdef"}, {9, "efgh"}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMembership(t, c.size)
			names, all := strings.Split(c.cut, ""), "abcdefghi"[:c.size]
			m.separate(1, true, names...)
			sleepChecking(2*removedAfter, func() { m.checkBounds(all) })
			removed := 2*len(names) <= c.size
			for _, name := range names {
				assert.Equal(t, !removed, m.stored(name), "%v: %s", c, name)
			}
			m.separate(0, false, names...)
			for _, n := range m.nodes {
				m.list(n)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, n := range m.nodes {
				assert.True(t, m.stored(n.Name))
				assert.Equal(t, c.size, n.peers.Members(), c)
			}
			m.checkBounds(all)
		})
	}
}

// TestFrozenProcessKnowsThatItMayBeRemoved checks that a process that was frozen until its
// entry was removed takes no share when it goes on, and soon has its place again.
func TestFrozenProcessKnowsThatItMayBeRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMembership(t, 3)
		m.stop[2]()
		m.separate(1, true, "c")
		time.Sleep(removedAfter)
		require.False(t, m.stored("c"))
		c := m.nodes[2]
		c.peers.Expire(time.Now())
		m.checkBounds("a", "b", "c")
		m.separate(0, false, "c")
		m.start(2)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.True(t, m.stored("c"))
		assert.Equal(t, 3, m.nodes[0].peers.Members())
		m.checkBounds("a", "b", "c")
	})
}

// TestNothingIsRemovedWhileTheStoreIsDown checks that the time in which the store is down does
// not count, and that an entry of an older copy of the store is removed once more.
func TestNothingIsRemovedWhileTheStoreIsDown(t *testing.T) {
	for _, down := range []time.Duration{gone.Interval + 10*time.Second, 2 * removedAfter} {
		synctest.Test(t, func(t *testing.T) {
			m := newMembership(t, 3)
			old := m.objects["members/c"]
			m.stop[2]()
			m.separate(1, true, "c")
			time.Sleep(gone.DoubtAfter + gone.RemoveAfter/2)
			assert.Equal(t, 1, m.count(m.marks, "c"))
			m.setDown(true)
			sleepChecking(down, func() { m.checkBounds("a", "b") })
			m.setDown(false)
			sleepChecking(gone.RemoveAfter, func() { assert.True(t, m.stored("c")) })
			time.Sleep(4 * gone.Interval)
			assert.False(t, m.stored("c"))
			m.restore(old)
			assert.Equal(t, 3, m.nodes[0].peers.Members())
			time.Sleep(removedAfter)
			assert.Equal(t, 2, m.nodes[0].peers.Members())
			assert.Equal(t, 2, m.count(m.removals, "c"))
		})
	}
}

// restore puts an entry of an older copy into the store, which begins another era.
func (m *membership) restore(old store.Object) {
	m.mu.Lock()
	m.version = store.Version(1, 7)
	old.Version = m.version
	m.objects[old.Key] = old
	m.mu.Unlock()
	for _, n := range m.nodes {
		m.list(n)
	}
}
