package broker

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/roster"
	"ebonyscale.example/ebonyscale/internal/fleet/usage"
)

// TestQueueHashIsThatOfOtherBuilds guards against processes that take the queues in the status
// messages of another build for other ones.
func TestQueueHashIsThatOfOtherBuilds(t *testing.T) {
	for _, service := range []string{"", "model", strings.Repeat("m", 2*queueKeyBytes)} {
		assert.Equal(t, xxhash.Sum64String(service+"/Decode/1"), QueueHash(service, roster.Decode, usage.Long))
		assert.Equal(t, xxhash.Sum64String(service+"//0"), QueueHash(service, "", usage.Short))
	}
}
