package budget

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReservationsThatFailTakeNothing guards against a failed reservation that makes one fail
// at the same time for which there is room, and against a count above the limit.
func TestReservationsThatFailTakeNothing(t *testing.T) {
	b := Budget{Limit: 10}
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 10_000 {
				assert.False(t, b.Reserve(11))
			}
		})
	}
	for range 10_000 {
		assert.True(t, b.Reserve(10))
		assert.LessOrEqual(t, b.Used(), int64(10))
		b.Release(10)
	}
	all.Wait()
	assert.Zero(t, b.Used())
}

// TestZeroBudgetHasNoLimit guards against rejections where no limit is set.
func TestZeroBudgetHasNoLimit(t *testing.T) {
	var b Budget
	assert.True(t, b.Reserve(1<<40))
}
