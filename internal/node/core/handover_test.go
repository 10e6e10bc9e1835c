package core

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"storj.io/drpc"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// slowPeer is a peer that takes each part of a request after perPart, accepts the request
// after pause, and responds at once. It implements Hops and its own call.
type slowPeer struct {
	drpc.Stream
	perPart, pause time.Duration

	ctx     context.Context
	ordered bool
	replies []*wire.CarryReply
}

func (p *slowPeer) Carry(ctx context.Context, _ netip.AddrPort) (wire.DRPCEntry_CarryClient, func(bool), error) {
	p.ctx, p.ordered = ctx, false
	p.replies = []*wire.CarryReply{{Accepted: true}, {Header: &wire.ReplyHeader{Status: 200}}}
	return p, func(bool) {}, nil
}

func (p *slowPeer) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *slowPeer) Send(part *wire.CarryPart) error {
	p.ordered = p.ordered || part.Go
	if len(part.Body) > 0 {
		return p.wait(p.perPart)
	}
	return nil
}

func (p *slowPeer) Recv() (*wire.CarryReply, error) {
	if len(p.replies) == 0 {
		return nil, io.EOF
	}
	reply := p.replies[0]
	p.replies = p.replies[1:]
	if reply.Accepted {
		return reply, p.wait(p.pause)
	}
	return reply, nil
}

func (*slowPeer) CloseSend() error { return nil }

// TestHandoverWaitsForASlowPeer guards against requests that are refused though a peer would
// have served them: a long body that arrives slowly, and a pause of the only peer that is
// left. Of several peers none may hold up a request for longer than handoverTimeout.
func TestHandoverWaitsForASlowPeer(t *testing.T) {
	const parts = 8
	for _, c := range []struct {
		name           string
		perPart, pause time.Duration
		last, accepted bool
		noBody         bool
		took           time.Duration
	}{
		{"slow body", handoverTimeout - 1, handoverTimeout - 1, false, true, false, (parts + 1) * (handoverTimeout - 1)},
		{"body that stops", handoverTimeout + 1, 0, false, false, false, handoverTimeout},
		{"pause", 0, handoverTimeout + 1, false, false, false, handoverTimeout},
		{"pause of the last peer", 0, 900 * time.Millisecond, true, true, true, 900 * time.Millisecond},
		{"silence of the last peer", 0, 3 * time.Second, true, false, true, time.Second},
		{"slow body at the last peer", 300 * time.Millisecond, 0, true, false, false, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newNode(t)
				peer := &slowPeer{perPart: c.perPart, pause: c.pause}
				a.Hops = peer
				a.peers.Set(peers.Member{Name: "b", Address: netip.MustParseAddrPort("10.0.0.2:1")})
				request := carriedRequest("/w/x", make([]byte, parts*pieceBytes))
				request.LastPeer = c.last
				if c.noBody {
					request.Request.Body = nil
				}
				relay, began := &hopRelay{}, time.Now()
				err := a.carrier.Carry(t.Context(), "b", request, relay)
				assert.Equal(t, c.took, time.Since(began))
				assert.Equal(t, c.accepted, peer.ordered)
				if c.accepted {
					assert.NoError(t, err)
					assert.Equal(t, 200, relay.reply.Status)
					return
				}
				outcome, _ := outcomeOf(t, err)
				assert.Equal(t, retry.NotRun, outcome)
				assert.ErrorIs(t, err, errHandover)
			})
		})
	}
}
