package tree

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
)

// node returns process a of zone z and deployment d, with no known peer.
func node() *Node {
	n := &Node{
		Self:       member.Member{Name: "a", AvailabilityZone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 5},
		Deployment: "d", Platform: &platf.Platform{}, Log: zap.NewNop(),
	}
	n.Prepare()
	return n
}

// FuzzGossip checks that a process responds to any gossip message that a peer could
// send, with its own name and without an error.
func FuzzGossip(f *testing.F) {
	message, err := proto.Marshal(&wire.Gossip{
		From: &wire.Member{Name: "b", AvailabilityZone: "z", Address: "127.0.0.2:1", Incarnation: 3}, Deployment: "d", ConfigVersion: 9, Full: true,
		News: []*wire.Member{{Name: "a", State: 2, Incarnation: 7}, {Name: "c", State: 99}}, Leaves: []*wire.Leave{{Name: "e", Source: 77, Leaving: true}},
		Loads: []*wire.Load{{Index: 4e9, Role: 12, QueuedTokens: 1 << 31}, nil},
	})
	require.NoError(f, err)
	f.Add(message)
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var g wire.Gossip
		if proto.Unmarshal(data, &g) != nil {
			return
		}
		n := node()
		response, err := n.Exchange(t.Context(), &g)
		require.NoError(t, err)
		assert.Equal(t, "a", response.From.Name)
	})
}

// TestFieldsOfANewerRelease checks that a message is applied although it has a field
// that only a newer release defines.
func TestFieldsOfANewerRelease(t *testing.T) {
	message, err := proto.Marshal(&wire.Gossip{From: &wire.Member{Name: "b", AvailabilityZone: "z", Address: "127.0.0.2:1", Incarnation: 3}, Deployment: "d"})
	require.NoError(t, err)
	// Field 200, which this release does not have, holds the text "new".
	message = append(message, 0xc2, 0x0c, 3, 'n', 'e', 'w')
	var g wire.Gossip
	require.NoError(t, proto.Unmarshal(message, &g))
	n := node()
	_, err = n.Exchange(t.Context(), &g)
	require.NoError(t, err)
	assert.Len(t, n.Members(), 2)
}

// TestQuantise checks the error of quantised numbers, and that a role that is left
// out of a message means spec.Mixed.
func TestQuantise(t *testing.T) {
	for n := range 100_000 {
		got := dequantise(quantise(n))
		assert.InDelta(t, n, got, float64(n)/8+0.5)
	}
	assert.Equal(t, spec.Mixed, spec.Role(0))
}
