package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestHealth checks when failed calls count as an outage, and for how long.
func TestHealth(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name string
		do   func(h *Health)
		at   time.Duration
		want bool
	}{
		{"no calls", func(*Health) {}, 0, false},
		{"one interrupted call", func(h *Health) { h.RecordFailure(at(0), at(0), "a") }, outageAfter, false},
		{"calls fail for longer", func(h *Health) { h.RecordFailure(at(0), at(0), "a") }, outageAfter + 1, true},
		{"the first of several failures counts", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordFailure(at(0), at(outageAfter), "a")
		}, outageAfter + 1, true},
		{"success in time", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordSuccess(at(outageAfter), "a")
		}, outageAfter + 1, false},
		{"soon after an outage", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordSuccess(at(time.Minute), "a")
		}, time.Minute + recentOutage - 1, true},
		{"long after an outage", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordSuccess(at(time.Minute), "a")
		}, time.Minute + recentOutage, false},
		{"another caller succeeds", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordSuccess(at(1), "b")
		}, outageAfter + 1, true},
	} {
		var h Health
		c.do(&h)
		assert.Equal(t, c.want, h.Outage(at(c.at)), c.name)
	}
	var none *Health
	none.RecordFailure(start, start, "a")
	none.RecordSuccess(start, "a")
	assert.False(t, none.Outage(start))
}
