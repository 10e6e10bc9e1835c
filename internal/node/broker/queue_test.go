package broker

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/route/shed"
)

// restrictedTo is a fake Origins while no record can be written: new streams should begin at
// the origin.
type restrictedTo struct {
	beganAt
	restricted bool
}

func (r restrictedTo) Restrict(string, string) (origin.Origin, bool) { return r.origin, r.restricted }

// newStream returns a request that begins a stream.
func newStream(i int) *Request {
	r := newPromptRequest("/talk/", 100, 80)
	r.ID = fmt.Sprint("new", i)
	return r
}

// resumedStream returns a request that resumes a stream.
func resumedStream(i int) *Request {
	r := newPromptRequest("/talk/", 100, 80)
	r.ID, r.After, r.Origin = fmt.Sprint("resumed", i), "0", "r0"
	return r
}

// pause makes backend servers ask for a pause.
func (f *fixture) pause(d time.Duration, ids ...string) {
	for _, id := range ids {
		server, _ := f.roster.Find(id, 1)
		f.Notice(server, Notice{Pause: d})
	}
}

// TestNewStreamsBeginAtTheDefaultWhileNothingCanBeRecorded guards against streams of another
// version that no record outlives, and against fewer new streams than the default's engines
// can take.
func TestNewStreamsBeginAtTheDefaultWhileNothingCanBeRecorded(t *testing.T) {
	restricted, elsewhere := offerRestricted(t, true)
	alone, _ := offerRestricted(t, false, "a1", "b1")
	t.Logf("%d of %d new streams began, %d if there are no other engines", restricted.begun, restricted.all, alone.begun)
	assert.Zero(t, elsewhere)
	assert.GreaterOrEqual(t, restricted.ratio(), 0.95*alone.ratio())
}

// TestNewStreamsBeginElsewhereIfTheDefaultHasNoRoom guards against new streams that are refused
// while records can't be written, since the default's engines want none.
func TestNewStreamsBeginElsewhereIfTheDefaultHasNoRoom(t *testing.T) {
	v2 := []string{"a2", "b2", "c2"}
	restricted, _ := offerRestricted(t, true, v2...)
	free, _ := offerRestricted(t, false, v2...)
	t.Logf("%d of %d new streams began, %d where they may begin anywhere", restricted.begun, restricted.all, free.begun)
	assert.GreaterOrEqual(t, restricted.ratio(), 0.95*free.ratio())
}

// offerRestricted offers more streams than the engines can take, while some are paused, and
// returns how many began, and how many requests reached engines of another version than v2.
func offerRestricted(t *testing.T, restricted bool, paused ...string) (began share, elsewhere int) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newVersions(t, false)
		f.Origins = restrictedTo{beganAt{origin: origin.Origin{Service: "model", Version: "v2"}}, restricted}
		f.fleet.fallback = paced(20, 25*time.Millisecond)
		f.pause(time.Minute, paused...)
		go f.tick(t.Context())
		began = f.offer(t.Context(), 70, 4*time.Second, newStream)
		for _, s := range f.fleet.sent {
			if version(s.server) != "v2" {
				elsewhere++
			}
		}
	})
	return began, elsewhere
}

// TestResumedStreamsOfOneVersionDoNotKeepOthersFromBeginning guards against idle engines while
// many clients resume streams at once that these can't go on with.
func TestResumedStreamsOfOneVersionDoNotKeepOthersFromBeginning(t *testing.T) {
	for _, resumed := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(resumed, " resumed"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newVersions(t, false)
				f.Origins = beganAt{origin: origin.Origin{Service: "model", Version: "v1"}}
				f.fleet.fallback = paced(20, 25*time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.tick(t.Context())
				for i := range resumed {
					go f.serve(ctx, resumedStream(i))
				}
				time.Sleep(50 * time.Millisecond)
				began := f.offer(t.Context(), 30, time.Second, newStream)
				t.Logf("%d of %d new streams began", began.begun, began.all)
				assert.GreaterOrEqual(t, began.ratio(), 0.9)
			})
		})
	}
}

// eachAt is a fake Origins in which streams began at the version that they are named for.
type eachAt struct{ beganAt }

func (eachAt) Find(_ context.Context, request, _, _ string) (origin.Origin, origin.Source) {
	return origin.Origin{Service: "model", Version: request}, origin.Remembered
}

// TestResumedStreamsOfOneVersionDoNotKeepAnothersFromGoingOn guards against resumed streams that
// are refused for the number of those that wait for other engines.
func TestResumedStreamsOfOneVersionDoNotKeepAnothersFromGoingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newVersions(t, false)
		f.Origins = eachAt{}
		f.fleet.fallback = paced(20, 25*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.tick(t.Context())
		resumed := func(version string) *Request {
			r := resumedStream(0)
			r.Origin = version
			return r
		}
		// A first stream of each version, so that the time of one is known.
		f.offer(ctx, 20, 3*time.Second, func(int) *Request { return resumed("v1") })
		for range 400 {
			go f.serve(ctx, resumed("v2"))
		}
		time.Sleep(50 * time.Millisecond)
		others := f.offer(ctx, 10, time.Second, func(int) *Request { return resumed("v1") })
		t.Logf("%d of %d streams of the idle version went on", others.begun, others.all)
		assert.GreaterOrEqual(t, others.ratio(), 0.9)
	})
}

// TestResumedStreamWaitsForPausedServersOfItsVersion guards against streams that are refused at
// once because the few servers of their version want no request for a moment.
func TestResumedStreamWaitsForPausedServersOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newVersions(t, false)
		f.Origins = beganAt{origin: origin.Origin{Service: "model", Version: "v1"}}
		f.fleet.fallback = paced(20, 25*time.Millisecond)
		go f.tick(t.Context())
		f.pause(200*time.Millisecond, "a1", "b1")
		assert.True(t, f.serve(t.Context(), newStream(0)).ended)
		f.pause(200*time.Millisecond, "a1", "b1")
		c := f.serve(t.Context(), resumedStream(0))
		assert.True(t, c.ended, "it may wait half of the time to its deadline")
	})
}

// TestArrivalBehindResumedStreamThatWaits guards against a panic, with the lock of all queues
// held, if a request arrives in a full queue after a resumed stream that waits for paused
// servers of its version, and before the next tick.
func TestArrivalBehindResumedStreamThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newVersions(t, false)
		f.Admission = shed.CostToCallers
		f.Origins = beganAt{origin: origin.Origin{Service: "model", Version: "v1"}}
		f.fleet.fallback = paced(20, 25*time.Millisecond)
		f.pause(200*time.Millisecond, "a1", "b1")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 200 {
			go f.serve(ctx, newStream(i))
		}
		synctest.Wait()
		resumed := make(chan *client, 1)
		go func() { resumed <- f.serve(t.Context(), resumedStream(0)) }()
		synctest.Wait()
		for i := range 20 {
			go f.serve(ctx, newStream(200+i))
		}
		synctest.Wait()
		go f.tick(t.Context())
		assert.True(t, (<-resumed).ended)
	})
}
