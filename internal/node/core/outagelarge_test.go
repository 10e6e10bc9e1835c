//go:build !race

// .ci/run runs this file without the race detector, see walk_test.go; smaller bubbles run the same
// code with it.

package core

import "testing"

// TestServersThatLeaveTogetherAreDroppedInLargeSystems guards against what
// TestServersThatLeaveTogetherAreDroppedInTime does, in systems whose polls for changes are longer.
func TestServersThatLeaveTogetherAreDroppedInLargeSystems(t *testing.T) {
	leaveTogether(t, []int{13, 23})
}
