package core

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/kept"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/route/assign"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Messages between a coordinator and its requesters keep all their fields.
func TestCoordinationCodec(t *testing.T) {
	grant := broker.PermitGrant{
		Number: 3, Status: broker.Granted, ID: "i-1", Born: 5, LocalPrefill: true, Fetch: netip.MustParseAddrPort("10.0.0.9:80"),
		Times: assign.Times{Base: 20 * time.Millisecond, Rate: 51e3}, Tokens: 41_000,
	}
	assert.Equal(t, grant, decodeGrant(encodeGrant(grant)))
	assert.Equal(t, broker.PermitGrant{Number: 3}, decodeGrant(encodeGrant(broker.PermitGrant{Number: 3})))
	assert.False(t, decodeGrant(&wire.PlaceGrant{Fetch: "nonsense"}).Fetch.IsValid())
	release := broker.PermitRelease{Number: 9, Verdict: usage.Full, Prefilled: true, Kept: true}
	assert.Equal(t, release, decodeRelease(encodeRelease(release)))
	assert.Len(t, decodeRequest(&wire.PlaceRequest{Prefixes: []uint64{1, 2}, PrefixTokens: []uint32{7}}).Chain, 1)
}

// Permit requests, grants and releases arrive at the other process, and invalid ones do
// no harm.
func TestCoordinationRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newNode(t), newNode(t)
		b.Name, b.peers.Self = "b", "b"
		deliver := func(from, to *Node) *wire.News {
			envelope, err := from.coordination.outbox.Pop(t.Context())
			require.NoError(t, err)
			assert.Equal(t, to.Name, envelope.to)
			data, err := proto.Marshal(envelope.message)
			require.NoError(t, err)
			message := &wire.News{}
			require.NoError(t, proto.Unmarshal(data, message))
			to.handleStatus(message)
			return message
		}
		engine := func(id, role string) store.Object { return serverEntry(id, fmt.Sprintf(`,"Role":%q,"Slots":8`, role)) }
		(&serversView{b}).Replace(page(engine("i-1", "Prefill"), engine("i-2", "Decode")), false)
		request := broker.PermitRequest{
			Number: 7, Request: "r", Service: "s", Priority: 1, StartWithin: -time.Millisecond, MaxWait: 50 * time.Millisecond,
			TimeLeft: time.Second, Excluded: []string{"i-1"}, OwnTokens: 700, Target: 200 * time.Millisecond,
			Chain: []kept.Part{{Hash: 5, Tokens: 300}}, Account: "a", OutputTokens: 72, Returning: true,
		}
		a.coordination.Request("b", request)
		sent := deliver(a, b).PlaceRequests[0]
		assert.Equal(t, request, decodeRequest(sent))
		grant := deliver(b, a).PlaceGrants[0]
		assert.Equal(t, []any{uint64(7), uint32(broker.Granted), "i-2", int64(1), true}, []any{grant.Number, grant.Answer, grant.Server, grant.Born, grant.Reading})
		// No request waits for the permit, so it is released.
		release := deliver(a, b).PlaceReleases[0]
		assert.Equal(t, uint64(7), release.Number)
		message, _ := b.composeStatus()
		assert.Empty(t, message.Lines, "the permit is released")

		a.coordination.Release("b", broker.PermitRelease{Number: 9, Verdict: usage.Full, Prefilled: true, Kept: true})
		release = deliver(a, b).PlaceReleases[0]
		assert.Equal(t, usage.Full, usage.Verdict(release.Verdict))
		assert.True(t, release.Prefilled && release.Kept)
		b.handleStatus(&wire.News{From: "a", PlaceGrants: []*wire.PlaceGrant{{Number: 3, Answer: 99}}, PlaceReleases: []*wire.PlaceRelease{{Number: 4, Verdict: 99}}, PlaceRequests: []*wire.PlaceRequest{{}}})
	})
}
