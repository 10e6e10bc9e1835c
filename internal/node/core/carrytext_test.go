package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/broker"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// TestCarriedRequestsNeedNotBeText guards against requests that can't be handed to a peer, or
// arrive changed, because something that the client has sent is not UTF-8, and against
// responses of backend servers that can't be handed back.
func TestCarriedRequestsNeedNotBeText(t *testing.T) {
	r := &broker.Request{
		ID: "r\xe9", Host: "h\xe9", Method: "P\xe9", Path: "/x/\xe9", After: "\xff", Origin: "\xfe",
		Fields: []call.Field{{Name: "X-N\xe9", Value: "caf\xe9"}}, Parts: []broker.Part{{ID: "p\xe9", Tokens: 3}},
	}
	data, err := proto.Marshal(encodeCarried("entry-1", time.Now(), broker.Carried{Request: r}))
	require.NoError(t, err)
	var q wire.CarriedRequest
	require.NoError(t, proto.Unmarshal(data, &q))
	got := decodeCarried(time.Now(), &q, nil).Request
	assert.Equal(t, []any{r.ID, r.Host, r.Method, r.Path, r.After, r.Origin}, []any{got.ID, got.Host, got.Method, got.Path, got.After, got.Origin})
	assert.Equal(t, r.Fields, got.Fields)
	assert.Equal(t, r.Parts, got.Parts)
	_, err = proto.Marshal(&wire.CarryReply{Header: &wire.ReplyHeader{Fields: encodeFields(r.Fields)}})
	assert.NoError(t, err)
}
