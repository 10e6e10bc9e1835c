package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
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
		{"the store answers another caller", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordAnswer(at(1), at(time.Second), "c")
			h.RecordFailure(at(time.Minute), at(time.Minute), "a")
		}, time.Minute + outageAfter + 1, false},
		{"that ends an outage", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordAnswer(at(1), at(time.Second), "c")
		}, time.Second + recentOutage - 1, true},
		{"the answer is to an earlier call", func(h *Health) {
			h.RecordFailure(at(0), at(1), "a")
			h.RecordAnswer(at(0), at(time.Second), "c")
		}, time.Minute, true},
		{"calls fail after the answer", func(h *Health) {
			h.RecordFailure(at(0), at(0), "a")
			h.RecordAnswer(at(1), at(time.Second), "c")
			h.RecordFailure(at(time.Minute), at(time.Minute), "b")
		}, time.Minute + outageAfter + 1, true},
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

// TestOutageSeenByTwoCallers checks that an outage whose end one caller sees later than another
// counts from the first, and that a second one counts for itself.
func TestOutageSeenByTwoCallers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name string
		then Outage
		want Outage
	}{
		{"the same one, seen later", Outage{NotBefore: at(900), Seen: at(2500)}, Outage{NotBefore: at(900), Seen: at(1000)}},
		{"the same one, of which less is known", Outage{NotBefore: at(100), Seen: at(1200)}, Outage{NotBefore: at(800), Seen: at(1000)}},
		{"a second one", Outage{NotBefore: at(1100), Seen: at(3000)}, Outage{NotBefore: at(1100), Seen: at(3000)}},
		{"a second one that lasts", Outage{NotBefore: at(1100), Seen: at(3000), Lasting: true}, Outage{NotBefore: at(1100), Seen: at(3000), Lasting: true}},
	} {
		var h Health
		h.RecordOutage(Outage{NotBefore: at(500), Seen: at(700), Lasting: true})
		h.RecordOutage(Outage{NotBefore: at(800), Seen: at(1000)})
		h.RecordOutage(c.then)
		got, known := h.Last(at(3000))
		assert.True(t, known)
		assert.Equal(t, c.want, got, c.name)
	}
}

// TestOutagesAreLogged guards against an outage whose bounds, and the callers that set them,
// can't be told from the log.
func TestOutagesAreLogged(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	core, lines := observer.New(zapcore.InfoLevel)
	h := Health{Log: zap.New(core)}
	h.RecordFailure(at(0), at(1000), "servers")
	h.RecordFailure(at(1040), at(2040), "servers")
	h.RecordFailure(at(2080), at(3080), "servers")
	h.RecordAnswer(at(3000), at(3100), "config")
	h.RecordSuccess(at(3200), "servers")
	h.RecordOutage(Outage{NotBefore: at(2080), Seen: at(3200), Failed: "servers", Answered: "servers"})
	logged := lines.AllUntimed()
	assert.Len(t, logged, 2)
	assert.Equal(t, map[string]any{"Failed": "servers", "Failing": time.Duration(1040) * time.Millisecond, "NotBefore": at(1040)}, logged[0].ContextMap())
	assert.Equal(t, map[string]any{"NotBefore": at(2080), "Failed": "servers", "Seen": at(3100), "Answered": "config", "Lasting": false}, logged[1].ContextMap())
}

// TestLastFailedBoundsTheFirstAnswer guards against a hold that counts from when one task of a
// process has seen that the store is back, a pause after it was.
func TestLastFailedBoundsTheFirstAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var h Health
	h.RecordFailure(at(0), at(1000), "a")
	h.RecordFailure(at(100), at(1100), "b")
	h.RecordFailure(at(1050), at(2050), "a")
	h.RecordAnswer(at(2450), at(2500), "c")
	last, ok := h.Last(at(2600))
	assert.True(t, ok)
	assert.Equal(t, at(2050), last.LastFailed)
	h.RecordFailure(at(1600), at(2650), "b")
	h.RecordSuccess(at(2700), "b")
	last, _ = h.Last(at(2800))
	assert.Equal(t, at(2500), last.Seen)
	assert.Equal(t, at(2050), last.LastFailed, "a call that failed after the first answer says nothing of the time before")
}
