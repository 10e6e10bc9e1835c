package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestHealth(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name string
		do   func(h *Health)
		at   time.Duration
		want bool
	}{
		{"nothing seen", func(*Health) {}, 0, false},
		{"a call that was cut", func(h *Health) { h.Failed(at(0), "a") }, outageAfter, false},
		{"calls fail", func(h *Health) { h.Failed(at(0), "a") }, outageAfter + 1, true},
		{"the first of a row counts", func(h *Health) {
			h.Failed(at(0), "a")
			h.Failed(at(outageAfter), "a")
		}, outageAfter + 1, true},
		{"back at once", func(h *Health) {
			h.Failed(at(0), "a")
			h.Answered(at(outageAfter), "a")
		}, outageAfter + 1, false},
		{"back after long", func(h *Health) {
			h.Failed(at(0), "a")
			h.Answered(at(time.Minute), "a")
		}, time.Minute + recentOutage - 1, true},
		{"back for long", func(h *Health) {
			h.Failed(at(0), "a")
			h.Answered(at(time.Minute), "a")
		}, time.Minute + recentOutage, false},
		{"another is answered", func(h *Health) {
			h.Failed(at(0), "a")
			h.Answered(at(1), "b")
		}, outageAfter + 1, true},
	} {
		var h Health
		c.do(&h)
		assert.Equal(t, c.want, h.Away(at(c.at)), c.name)
	}
	var none *Health
	none.Failed(start, "a")
	none.Answered(start, "a")
	assert.False(t, none.Away(start))
}
