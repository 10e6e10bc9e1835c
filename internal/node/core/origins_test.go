package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/origin"
)

// find asks for the origin of a stream while datagrams are delivered, but for those that
// drop accepts, and returns how long that took.
func (c cluster) find(n *Node, request string, drop func(from, to string) bool) (o origin.Origin, known bool, took time.Duration) {
	began, done := time.Now(), make(chan struct{})
	go func() {
		o, known = n.findRemembered(request)
		took = time.Since(began)
		close(done)
	}()
	for {
		synctest.Wait()
		c.deliver(drop)
		select {
		case <-done:
			return o, known, took
		case <-time.After(time.Millisecond):
		}
	}
}

// findRemembered returns the origin of a stream that this process or a peer remembers.
func (n *Node) findRemembered(request string) (origin.Origin, bool) {
	key := origin.Key(request)
	if o, known := n.origins.table.Find(time.Now(), key); known {
		return o, true
	}
	n.origins.askPeers(context.Background(), key)
	return n.origins.table.Find(time.Now(), key)
}

// TestOriginOutlivesTheProcessThatBeganTheStream checks that any process finds the origin of
// a stream after the one that served it is gone, in small systems and in large ones, also
// if others are new or the first datagrams are lost.
func TestOriginOutlivesTheProcessThatBeganTheStream(t *testing.T) {
	began := origin.Origin{Service: "chat", Version: "v1"}
	for _, size := range []int{2, 3, 6, 30} {
		for _, lossy := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, size)
				c[0].origins.Begin("r1", began)
				c.deliver(nil)
				lost := 0
				drop := func(from, to string) bool {
					if lossy && lost < 8 {
						lost++
						return true
					}
					return from == "a" || to == "a"
				}
				for _, n := range c[1:] {
					o, known, took := c.find(n, "r1", drop)
					assert.True(t, known, "%s of %d", n.Name, size)
					assert.Equal(t, began, o)
					assert.Less(t, took, originTimeout)
				}
			})
		}
	}
}

// TestUnknownOriginIsKnownToBeSoon checks that a process does not wait once all peers that
// it asks have said that they do not know a stream, nor for ever for those that are gone.
func TestUnknownOriginIsKnownToBeSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		_, known, took := c.find(c[1], "r1", nil)
		assert.False(t, known)
		assert.Less(t, took, originResend)
		_, known, took = c.find(c[1], "r1", func(from, to string) bool { return from == "a" || to == "a" })
		assert.False(t, known)
		assert.LessOrEqual(t, took, originTimeout+time.Millisecond)
		assert.Empty(t, c[1].origins.queries)
		alone := newCluster(t, 1)
		_, known, took = alone.find(alone[0], "r1", nil)
		assert.False(t, known)
		assert.Zero(t, took, "there is nobody to ask")
	})
}
