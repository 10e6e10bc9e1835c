package core

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// memoryStore is a fake of the platform's store. It implements follow.Feed and
// store.Writer. Each call takes a few milliseconds.
type memoryStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]store.Object
	// down makes all calls fail, writes counts those that did not.
	down bool
	// silent makes writes fail after their time limit.
	silent atomic.Bool
	writes int
	lists  int
	// reads counts the calls of Get, by key.
	reads map[string]int
}

// readsOf returns how often an object was read.
func (m *memoryStore) readsOf(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads[key]
}

const memoryStoreDelay = 4 * time.Millisecond

func (m *memoryStore) enter() error {
	time.Sleep(memoryStoreDelay)
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return store.ErrRefused
	}
	return nil
}

func (m *memoryStore) List(_ context.Context, kind, _ string) (store.Page, error) {
	if err := m.enter(); err != nil {
		return store.Page{}, err
	}
	defer m.mu.Unlock()
	m.lists++
	page := store.Page{Revision: store.Version(m.era, m.revision)}
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		if strings.HasPrefix(key, kind+"/") {
			page.Objects = append(page.Objects, m.objects[key])
		}
	}
	return page, nil
}

func (m *memoryStore) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	}
	return store.Page{}, store.ErrForgotten
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Object, error) {
	if err := m.enter(); err != nil {
		return store.Object{}, err
	}
	defer m.mu.Unlock()
	if m.reads == nil {
		m.reads = map[string]int{}
	}
	m.reads[key]++
	o, found := m.objects[key]
	if !found {
		return store.Object{}, store.ErrAbsent
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, o store.Object) (uint64, error) {
	if m.silent.Load() {
		time.Sleep(time.Second)
		return 0, context.DeadlineExceeded
	}
	if err := m.enter(); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	if m.objects[o.Key].Version != o.Version {
		return 0, store.ErrConflict
	}
	m.writes++
	m.revision++
	if m.objects == nil {
		m.objects = map[string]store.Object{}
	}
	o.Version = store.Version(m.era, m.revision)
	if len(o.Value) == 0 {
		delete(m.objects, o.Key)
		return 0, nil
	}
	m.objects[o.Key] = o
	return o.Version, nil
}

// count returns the number of writes.
func (m *memoryStore) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}

// listCount returns the number of lists.
func (m *memoryStore) listCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists
}

// keys returns the keys of all objects.
func (m *memoryStore) keys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.objects))
}

func (m *memoryStore) set(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// goBack makes the store lose the objects of a kind, as if it came back from an older copy.
func (m *memoryStore) goBack(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	for key, o := range m.objects {
		if strings.HasPrefix(key, kind+"/") {
			delete(m.objects, key)
			continue
		}
		o.Version = store.Version(m.era, store.Revision(o.Version))
		m.objects[key] = o
	}
}

// talk is the configuration with a route whose streams can be resumed.
const talk = `{"Version":1,"Routes":[{"Name":"talk","Host":"h","Prefix":"/talk/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,
 "Service":"s","Attempts":2,"Prompted":true,"Resumable":true}],"Services":[{"Name":"s","Engine":{"Slots":8}}]}`

// system is processes whose tasks for origins run, with one store.
type system struct {
	cluster
	store *memoryStore
	stop  context.CancelFunc
	// config, if set, is used instead of talk.
	config string
	// drop, if set, says which datagrams are lost.
	drop atomic.Pointer[func(from, to string) bool]
}

func (s *system) lose(drop func(from, to string) bool) { s.drop.Store(&drop) }

// start starts processes, as many as before if there were some.
func (s *system) start(t *testing.T, size int, versions ...string) {
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	s.cluster = newCluster(t, size)
	for _, n := range s.cluster {
		n.Feed, n.Store, n.StoreWrites, n.Log = s.store, s.store, 400, zap.NewNop()
		n.activate([]byte(cmp.Or(s.config, talk)), "test")
		n.quarantineListed.Store(true)
		s.setVersions(n, versions)
		go func() { _ = n.follower(n.Keys.OriginsKind, n.origins.defaults, s.poll, nil).Run(ctx) }()
		go func() { _ = n.origins.defaults.Run(ctx) }()
		for range recordTasks {
			go func() { _ = n.origins.recorder.Run(ctx) }()
		}
		go func() { _ = n.origins.recall.Run(ctx) }()
		go s.deliver(ctx, s.cluster, n)
	}
	time.Sleep(3 * time.Second)
	for _, n := range s.cluster {
		assert.Equal(t, !s.store.down, n.Ready(), n.Name)
	}
}

// deliver delivers the datagrams of a process, but for those that drop accepts.
func (s *system) deliver(ctx context.Context, all cluster, n *Node) {
	for {
		e, err := n.coordination.outbox.Pop(ctx)
		if err != nil {
			return
		}
		if drop := s.drop.Load(); drop != nil && (*drop)(n.Name, e.to) {
			continue
		}
		time.Sleep(time.Millisecond)
		for _, to := range all {
			if to.Name == e.to {
				to.handleStatus(e.message)
			}
		}
	}
}

func (*system) poll() time.Duration { return time.Second }

// setVersions gives a process servers of the versions.
func (*system) setVersions(n *Node, versions []string) {
	var objects []store.Object
	for i, v := range versions {
		objects = append(objects, serverEntry(fmt.Sprint("i-", i), fmt.Sprintf(`,"Version":%q`, v)))
	}
	(&serversView{n}).Replace(page(objects...), false)
}

// restart kills all processes and starts new ones.
func (s *system) restart(t *testing.T, versions ...string) {
	size := len(s.cluster)
	s.stop()
	time.Sleep(time.Second)
	s.start(t, size, versions...)
}

// end ends all processes and waits until their tasks have returned.
func (s *system) end() {
	s.stop()
	time.Sleep(10 * time.Second)
}

// begin begins a stream at a process.
func (s *system) begin(n *Node, request, version string) {
	s.beginAt(n, request, "/talk/", origin.Origin{Service: "s", Version: version})
}

// beginAt begins a stream of a path at a process.
func (s *system) beginAt(n *Node, request, path string, o origin.Origin) {
	recorded := n.origins.Place(request, "h", path, o, 0)
	n.origins.Await(context.Background(), recorded)
	n.origins.Begin(request, o)
}

// found returns the version that the process finds for a stream, and how.
func (s *system) found(n *Node, request string) (string, origin.Source) {
	return s.foundAt(n, request, "/talk/")
}

// foundAt is found for a stream of a path.
func (s *system) foundAt(n *Node, request, path string) (string, origin.Source) {
	o, source := n.origins.Find(context.Background(), request, "h", path)
	return o.Version, source
}

// configure activates a configuration at all processes, also at those that start later.
func (s *system) configure(config string) {
	s.config = config
	for _, n := range s.cluster {
		n.activate([]byte(config), "test")
	}
}

// TestOriginsOutliveAllProcesses checks that streams go on at the versions that began them
// after all processes were killed at the moment at which the clients got the first events.
func TestOriginsOutliveAllProcesses(t *testing.T) {
	for _, size := range []int{1, 6, 20} {
		synctest.Test(t, func(t *testing.T) {
			s := &system{store: &memoryStore{}}
			s.start(t, size, "v1", "v1", "v1")
			for _, n := range s.cluster {
				s.setVersions(n, []string{"v1", "v1", "v2"})
			}
			writes := s.store.count()
			for i := range 10 {
				s.begin(s.cluster[i%size], fmt.Sprint("old", i), "v1")
			}
			assert.Equal(t, writes, s.store.count(), "streams that begin at the default are not recorded")
			for i := range 10 {
				s.begin(s.cluster[i%size], fmt.Sprint("new", i), "v2")
			}
			s.restart(t, "v1", "v1", "v2")
			for i := range 10 {
				n := s.cluster[(i+1)%size]
				version, source := s.found(n, fmt.Sprint("new", i))
				assert.Equal(t, "v2", version)
				assert.Equal(t, origin.Recorded, source, "no process that lives remembers the stream")
				version, source = s.found(n, fmt.Sprint("old", i))
				assert.Equal(t, "v1", version)
				assert.Equal(t, origin.ByDefault, source)
			}
			s.end()
		})
	}
}

// TestOldVersionIsNotForgottenAtOnce checks that a stream is not taken for one of the new
// version when all servers of the old one have left and all processes were killed.
func TestOldVersionIsNotForgottenAtOnce(t *testing.T) {
	for _, leftBefore := range []time.Duration{0, time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := &system{store: &memoryStore{}}
			s.start(t, 6, "v1", "v1")
			s.begin(s.cluster[0], "old", "v1")
			for _, n := range s.cluster {
				s.setVersions(n, []string{"v2", "v2"})
			}
			time.Sleep(leftBefore)
			s.begin(s.cluster[1], "new", "v2")
			s.restart(t, "v2", "v2")
			version, _ := s.found(s.cluster[2], "new")
			assert.Equal(t, "v2", version)
			version, source := s.found(s.cluster[2], "old")
			assert.Equal(t, "v1", version, "only streams of v1 have no record")
			assert.Equal(t, origin.ByDefault, source)
			time.Sleep(2 * minStreamLife)
			_, source = s.found(s.cluster[2], "later")
			assert.Equal(t, origin.ByDefault, source, "the new version has become the default")
			s.end()
		})
	}
}

// TestStreamsGoOnAfterReleaseAndKill guards against streams that are refused because the default
// at which they began was suspended before all processes were killed, once or twice.
func TestStreamsGoOnAfterReleaseAndKill(t *testing.T) {
	for _, kills := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := &system{store: &memoryStore{}}
			s.start(t, 3, "v1", "v1")
			s.begin(s.cluster[0], "old", "v1")
			for _, n := range s.cluster {
				s.setVersions(n, []string{"v1", "v2", "v2"})
			}
			time.Sleep(3 * time.Second)
			s.begin(s.cluster[1], "late", "v1")
			s.begin(s.cluster[1], "new", "v2")
			for range kills {
				s.restart(t, "v1", "v2", "v2")
			}
			for request, want := range map[string]string{"old": "v1", "late": "v1", "new": "v2"} {
				version, _ := s.found(s.cluster[2], request)
				assert.Equal(t, want, version, request)
			}
			s.store.set(true)
			s.begin(s.cluster[0], "lost", "v2")
			o, restricted := s.cluster[0].origins.Restrict("h", "/talk/")
			assert.True(t, restricted, "streams begin where they are taken to have begun without a record")
			assert.Equal(t, "v1", o.Version)
			s.end()
		})
	}
}

// TestNothingIsAssumedWhileTheStoreIsAway checks that an unknown stream is neither guessed
// nor delayed for long if the records can't be read, and that new streams begin anyway.
func TestNothingIsAssumedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v2")
		s.store.set(true)
		began := time.Now()
		_, source := s.found(s.cluster[0], "unknown")
		assert.Equal(t, origin.Unknown, source)
		assert.LessOrEqual(t, time.Since(began), originTimeout+recallTimeout+10*time.Millisecond)
		began = time.Now()
		s.begin(s.cluster[0], "r1", "v2")
		assert.LessOrEqual(t, time.Since(began), recordTimeout)
		o, restricted := s.cluster[0].origins.Restrict("h", "/talk/")
		assert.True(t, restricted, "the next streams begin where nothing has to be recorded")
		assert.Equal(t, origin.Origin{Service: "s", Version: "v1"}, o)
		time.Sleep(2 * defaultsTrust)
		_, restricted = s.cluster[0].origins.Restrict("h", "/talk/")
		assert.False(t, restricted, "the default may be another one by now")
		s.store.set(false)
		time.Sleep(3 * time.Second)
		s.begin(s.cluster[0], "r2", "v2")
		_, restricted = s.cluster[0].origins.Restrict("h", "/talk/")
		assert.False(t, restricted)
		s.end()
	})
}

// TestStreamsBeginAtTheDefaultWhileTheStoreIsSilent guards against streams that begin elsewhere
// without a record until a write has failed by its time limit.
func TestStreamsBeginAtTheDefaultWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		n := s.cluster[0]
		s.store.silent.Store(true)
		began := time.Now()
		recorded := n.origins.Place("r", "h", "/talk/", origin.Origin{Service: "s", Version: "v2"}, 0)
		assert.False(t, n.origins.Await(t.Context(), recorded))
		assert.LessOrEqual(t, time.Since(began), recordTimeout)
		_, restricted := n.origins.Restrict("h", "/talk/")
		assert.True(t, restricted, "a stream that is not recorded has to begin again at the default")
		s.store.silent.Store(false)
		time.Sleep(3 * time.Second)
		_, restricted = n.origins.Restrict("h", "/talk/")
		assert.False(t, restricted)
		s.end()
	})
}

// TestStoreFromOlderCopyHasNoSayInUnknownStreams checks that a stream whose record the store
// has lost is not taken for one of the default version.
func TestStoreFromOlderCopyHasNoSayInUnknownStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "lost", "v2")
		s.store.goBack("streams")
		s.stop()
		s.start(t, 3, "v1", "v1", "v2")
		_, source := s.found(s.cluster[1], "lost")
		assert.Equal(t, origin.Unknown, source)
		s.begin(s.cluster[0], "kept", "v2")
		s.store.goBack("streams")
		time.Sleep(5 * time.Second)
		s.restart(t, "v1", "v1", "v2")
		version, _ := s.found(s.cluster[1], "kept")
		assert.Equal(t, "v2", version, "live processes have written it again")
		s.end()
	})
}

// TestRecordsStayWithinTheStoresRate checks that many streams are recorded by few calls, and
// that old records are removed.
func TestRecordsStayWithinTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, perSecond, seconds = 6, 500, 10
		s := &system{store: &memoryStore{}}
		s.start(t, size, "v1", "v1", "v2")
		writes := s.store.count()
		var group sync.WaitGroup
		for i := range perSecond * seconds {
			group.Go(func() {
				began := time.Now()
				s.begin(s.cluster[i%size], fmt.Sprint("r", i), "v2")
				assert.Less(t, time.Since(began), recordTimeout)
			})
			time.Sleep(time.Second / perSecond)
		}
		group.Wait()
		assert.LessOrEqual(t, float64(s.store.count()-writes), seconds*400*recordWriteShare+size*recordBurst)
		time.Sleep(3 * minStreamLife)
		for _, key := range s.store.keys() {
			assert.False(t, strings.HasPrefix(key, "streams/"), key)
		}
		s.end()
	})
}

// TestStreamsAreRecordedWithoutTheWriter checks that streams are recorded in time while the
// process that writes for all can't be reached.
func TestStreamsAreRecordedWithoutTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.lose(func(from, to string) bool { return from == "a" || to == "a" })
		s.start(t, 6, "v1", "v1", "v2")
		assert.Equal(t, []string{"a"}, s.cluster[1].origins.recorder.writers())
		for i := range 30 {
			began := time.Now()
			s.begin(s.cluster[1+i%5], fmt.Sprint("r", i), "v2")
			assert.Less(t, time.Since(began), 2*writerTimeout)
		}
		s.restart(t, "v1", "v1", "v2")
		for i := range 30 {
			version, _ := s.found(s.cluster[1+(i+1)%5], fmt.Sprint("r", i))
			assert.Equal(t, "v2", version)
		}
		s.end()
	})
}

// TestStreamThatWasPlacedTwiceGoesOnAtTheSecondVersion checks that a record of an attempt
// that failed does not count, also if it reaches the store later than that of the next one.
func TestStreamThatWasPlacedTwiceGoesOnAtTheSecondVersion(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &system{store: &memoryStore{}}
			s.start(t, 3, "v1", "v1", "v2")
			n := s.cluster[1]
			s.lose(func(string, string) bool { return lost })
			n.origins.Place("r", "h", "/talk/", origin.Origin{Service: "s", Version: "v2"}, 0)
			time.Sleep(5 * time.Millisecond)
			s.lose(func(string, string) bool { return false })
			byDefault := origin.Origin{Service: "s", Version: "v1"}
			recorded := n.origins.Place("r", "h", "/talk/", byDefault, 1)
			n.origins.Await(t.Context(), recorded)
			n.origins.Begin("r", byDefault)
			time.Sleep(time.Second)
			s.restart(t, "v1", "v1", "v2")
			version, _ := s.found(s.cluster[2], "r")
			assert.Equal(t, "v1", version)
			s.end()
		})
	}
}

// TestNumbersOfChunksGrow checks that no number comes twice if the time of day goes back.
func TestNumbersOfChunksGrow(t *testing.T) {
	var r recorder
	now := time.Unix(1000, 0)
	assert.Less(t, r.nextChunk(now), r.nextChunk(now.Add(-time.Hour)))
}

// TestUnknownStreamsStayWithinTheStoresRate checks that many processes which were killed at
// once, and to which clients come with streams that nobody remembers, list the records
// seldom and know the streams nevertheless.
func TestUnknownStreamsStayWithinTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 300
		s := &system{store: &memoryStore{}}
		s.start(t, size, "v1", "v1", "v2")
		for i := range 20 {
			s.begin(s.cluster[i], fmt.Sprint("new", i), "v2")
		}
		s.restart(t, "v1", "v1", "v2")
		lists := s.store.listCount()
		const length = 10 * time.Second
		for began := time.Now(); time.Since(began) < length; time.Sleep(50 * time.Millisecond) {
			for i := range 20 {
				version, _ := s.found(s.cluster[100+i], fmt.Sprint("new", i))
				assert.Equal(t, "v2", version)
				version, _ = s.found(s.cluster[200+i], fmt.Sprint("old", i))
				assert.Equal(t, "v1", version)
			}
		}
		perProcess := float64(s.store.listCount()-lists) / size / length.Seconds()
		assert.Less(t, perProcess, 1.5, "lists per process and second, its watch included")
		s.end()
	})
}
