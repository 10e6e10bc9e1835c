package core

import (
	"fmt"
	"strings"
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

// addChunk adds an entry of another process, which takes no time.
func (m *memoryStore) addChunk(number int, records []origin.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := fmt.Sprintf("streams/other.%x", number)
	m.revision++
	m.objects[key] = store.Object{Key: key, Value: origin.EncodeRecords(records), Version: store.Version(m.era, m.revision)}
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

// TestSlowSweepDoesNotHoldUpResumedStreams guards against streams that are refused while old
// records are removed from a slow store.
func TestSlowSweepDoesNotHoldUpResumedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		for i := range 1000 {
			s.store.addChunk(i+1, []origin.Record{{Stream: uint64(i)}})
		}
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

// TestMoreRecordsThanRememberedAreNotGuessed guards against a stream whose record was read but
// has no place in memory and is taken for one of the default.
func TestMoreRecordsThanRememberedAreNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &system{store: &memoryStore{}}
		s.start(t, 1, "v1", "v1", "v2")
		for i := range 1 << 10 {
			var records []origin.Record
			for k := range chunkRecords {
				records = append(records, origin.Record{Stream: origin.Key(fmt.Sprint(i, "/", k)), Origin: origin.Origin{Service: "s", Version: "v2"}})
			}
			s.store.addChunk(i+1, records)
		}
		version, _ := s.found(s.cluster[0], "0/0")
		assert.NotEqual(t, "v1", version)
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

// TestProcessOutOfStepDoesNotGuessFromOldRecords guards against a stream that goes on at the
// default because a process in a large system reaches no peer that knows it, and takes the
// latest list of records for current. The same holds for a stream that its client doesn't name.
func TestProcessOutOfStepDoesNotGuessFromOldRecords(t *testing.T) {
	for _, named := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			const size = 300
			s := &system{store: &memoryStore{}}
			s.start(t, size, "v1", "v1", "v2")
			n := s.cluster[100]
			version, _ := s.found(n, "unknown")
			assert.Equal(t, "v1", version)
			if named {
				s.lose(func(from, to string) bool { return from == n.Name || to == n.Name })
			}
			s.begin(s.cluster[0], "new", "v2")
			request := ""
			if named {
				request = "new"
			}
			version, _ = s.found(n, request)
			assert.NotEqual(t, "v1", version, "it began at v2")
			time.Sleep(3 * n.origins.recall.pause())
			version, _ = s.found(n, "new")
			assert.Equal(t, "v2", version, "the next list has it")
			s.end()
		})
	}
}
