package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/peers"
)

// TestStatusGoesOutInBursts guards against a VM with a small share of a core that sends a status
// message to a hundred peers at once and serves no request meanwhile, and against peers that
// get none, or get it with a delay where there are few.
func TestStatusGoesOutInBursts(t *testing.T) {
	for _, c := range []struct {
		peers  int
		spread time.Duration
		bursts int
	}{{0, 0, 0}, {burst, 0, 1}, {116, 145 * time.Millisecond, 10}} {
		synctest.Test(t, func(t *testing.T) {
			began, at, sent := time.Now(), map[time.Duration]int{}, 0
			sendAll(t.Context(), make([]peers.Member, c.peers), c.spread, func(peers.Member) {
				at[time.Since(began)]++
				sent++
			})
			assert.Equal(t, c.peers, sent)
			assert.Len(t, at, c.bursts)
			for _, n := range at {
				assert.LessOrEqual(t, n, burst)
			}
			assert.Equal(t, c.spread, time.Since(began))
		})
	}
}
