package broker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
)

// noCoordination implements Coordination for a coordinator that never responds.
type noCoordination struct{}

func (noCoordination) Request(string, PermitRequest) {}
func (noCoordination) Grant(string, PermitGrant)     {}
func (noCoordination) Release(string, PermitRelease) {}

// coordinatedPeers implements Peers for a process with a peer that is the coordinator.
type coordinatedPeers struct{ noPeers }

func (coordinatedPeers) Live() int                       { return 2 }
func (coordinatedPeers) Coordinator(uint64, bool) string { return "peer" }

// beganAt is a fake Origins in which each stream began at one origin.
type beganAt struct {
	originList
	origin origin.Origin
}

func (beganAt) Begin(string, origin.Origin) {}

func (b beganAt) Find(context.Context, string, string, string) (origin.Origin, origin.Source) {
	return b.origin, origin.Remembered
}

// share is how many of some streams have begun, or gone on.
type share struct{ begun, all int }

func (s share) ratio() float64 { return float64(s.begun) / float64(max(s.all, 1)) }

// offer sends requests at a rate for a time, and returns how many got events.
func (f *fixture) offer(ctx context.Context, perSecond int, length time.Duration, request func(i int) *Request) share {
	var mu sync.Mutex
	var group sync.WaitGroup
	total := share{}
	for i := range int(length.Seconds() * float64(perSecond)) {
		r := request(i)
		group.Go(func() {
			c := f.serve(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			total.all++
			if c.status == 200 && c.ended {
				total.begun++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return total
}

// TestResumedStreamsOfASmallVersionGoOnWhileNewOnesBegin plays more new streams than the
// engines of all versions can take, while clients resume streams of one of them.
func TestResumedStreamsOfASmallVersionGoOnWhileNewOnesBegin(t *testing.T) {
	for _, tokens := range []int{100, 3000} {
		for _, prefill := range []bool{false, true} {
			for _, coordinated := range []bool{false, true} {
				for _, perSecond := range []int{60, 90, 250} {
					t.Run(fmt.Sprint(tokens, " tokens, prefill ", prefill, ", coordinated ", coordinated, ", rate ", perSecond), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testSmallVersion(t, tokens, prefill, coordinated, perSecond) })
					})
				}
			}
		}
	}
}

func testSmallVersion(t *testing.T, tokens int, prefill, coordinated bool, perSecond int) {
	f, _ := newVersions(t, prefill)
	f.Origins = beganAt{origin: origin.Origin{Service: "model", Version: "v1"}}
	if coordinated {
		f.Name, f.Coordination, f.Peers = "self", noCoordination{}, coordinatedPeers{}
	}
	f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
		if s.prefill {
			return delays(10*time.Millisecond, succeeds)(ctx, s)
		}
		return paced(20, 25*time.Millisecond)(ctx, s)
	}
	go f.tick(t.Context())
	const length = 6 * time.Second
	var began share
	var group sync.WaitGroup
	group.Go(func() {
		began = f.offer(t.Context(), perSecond, length, func(i int) *Request {
			r := newPromptRequest("/talk/", tokens, 80)
			r.ID = fmt.Sprint("new", i)
			return r
		})
	})
	time.Sleep(time.Second)
	resumed := f.offer(t.Context(), 6, length-2*time.Second, func(i int) *Request {
		r := newPromptRequest("/talk/", tokens, 80)
		r.ID, r.After, r.Origin = fmt.Sprint("resumed", i), "0", "r0"
		return r
	})
	group.Wait()
	t.Logf("%d of %d resumed streams went on, %d of %d new ones began", resumed.begun, resumed.all, began.begun, began.all)
	assert.Greater(t, resumed.all, 12)
	assert.GreaterOrEqual(t, resumed.ratio(), began.ratio()/2)
}

// TestResumedStreamsDoNotWaitForThoseOfAnotherVersion checks that a resumed stream begins at
// once at an idle engine of its version, while many wait for the engines of another one.
func TestResumedStreamsDoNotWaitForThoseOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, origins := newVersions(t, false)
		origins["r1"], origins["r2"] = origin.Origin{Service: "model", Version: "v1"}, origin.Origin{Service: "model", Version: "v2"}
		f.fleet.fallback = paced(20, 50*time.Millisecond)
		go f.tick(t.Context())
		resumed := func(first string) *Request {
			r := newPromptRequest("/talk/", 100, 80)
			r.After, r.Origin = "0", first
			return r
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 60 {
			go f.serve(ctx, resumed("r2"))
		}
		time.Sleep(30 * time.Millisecond)
		began := time.Now()
		c := f.serve(t.Context(), resumed("r1"))
		assert.True(t, c.ended)
		assert.Equal(t, 20*50*time.Millisecond, c.endedAt.Sub(began))
	})
}
