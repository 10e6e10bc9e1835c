package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/detail"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// withEngines returns a node with engines of a service, whose route has a token gap target if
// that is not 0.
func withEngines(t *testing.T, name, gapMs string, engines int) *Node {
	n := newNode(t)
	n.Name, n.peers.Self = name, name
	n.activate([]byte(`{"Version":3,"Routes":[{"Name":"chat","Host":"h","Prefix":"/","Kind":"Stream","TimeoutMs":5000,"AimMs":200,"Service":"s","Attempts":1,"Prompted":true,"GapMs":`+gapMs+`}],
		"Services":[{"Name":"s","Engine":{"Slots":8}}]}`), "test")
	var entries []store.Object
	for i := range engines {
		entries = append(entries, serverEntry("i-"+string(rune('a'+i)), `,"Role":"Decode"`))
	}
	(&serversView{n}).Replace(page(entries...), false)
	require.Len(t, n.roster.Service("s"), engines)
	return n
}

// gaps returns the predicted gaps of the engines by name.
func (n *Node) gaps(t *testing.T) map[string]detail.Milliseconds {
	e, err := n.Broker.Explain(broker.ExplainQuery{Host: "h", Path: "/", MaxOutputTokens: 2000})
	require.NoError(t, err)
	list := map[string]detail.Milliseconds{}
	for _, s := range e.Servers {
		list[s.ID] = s.GapMs
	}
	return list
}

// TestGapsAreTold guards against samples that peers do not get or get twice, and against
// messages that are larger, or sent more often, without a token gap target.
func TestGapsAreTold(t *testing.T) {
	a, b, without := withEngines(t, "a", "150", 2), withEngines(t, "b", "150", 1), withEngines(t, "c", "0", 2)
	a.composeStatus()
	known, unknown := roster.Key("i-a", 1), roster.Key("i-b", 1)
	for range 9 {
		a.Broker.RecordGap(time.Now(), "s", known, 40*time.Millisecond)
		a.Broker.RecordGap(time.Now(), "s", unknown, 40*time.Millisecond)
	}
	message, changed := a.composeStatus()
	assert.True(t, changed, "the only message with these samples must be sent")
	assert.Len(t, message.Gaps, 2)
	again, changed := a.composeStatus()
	assert.Empty(t, again.Gaps)
	assert.False(t, changed)

	b.handleStatus(message)
	b.handleStatus(message)
	assert.InDelta(t, 40, float64(b.gaps(t)["i-a"]), 0.1)
	without.handleStatus(message)
	assert.Zero(t, without.gaps(t)["i-a"])
	told, _ := without.composeStatus()
	assert.Empty(t, told.Gaps)
	told, _ = b.composeStatus()
	assert.Empty(t, told.Gaps, "hearsay is not passed on")
}

// TestGapsFitOnePacket guards against status messages that are fragmented.
func TestGapsFitOnePacket(t *testing.T) {
	n := withEngines(t, "a", "150", 1)
	message := &wire.News{From: string(make([]byte, maxStatus-100))}
	for engine := range uint64(40) {
		n.Broker.RecordGap(time.Now(), "s", ^engine, time.Minute)
	}
	assert.True(t, n.addGaps(time.Now(), message, true))
	assert.LessOrEqual(t, proto.Size(message), maxStatus)
	message = &wire.News{}
	assert.True(t, n.addGaps(time.Now(), message, true))
	assert.Len(t, message.Gaps, maxGaps)
}
