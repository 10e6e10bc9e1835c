package mesh

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// TestStatusGoesOutInBursts guards against a VM with a small share of a core that sends a status
// message to a hundred peers at once and serves no request meanwhile, and against peers that
// get none.
func TestStatusGoesOutInBursts(t *testing.T) {
	for _, c := range []struct {
		peers  int
		spread bool
	}{{burst, false}, {116, true}} {
		at := received(t, c.peers)
		assert.Len(t, at, c.peers)
		if !c.spread {
			continue
		}
		bursts := 1
		for i := 1; i < len(at); i++ {
			if at[i].Sub(at[i-1]) > time.Millisecond {
				bursts++
			}
		}
		assert.GreaterOrEqual(t, bursts, c.peers/burst/2, "pauses between the datagrams of one status message")
	}
}

// received returns when the datagrams of one status message to so many peers arrive. All peers
// have the same address.
func received(t *testing.T, count int) []time.Time {
	sink, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NoError(t, err)
	defer sink.Close()
	conn, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NoError(t, err)
	defer conn.Close()
	to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	members := make([]peers.Member, count)
	for i := range members {
		members[i] = peers.Member{Name: fmt.Sprint("entry-", i), Address: to}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	composed := 0
	m := &Mesh{
		Conn: conn, Peers: func() []peers.Member { return members }, Meters: &meter.Set{}, Log: zap.NewNop(),
		Compose: func() (*wire.News, bool) {
			composed++
			return &wire.News{From: "entry", Sequence: uint64(composed)}, composed == 1
		},
	}
	go func() { _ = m.Send(ctx) }()
	var at []time.Time
	buffer := make([]byte, maxDatagram)
	for len(at) < count {
		assert.NoError(t, sink.SetReadDeadline(time.Now().Add(5*time.Second)))
		if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
			break
		}
		at = append(at, time.Now())
	}
	return at
}
