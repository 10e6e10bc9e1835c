package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/broker"
)

// TestCarriedRequestsNeedNotBeText guards against requests that can't be handed to a peer
// because a header field has bytes that are not UTF-8.
func TestCarriedRequestsNeedNotBeText(t *testing.T) {
	r := &broker.Request{ID: "r", Host: "h", Method: "POST", Path: "/x/\xe9", Fields: []call.Field{{Name: "X-Name", Value: "caf\xe9"}}}
	_, err := proto.Marshal(encodeCarried("entry-1", time.Now(), broker.Carried{Request: r}))
	assert.NoError(t, err)
}
