package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
)

// However many backend servers leave or are in use, a status message must fit into
// one packet, and each departure must be sent within a few messages.
func TestStatusMessageFitsOnePacket(t *testing.T) {
	t.Run("without prompts", func(t *testing.T) { testStatusMessageSize(t, "", maxDepartures) })
	t.Run("with prompts", func(t *testing.T) { testStatusMessageSize(t, `,"CacheTokens":317000`, departuresBesidePrompts) })
}

func testStatusMessageSize(t *testing.T, cacheTokens string, departures int) {
	const count, packet = 600, 1400
	n := newNode(t)
	n.activate([]byte(fmt.Sprintf(promptTable, cacheTokens)), "test")
	n.Name = "entry-kollam-17"
	for i := range count {
		s := roster.Server{ID: fmt.Sprintf("i-%010x", i), Born: 1771089897728 + int64(i), Service: "model"}
		n.recordDeparture(roster.Change{Kind: roster.Left, Server: s, Removed: uint64(1_000_000 + i)})
		for range 1 + i%3 {
			n.usage.Start(time.Now(), s, usage.LocalPrefill)
			n.usage.StartPrefill(s, 40_000)
		}
		n.usage.SetLimit(time.Now(), s, 7.5, 1)
	}
	sent := map[string]bool{}
	newest := fmt.Sprintf("i-%010x", count-1)
	for range 2 * count / departures {
		message, _ := n.composeStatus()
		if message.TellsPrompts {
			for _, l := range message.Loads {
				l.PromptTokens, l.GrantedPromptTokens = 300_000, 300_000
			}
		}
		assert.LessOrEqual(t, proto.Size(message), packet)
		assert.Len(t, message.Loads, maxLoads)
		assert.Equal(t, uint32(3), message.Loads[maxLoads-1].Running)
		inMessage := map[string]bool{}
		for _, d := range message.Departures {
			inMessage[d.Server], sent[d.Server] = true, true
		}
		assert.Len(t, inMessage, departures)
		assert.Len(t, message.Limits, maxLimits)
		assert.True(t, inMessage[newest])
	}
	assert.Len(t, sent, count)
}

// What a backend server has said itself, that it leaves, is told to the peers, and they
// stop using it too.
func TestAnnouncedDepartureIsTold(t *testing.T) {
	a, b := newNode(t), newNode(t)
	a.Name, b.Name = "a", "b"
	a.peers.Self, b.peers.Self = "a", "b"
	for _, n := range []*Node{a, b} {
		(&serversView{n}).Replace(page(serverEntry("i-1", "")), false)
		assert.Len(t, n.roster.Service("s"), 1)
	}
	server, _ := a.roster.Find("i-1", 1)
	a.Broker.Notice(server, broker.Notice{Leaving: true})
	assert.Empty(t, a.roster.Service("s"))
	message, _ := a.composeStatus()
	b.handleStatus(message)
	assert.Empty(t, b.roster.Service("s"))
}

// The rate limit that a backend server has named to one process is kept by the others
// too, and they do not pass on what they have not been told themselves.
func TestLimitIsTold(t *testing.T) {
	a, b := newNode(t), newNode(t)
	a.Name, b.Name = "a", "b"
	a.peers.Self, b.peers.Self = "a", "b"
	for _, n := range []*Node{a, b} {
		(&serversView{n}).Replace(page(serverEntry("i-1", "")), false)
	}
	server, _ := a.roster.Find("i-1", 1)
	a.Broker.Notice(server, broker.Notice{Limited: true, Limit: 7.5})
	message, _ := a.composeStatus()
	b.handleStatus(message)
	assert.True(t, b.usage.Get(time.Now(), server).Throttled)
	message, _ = b.composeStatus()
	assert.Empty(t, message.Limits)
}
