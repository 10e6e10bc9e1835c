package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// TestNewsFitsAPacket keeps messages small however many backend servers leave
// or are used, and tells each that leaves within a few messages.
func TestNewsFitsAPacket(t *testing.T) {
	const count, packet = 600, 1400
	n := newNode(t)
	n.Name = "entry-kollam-17"
	for i := range count {
		s := roster.Server{ID: fmt.Sprintf("i-%010x", i), Born: 1771089897728 + int64(i), Service: "model"}
		n.depart(roster.Change{What: roster.Left, Server: s, Removed: uint64(1_000_000 + i)})
		for range 1 + i%3 {
			n.usage.Start(time.Now(), s, usage.Reading)
		}
	}
	told := map[string]bool{}
	newest := fmt.Sprintf("i-%010x", count-1)
	for range 2 * count / maxDepartures {
		news, _ := n.news()
		assert.LessOrEqual(t, proto.Size(news), packet)
		assert.Len(t, news.Loads, maxLoads)
		assert.Equal(t, uint32(3), news.Loads[maxLoads-1].Running)
		here := map[string]bool{}
		for _, d := range news.Departures {
			here[d.Server], told[d.Server] = true, true
		}
		assert.Len(t, here, maxDepartures)
		assert.True(t, here[newest])
	}
	assert.Len(t, told, count)
}
