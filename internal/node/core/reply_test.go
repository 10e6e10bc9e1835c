package core

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// scriptedPeer accepts each request and hands back the replies, as a peer of another build may.
type scriptedPeer struct {
	wire.DRPCEntryUnimplementedServer
	replies []*wire.CarryReply
}

func (p *scriptedPeer) Carry(stream wire.DRPCEntry_CarryStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&wire.CarryReply{Accepted: true}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	for _, reply := range p.replies {
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
	return nil
}

// TestHopThatHandsBackNoAnswer guards against what a peer hands back and is no answer: clients
// would get a status, a field or an end that is none.
func TestHopThatHandsBackNoAnswer(t *testing.T) {
	header := func(status uint32, stream bool, name, value string) *wire.CarryReply {
		return &wire.CarryReply{Header: &wire.ReplyHeader{Status: status, Stream: stream, Fields: []*wire.HeaderField{{Name: []byte(name), Value: []byte(value)}}}}
	}
	event, end := &wire.CarryReply{Event: []byte("id: 1\n\n")}, &wire.CarryReply{End: true}
	for name, c := range map[string]struct {
		replies []*wire.CarryReply
		sound   bool
	}{
		"whole":                   {[]*wire.CarryReply{header(200, false, "X-A", "caf\xe9\t")}, true},
		"a stream":                {[]*wire.CarryReply{header(200, true, "X-A", ""), event, end}, true},
		"status 0":                {[]*wire.CarryReply{header(0, false, "X-A", "1")}, false},
		"status 100":              {[]*wire.CarryReply{header(100, false, "X-A", "1")}, false},
		"status 600":              {[]*wire.CarryReply{header(600, true, "X-A", "1"), event, end}, false},
		"a blank in a name":       {[]*wire.CarryReply{header(200, false, "X A", "1")}, false},
		"a line end in a value":   {[]*wire.CarryReply{header(200, true, "X-A", "1\nX-B: 2"), event, end}, false},
		"no header":               {[]*wire.CarryReply{event, end}, false},
		"nothing but the end":     {[]*wire.CarryReply{end}, false},
		"two headers":             {[]*wire.CarryReply{header(200, true, "X-A", "1"), event, header(200, false, "X-A", "1")}, false},
		"no end":                  {[]*wire.CarryReply{header(200, true, "X-A", "1"), event}, false},
		"less than its length":    {[]*wire.CarryReply{{Header: &wire.ReplyHeader{Status: 200, BodyBytes: 4}}, {Body: []byte("abc")}}, false},
		"more than its length":    {[]*wire.CarryReply{{Header: &wire.ReplyHeader{Status: 200, BodyBytes: 2}}, {Body: []byte("abc")}}, false},
		"a length beyond measure": {[]*wire.CarryReply{{Header: &wire.ReplyHeader{Status: 200, BodyBytes: 1 << 62}}}, false},
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = link.ServeEntry(ctx, listener, &scriptedPeer{replies: c.replies}, &meter.Set{})
		}()
		client := &link.Client{Meters: &meter.Set{}}
		a := newNode(t)
		a.Hops = client
		a.peers.Set(peers.Member{Name: "b", Address: netip.MustParseAddrPort(listener.Addr().String())})
		err = a.carrier.Carry(t.Context(), "b", carriedRequest("/w/x", nil), &hopRelay{})
		if c.sound {
			assert.NoError(t, err, name)
		} else if assert.Error(t, err, name) {
			outcome, _ := outcomeOf(t, err)
			assert.Equal(t, retry.Unknown, outcome, "%s: it may have run", name)
		}
		client.Close()
		cancel()
		<-served
	}
}
