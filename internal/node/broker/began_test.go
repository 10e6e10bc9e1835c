package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// countedRequests is a Counter of a test.
type countedRequests struct{ list []time.Time }

func (c *countedRequests) Began(_ string, at time.Time) { c.list = append(c.list, at) }

// TestBeganCountsEachAttemptThatRuns checks that usage counts the attempts that begin to run,
// failed ones included, and neither rejections nor attempts without a response.
func TestBeganCountsEachAttemptThatRuns(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		first, second behavior
		want          int
	}{
		{"success", "/write/1", succeeds, nil, 1},
		{"failed", "/write/1", fails, nil, 1},
		{"failed, idempotent", "/read/1", fails, succeeds, 2},
		{"truncated, idempotent", "/read/1", truncates, succeeds, 2},
		{"lost, idempotent", "/read/1", losesResponse, succeeds, 1},
		{"refused", "/write/1", rejects, succeeds, 1},
		{"another server has the address", "/write/1", replaced, succeeds, 1},
		{"without a seal, idempotent", "/read/1", unverified, succeeds, 1},
		{"unreachable", "/write/1", unreachable, succeeds, 1},
		{"stream", "/chat/1", events(1, 3, true), nil, 1},
		{"stream without an event", "/chat/1", events(1, 0, true), nil, 0},
		{"stream, failed", "/chat/1", fails, nil, 1},
		{"stream broken and resumed", "/talk/1", events(1, 2, false), events(3, 3, true), 2},
		{"stream lost before its first event", "/talk/1", losesResponse, events(1, 3, true), 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.addEngines()
			f.leave("p1")
			counted := &countedRequests{}
			f.Counter = counted
			behaviors := []behavior{c.first, c.second}
			f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
				does := behaviors[0]
				behaviors = behaviors[1:]
				return does(ctx, s)
			}
			f.serve(t.Context(), newRequest(c.path))
			assert.Len(t, counted.list, c.want, c.name)
		})
	}
}

// TestBeganAtTheFirstEvent checks that a stream counts in the window of its first event, not in
// that of its header or end.
func TestBeganAtTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		f.leave("p1")
		counted := &countedRequests{}
		f.Counter = counted
		f.fleet.fallback = paced(3, 100*time.Millisecond)
		start := time.Now()
		f.serve(t.Context(), newRequest("/chat/1"))
		assert.Equal(t, []time.Time{start.Add(100 * time.Millisecond)}, counted.list)
	})
}
