package limit

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestShares checks that the shares sum up to the limit at any size, and that few
// processes can send at the same moment.
func TestShares(t *testing.T) {
	for _, processes := range []int{0, 1, 2, 6, 86, 295, 720} {
		for _, perSecond := range []float64{0, 0.3, 1, 7.5, 40, 2000} {
			sum, users := 0.0, 0
			for rank := range max(processes, 1) {
				share := Share(perSecond, processes, rank)
				sum += share
				if share > 0 {
					users++
				}
			}
			assert.InDelta(t, perSecond, sum, 1e-6, "%d processes, %v a second", processes, perSecond)
			assert.LessOrEqual(t, float64(users), 3+perSecond/2, "%d processes, %v a second", processes, perSecond)
		}
	}
}
