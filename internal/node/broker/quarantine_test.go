package broker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/fleet/crash"
	"ebonyscale.example/ebonyscale/internal/fleet/roster"
)

// quarantineList is a fake Quarantine.
type quarantineList struct {
	part             string
	content          uint64
	until            time.Time
	crashed, success []string
	crashedContents  []uint64
	crashedAt        []time.Time
	successContents  []uint64
}

func (q *quarantineList) Until(now time.Time, content uint64, parts []string) (time.Time, bool) {
	if now.Before(q.until) && (slices.Contains(parts, q.part) || content == q.content) {
		return q.until, true
	}
	return time.Time{}, false
}

func (q *quarantineList) Crashed(at time.Time, _ roster.Server, content uint64, parts []string) {
	q.crashedAt = append(q.crashedAt, at)
	q.crashed = append(q.crashed, parts...)
	q.crashedContents = append(q.crashedContents, content)
}

func (q *quarantineList) Succeeded(content uint64, parts []string) {
	q.success = append(q.success, parts...)
	q.successContents = append(q.successContents, content)
}

// newCrashing returns a request with a prompt that has the part "bad".
func newCrashing(path string) *Request {
	r := newPromptRequest(path, 3000, 80)
	r.Parts = []Part{{"a", 1000}, {"bad", 1000}, {"own", 1000}}
	return r
}

// TestPromptInQuarantineIsRejected checks that no backend server gets it, and that the
// client is told when to come back.
func TestPromptInQuarantineIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		q := &quarantineList{part: "bad", until: time.Now().Add(time.Minute)}
		f.Quarantine = q
		f.fleet.fallback = events(1, 3, true)
		f.addServer("p", "model", "Prefill")
		f.addServer("d", "model", "Decode")
		c := f.serve(t.Context(), newCrashing("/talk/"))
		assert.Empty(t, f.fleet.servers())
		if assert.Len(t, c.replies, 1) {
			assert.Equal(t, Reply{Status: 503, RetryAfter: time.Minute}, c.replies[0])
		}
		r := newCrashing("/talk/")
		r.Parts = []Part{{"a", 1000}, {"b", 1000}, {"bad", 1000}}
		c = f.serve(t.Context(), r)
		assert.True(t, c.ended, "the last part is the request's own")
		assert.Equal(t, []string{"a", "b"}, q.success)
		time.Sleep(time.Minute)
		assert.True(t, f.serve(t.Context(), newCrashing("/talk/")).ended, "the quarantine has ended")
	})
}

// TestPromptInQuarantineIsNotRetried checks that a prompt that is found to crash
// backend servers while it is in progress goes to no further one.
func TestPromptInQuarantineIsNotRetried(t *testing.T) {
	for name, first := range map[string]behavior{"no response": breaksOff, "stream broke": events(1, 2, false)} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			q := &quarantineList{part: "bad"}
			f.Quarantine = q
			f.addServer("d", "model", "Decode")
			f.addServer("e", "model", "Decode")
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				q.until = time.Now().Add(time.Minute)
				return first(ctx, s)
			}
			c := f.serve(t.Context(), newCrashing("/talk/"))
			assert.Len(t, f.fleet.sent, 1, name)
			assert.False(t, c.ended, name)
			if len(c.replies) > 0 {
				assert.Equal(t, 502, c.replies[0].Status, "it may have run")
			}
			assert.Empty(t, q.success, name)
		})
	}
}

// TestQuarantineSeesAllParts guards against a part of a long prompt that is neither rejected nor
// cleared, because of its place or the length of its ID.
func TestQuarantineSeesAllParts(t *testing.T) {
	for _, place := range []int{0, 15, 16, 17, 511, 1298} {
		for _, id := range []string{"bad", strings.Repeat("0badc0de", 20)} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				q := &quarantineList{part: crash.PartSubject(id)}
				f.Quarantine = q
				f.addServer("d", "model", "Decode")
				f.fleet.fallback = events(1, 3, true)
				r := newPromptRequest("/talk/", 3000, 80)
				r.Parts = make([]Part, 1300)
				for i := range r.Parts {
					r.Parts[i] = Part{fmt.Sprint("s", i), 2}
				}
				r.Parts[place].ID = id
				again := *r
				assert.True(t, f.serve(t.Context(), r).ended)
				assert.Len(t, q.success, 1299)
				assert.Contains(t, q.success, q.part, "place %d", place)
				q.until = time.Now().Add(time.Minute)
				assert.False(t, f.serve(t.Context(), &again).ended, "place %d", place)
			})
		}
	}
}

// TestResponseThatEndsWithItsConnectionProvesNothing checks that a stream whose end
// looks like that of its backend server does not clear the prompt.
func TestResponseThatEndsWithItsConnectionProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		q := &quarantineList{}
		f.Quarantine = q
		f.addServer("d", "model", "Decode")
		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			response, err := events(1, 3, true)(ctx, s)
			response.UntilClose = true
			return response, err
		}
		assert.True(t, f.serve(t.Context(), newCrashing("/talk/")).ended)
		assert.Empty(t, q.success)
	})
}

// TestRequestInQuarantineIsRejected checks that a plain request that crashes servers is
// rejected with a time after which to come back, at once or when it is found to do so
// while it waits or was sent, and that others with the same path are served.
func TestRequestInQuarantineIsRejected(t *testing.T) {
	for _, path := range []string{"/read/", "/write/", "/talk/"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			r := newRequest(path)
			r.Body = []byte("bad")
			q := &quarantineList{content: r.contentHash("")}
			f.Quarantine = q
			f.addServer("d", "model", "Decode")
			f.addServer("e", "model", "Decode")
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				q.until = time.Now().Add(time.Minute)
				return breaksOff(ctx, s)
			}
			c := f.serve(t.Context(), r)
			assert.Len(t, f.fleet.sent, 1, "it is not retried: "+path)
			if assert.Len(t, c.replies, 1, path) {
				assert.Equal(t, 502, c.replies[0].Status, "it may have run: "+path)
			}
			again := newRequest(path)
			again.ID, again.Body = "r2", r.Body
			c = f.serve(t.Context(), again)
			assert.Len(t, f.fleet.sent, 1, path)
			if assert.Len(t, c.replies, 1, path) {
				assert.Equal(t, Reply{Status: 503, RetryAfter: time.Minute}, c.replies[0], path)
			}
			f.fleet.fallback = events(1, 3, true)
			sound := newRequest(path)
			sound.ID, sound.Body = "r3", []byte("good")
			f.serve(t.Context(), sound)
			assert.Len(t, f.fleet.sent, 2, path)
			assert.Equal(t, []uint64{sound.contentHash("")}, q.successContents, path)
		})
	}
}

// TestErrorStatusProvesThatAServerSurvived checks that a request with any complete
// response is not held against later ends of servers.
func TestErrorStatusProvesThatAServerSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		q := &quarantineList{}
		f.Quarantine = q
		f.fleet.fallback = fails
		r := newRequest("/write/")
		f.serve(t.Context(), r)
		assert.Equal(t, []uint64{r.contentHash("")}, q.successContents)
	})
}

// laterQuarantine is a fake Quarantine that has the part "bad" from its second question on.
type laterQuarantine struct {
	quarantineList
	asked int
}

func (q *laterQuarantine) Until(now time.Time, _ uint64, parts []string) (time.Time, bool) {
	q.asked++
	return now.Add(time.Minute), q.asked > 1 && slices.Contains(parts, "bad")
}

// TestPromptThatWaitedForItsPrefillIsNotSentInQuarantine checks that a prompt which is
// found to crash backend servers while it waits for its permit is not prefilled.
func TestPromptThatWaitedForItsPrefillIsNotSentInQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Quarantine = &laterQuarantine{}
		f.addServer("p", "model", "Prefill")
		f.addServer("d", "model", "Decode")
		c := f.serve(t.Context(), newCrashing("/chat/1"))
		assert.Empty(t, f.fleet.sent)
		if assert.Len(t, c.replies, 1) {
			assert.Equal(t, Reply{Status: 503, RetryAfter: time.Minute}, c.replies[0])
		}
	})
}
