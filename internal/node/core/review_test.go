package core

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// chunks counts the entries with records in the store.
func (m *memoryStore) chunks() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for key := range m.objects {
		if strings.HasPrefix(key, "streams/") {
			count++
		}
	}
	return count
}

// TestRecordOfPlacementThatNeverBeganIsNoOrigin guards against a stream that goes on at the
// version of an attempt that failed, as its record was read before the next attempt.
func TestRecordOfPlacementThatNeverBeganIsNoOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 2, "v1", "v1", "v2")
		n := s.cluster[0]
		<-n.origins.Place("r", "h", "/talk/", origin.Origin{Service: "s", Version: "v2"}, 0)
		for _, other := range s.cluster {
			s.found(other, "unknown")
		}
		began := origin.Origin{Service: "s", Version: "v1"}
		n.origins.Await(t.Context(), n.origins.Place("r", "h", "/talk/", began, 1))
		n.origins.Begin("r", began)
		time.Sleep(100 * time.Millisecond)
		for _, other := range s.cluster {
			version, _ := s.found(other, "r")
			assert.Equal(t, "v1", version, other.Name)
		}
		s.end()
	})
}

// TestSweepGoesOnWhileStreamsAreAskedFor guards against records that stay in the store for
// ever because resumed streams put the sweep off.
func TestSweepGoesOnWhileStreamsAreAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		s.begin(s.cluster[0], "r", "v2")
		assert.Equal(t, 1, s.store.chunks())
		for range 20 {
			time.Sleep(minStreamLife / 4)
			s.found(s.cluster[0], "unknown")
		}
		assert.Zero(t, s.store.chunks())
		s.end()
	})
}

// TestRecordLostSinceTheDefaultsWereReadIsNotGuessed guards against a stream that is taken for
// one of the default because the store has just come back from an older copy.
func TestRecordLostSinceTheDefaultsWereReadIsNotGuessed(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &system{store: &memoryStore{}}
				s.start(t, 3, "v1", "v1", "v2")
				s.begin(s.cluster[0], "lost", "v2")
				time.Sleep(after)
				s.store.goBack("streams")
				version, _ := s.found(s.cluster[1], "lost")
				assert.NotEqual(t, "v1", version)
				s.end()
			})
		})
	}
}

// TestCopyOlderThanTheDefaultsIsNotGuessedFrom guards against a default that is in force at
// once after the store has lost the entry itself.
func TestCopyOlderThanTheDefaultsIsNotGuessedFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{era: 1}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "lost", "v2")
		s.stop()
		s.store.goBack("streams")
		s.store.goBack("origins")
		s.start(t, 3, "v1", "v1", "v2")
		version, source := s.found(s.cluster[1], "lost")
		assert.Equal(t, origin.Unknown, source, version)
		s.end()
	})
}

// TestEmptyOrInvalidDefaultsAreNotReplacedAtOnce guards against another default that is in
// force at once after another writer's entry.
func TestEmptyOrInvalidDefaultsAreNotReplacedAtOnce(t *testing.T) {
	for _, value := range []string{`{}`, `null`, `7`} {
		t.Run(value, func(t *testing.T) { testOddDefaults(t, value) })
	}
}

func testOddDefaults(t *testing.T, value string) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "old", "v1")
		s.stop()
		s.store.mu.Lock()
		o := s.store.objects["origins/"+defaultsName]
		o.Value = []byte(value)
		s.store.objects[o.Key] = o
		s.store.mu.Unlock()
		s.start(t, 3, "v1", "v2", "v2")
		version, _ := s.found(s.cluster[1], "old")
		assert.NotEqual(t, "v2", version, value)
		s.end()
	})
}

// TestKeeperThatWasReplacedMeanwhileHoldsDefaultsSuspended guards against a default that
// changes too early because a process became keeper again and counts from its first time.
func TestKeeperThatWasReplacedMeanwhileHoldsDefaultsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1")
		n := s.cluster[0]
		s.setVersions(n, []string{"v2", "v2"})
		time.Sleep(2 * time.Second)
		n.stopping.Store(true)
		time.Sleep(2 * minStreamLife)
		n.stopping.Store(false)
		time.Sleep(5 * time.Second)
		_, known := n.origins.defaults.find(time.Now(), origin.RouteKey("h", "/talk/"))
		assert.False(t, known, "this process has kept the entry for 7 s only")
		s.end()
	})
}

// TestStreamsBegunByProcessThatWasToldLateAreNotGuessed guards against another default that is
// in force while streams go on that a process without the store began at the one before.
func TestStreamsBegunByProcessThatWasToldLateAreNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 30 * time.Second
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v1")
		late := newNode(t)
		late.Feed, late.Name = s.store, "late"
		ctx, cut := context.WithCancel(t.Context())
		defer cut()
		go func() { _ = late.follower(late.Keys.OriginsKind, late.origins.defaults, s.poll, nil).Run(ctx) }()
		time.Sleep(2 * time.Second)
		cut()
		for _, n := range s.cluster {
			n.activate([]byte(strings.NewReplacer(`"Version":1`, `"Version":2`, "5000", fmt.Sprint(timeout.Milliseconds())).Replace(talk)), "test")
			s.setVersions(n, []string{"v1", "v2", "v2"})
		}
		time.Sleep(defaultsTrust - 2*time.Second)
		began := time.Now()
		assert.Nil(t, late.origins.Place("r", "h", "/talk/", origin.Origin{Service: "s", Version: "v1"}, 0), "it takes the default to be current")
		for time.Since(began) < 2*timeout-time.Second {
			version, _ := s.found(s.cluster[1], "r")
			if !assert.NotEqual(t, "v2", version, "%v after its beginning", time.Since(began)) {
				break
			}
			time.Sleep(time.Second)
		}
		s.end()
	})
}

// TestRecordsAreWrittenAgainAfterTheFirstReturnOfTheStore guards against records that live
// processes don't write again, and against an older one that is written behind a newer one.
func TestRecordsAreWrittenAgainAfterTheFirstReturnOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v2")
		s.begin(s.cluster[0], "kept", "v2")
		s.store.goBack("streams")
		time.Sleep(5 * time.Second)
		s.restart(t, "v1", "v1", "v2")
		version, _ := s.found(s.cluster[1], "kept")
		assert.Equal(t, "v2", version)
		s.end()
	})
}

// TestRecordsKeepTheirOrderWhenTheyAreWrittenAgain guards against the record of a failed attempt
// behind that of the one that began the stream.
func TestRecordsKeepTheirOrderWhenTheyAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newNode(t).origins.recorder
		failed, began := origin.Record{Stream: 1, Origin: origin.Origin{Service: "s", Version: "v2"}}, origin.Record{Stream: 1, Origin: origin.Origin{Service: "s", Version: "v1"}, Attempt: 1}
		r.record(time.Now(), failed)
		r.settle(time.Now(), r.take(time.Now()), nil)
		r.record(time.Now(), began)
		r.rewrite(time.Now())
		var order []origin.Record
		for _, p := range r.pending {
			order = append(order, p.Record)
		}
		assert.Equal(t, []origin.Record{failed, began}, order)
	})
}

// TestSlowSweepDoesNotHoldUpResumedStreams guards against streams that are refused while old
// records are removed from a slow store.
func TestSlowSweepDoesNotHoldUpResumedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		s.store.mu.Lock()
		for i := range 1000 {
			key := fmt.Sprintf("streams/other.%x", i+1)
			s.store.revision++
			s.store.objects[key] = store.Object{Key: key, Value: origin.EncodeRecords([]origin.Record{{Stream: uint64(i)}}), Version: store.Version(s.store.era, s.store.revision)}
		}
		s.store.mu.Unlock()
		unknown := 0
		for range 300 {
			time.Sleep(500 * time.Millisecond)
			if _, source := s.found(s.cluster[0], "old"); source != origin.ByDefault {
				unknown++
			}
		}
		assert.Zero(t, unknown)
		s.end()
	})
}

// TestFirstEventsInLargeSystemsAreRecorded guards against streams whose clients get events, late
// and without a record, because each of many processes may write too rarely.
func TestFirstEventsInLargeSystemsAreRecorded(t *testing.T) {
	for _, size := range []int{6, 80, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { testFirstEvents(t, size) })
	}
}

func testFirstEvents(t *testing.T, size int) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, length = 500, 10 * time.Second
		s := &system{store: &memoryStore{}}
		s.start(t, size, "v1", "v1", "v2")
		var late atomic.Int64
		var group sync.WaitGroup
		for i := range int(perSecond * length.Seconds()) {
			group.Go(func() {
				began := time.Now()
				s.begin(s.cluster[i%size], fmt.Sprint("r", i), "v2")
				if time.Since(began) >= recordTimeout {
					late.Add(1)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		group.Wait()
		t.Logf("%d of %d streams began without a record", late.Load(), int(perSecond*length.Seconds()))
		assert.Zero(t, late.Load())
		s.end()
	})
}

// slowStore is a store whose writing calls take the platform's longest time.
type slowStore struct{ *memoryStore }

func (s slowStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	time.Sleep(60*memoryStoreDelay - memoryStoreDelay)
	return s.memoryStore.Put(ctx, o)
}

// TestFirstEventsAreRecordedInASlowStore guards against streams whose clients get events, late
// and without a record, because a write takes long.
func TestFirstEventsAreRecordedInASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 6, "v1", "v1", "v2")
		for _, n := range s.cluster {
			n.Store = slowStore{s.store}
		}
		var late atomic.Int64
		var group sync.WaitGroup
		for i := range 1000 {
			group.Go(func() {
				began := time.Now()
				s.begin(s.cluster[i%6], fmt.Sprint("r", i), "v2")
				if time.Since(began) >= recordTimeout {
					late.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		t.Logf("%d of 1000 streams began without a record", late.Load())
		assert.Zero(t, late.Load())
		s.end()
	})
}

// TestMoreRecordsThanRememberedAreNotGuessed guards against a stream whose record was read but
// has no place in memory and is taken for one of the default.
func TestMoreRecordsThanRememberedAreNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		s.store.mu.Lock()
		for i := range 1 << 10 {
			var records []origin.Record
			for k := range chunkRecords {
				records = append(records, origin.Record{Stream: origin.Key(fmt.Sprint(i, "/", k)), Origin: origin.Origin{Service: "s", Version: "v2"}})
			}
			key := fmt.Sprintf("streams/other.%x", i+1)
			s.store.revision++
			s.store.objects[key] = store.Object{Key: key, Value: origin.EncodeRecords(records), Version: store.Version(s.store.era, s.store.revision)}
		}
		s.store.mu.Unlock()
		version, _ := s.found(s.cluster[0], "0/0")
		assert.NotEqual(t, "v1", version)
		s.end()
	})
}

// TestFirstEventsAreNotHeldBackWhileRecordsCanNotBeWritten guards against each new stream being
// late while the store is known to be away.
func TestFirstEventsAreNotHeldBackWhileRecordsCanNotBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 3, "v1", "v1", "v1")
		for _, n := range s.cluster {
			s.setVersions(n, []string{"v2", "v2"})
		}
		time.Sleep(2 * time.Second)
		s.store.set(true)
		s.begin(s.cluster[0], "first", "v2")
		late := 0
		for i := range 20 {
			began := time.Now()
			s.begin(s.cluster[0], fmt.Sprint("r", i), "v2")
			if time.Since(began) >= 200*time.Millisecond {
				late++
			}
		}
		assert.Less(t, late, 5, "the route's objective is 200 ms")
		s.end()
	})
}

// TestStreamThatIsResumedForLongIsNotGuessed guards against the record of a stream being removed
// while its client still resumes it.
func TestStreamThatIsResumedForLongIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		s.begin(s.cluster[0], "r", "v2")
		for range 12 {
			time.Sleep(minStreamLife / 4)
			version, _ := s.found(s.cluster[0], "r")
			assert.Equal(t, "v2", version)
		}
		s.restart(t, "v1", "v1", "v2")
		version, _ := s.found(s.cluster[0], "r")
		assert.NotEqual(t, "v1", version, "it was resumed 4 s ago")
		s.end()
	})
}
