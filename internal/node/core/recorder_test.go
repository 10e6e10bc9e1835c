package core

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

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
		assert.Zero(t, s.countLate(t, int(perSecond*length.Seconds()), time.Second/perSecond))
		s.end()
	})
}

// countLate begins streams at an interval, at all processes in turn, and returns how many
// waited as long as a client waits for the record.
func (s *system) countLate(t *testing.T, streams int, interval time.Duration) int64 {
	var late atomic.Int64
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			began := time.Now()
			s.begin(s.cluster[i%len(s.cluster)], fmt.Sprint("r", i), "v2")
			if time.Since(began) >= recordTimeout {
				late.Add(1)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	t.Logf("%d of %d streams began without a record", late.Load(), streams)
	return late.Load()
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
		assert.Zero(t, s.countLate(t, 1000, 10*time.Millisecond))
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

// TestConfirmedRecordsAreBounded guards against records that a process whose writer confirms
// each of them keeps for ever.
func TestConfirmedRecordsAreBounded(t *testing.T) {
	n := newNode(t)
	now := time.Now()
	for i := range uint64(3 * maxWritten) {
		r := n.origins.recorder
		r.delegated[recordKey{stream: i}] = &recording{Record: origin.Record{Stream: i}, done: make(chan struct{})}
		r.handle(now, &wire.News{Recorded: []*wire.StreamRecord{{Stream: i}}})
	}
	assert.LessOrEqual(t, len(n.origins.recorder.written), maxWritten)
}
