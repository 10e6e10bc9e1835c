package broker

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// load sends requests with the path at a rate for a time and returns how many were
// served completely.
func (f *fixture) load(ctx context.Context, newRequest func() *Request, perSecond int, d time.Duration) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	served := 0
	for range int(float64(perSecond) * d.Seconds()) {
		group.Go(func() {
			c := f.serve(ctx, newRequest())
			mu.Lock()
			defer mu.Unlock()
			if c.ended || len(c.replies) == 1 && c.replies[0].Status == 200 {
				served++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return served
}

// arrivals counts the attempts at a backend server.
func (f *fleet) arrivals(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, s := range f.sent {
		if s.server == server {
			count++
		}
	}
	return count
}

// limitTo makes a backend server name a limit, as this process is told.
func (f *fixture) limitTo(id string, perSecond float64) {
	server, _ := f.roster.Find(id, 1)
	f.Notice(server, Notice{Limited: true, Limit: perSecond})
}

// TestLimitedServerGetsItsShare checks that a process of three sends a third of a
// limit, and the rest to other backend servers.
func TestLimitedServerGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(t)
		f.Peers = noPeers{3}
		f.fleet.fallback = delays(20*time.Millisecond, succeeds)
		go f.tick(ctx)
		f.limitTo("a", 9)
		read := func() *Request { return newRequest("/read/") }
		assert.Equal(t, 400, f.load(ctx, read, 100, 4*time.Second), "the other server serves the rest")
		assert.InDelta(t, 12, f.fleet.arrivals("a"), 2)

		f.limitTo("b", 9)
		before := f.fleet.arrivals("a") + f.fleet.arrivals("b")
		served := f.load(ctx, read, 100, 4*time.Second)
		assert.InDelta(t, 24, served, 4)
		assert.InDelta(t, served, f.fleet.arrivals("a")+f.fleet.arrivals("b")-before, 1)
		cancel()
		synctest.Wait()
	})
}

// TestLimitedEngineGetsItsShare checks the same of engines, for prefills and for
// responses.
func TestLimitedEngineGetsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(t)
		f.Peers = noPeers{3}
		f.fleet.fallback = delays(10*time.Millisecond, events(1, 3, true))
		for _, id := range []string{"p", "q"} {
			f.addServer(id, "model", "Prefill")
		}
		for _, id := range []string{"d", "e"} {
			f.addServer(id, "model", "Decode")
		}
		go f.tick(ctx)
		f.limitTo("p", 9)
		f.limitTo("d", 9)
		served := f.load(ctx, func() *Request { return newPromptRequest("/talk/", 3000, 80) }, 30, 4*time.Second)
		assert.Greater(t, served, 110)
		for _, id := range []string{"p", "d"} {
			assert.LessOrEqual(t, f.fleet.arrivals(id), 15, id)
		}
		cancel()
		synctest.Wait()
	})
}

// TestNoServerWithinItsLimit checks that requests that can't be served within the
// limits are rejected at once, and wait if they can.
func TestNoServerWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFixture(t)
		go f.tick(ctx)
		f.limitTo("a", 10)
		f.limitTo("b", 0)
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		assert.Equal(t, 200, f.serve(ctx, newRequest("/read/")).replies[0].Status)
		assert.InDelta(t, 50, time.Since(began).Milliseconds(), 25, "it waits")
		f.limitTo("a", 0)
		began = time.Now()
		c := f.serve(ctx, newRequest("/read/"))
		assert.Equal(t, 503, c.replies[0].Status)
		assert.Zero(t, time.Since(began))
		cancel()
		synctest.Wait()
	})
}
