package broker

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestStreamsForRandomBehavior checks for random behavior of the backend
// servers that clients get complete streams in order and at most one header or
// response, and that a request that must not run twice does not.
func TestStreamsForRandomBehavior(t *testing.T) {
	behaviors := []behavior{
		fails, rejects, replaced, unverified, unreachable, losesResponse, hangs,
		events(1, 3, true), events(1, 2, false), events(1, 0, true), resumes(3, true), resumes(1, false), resumes(0, false),
		delays(50*time.Millisecond, resumes(3, true)), delays(300*time.Millisecond, fails),
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 8, 8).Draw(rt, "plan")
		path := rapid.SampledFrom([]string{"/chat/1", "/talk/1"}).Draw(rt, "path")
		tokens := rapid.SampledFrom([]int{100, 9000}).Draw(rt, "tokens")
		clientTimeout := rapid.IntRange(0, 6000).Draw(rt, "clientTimeout")
		// Only the first two or three behaviors are used. Rotating the plan
		// starts with each of them.
		for range plan {
			serveStream(t, behaviors, plan, path, tokens, clientTimeout)
			plan = append(plan[1:], plan[0])
		}
	})
}

func serveStream(t *testing.T, behaviors []behavior, plan []int, path string, tokens, clientTimeout int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.addEngines()
		prefills := f.fleet.fallback
		next := 0
		f.fleet.fallback = func(ctx context.Context, s *sent) (*Response, error) {
			if s.prefill {
				return prefills(ctx, s)
			}
			next++
			return behaviors[plan[(next-1)%len(plan)]](ctx, s)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(clientTimeout)*time.Millisecond)
		defer cancel()
		got := f.serve(ctx, newPromptRequest(path, tokens, 10))
		require.NoError(t, checkStream(f, path, got))
	})
}

// resumes responds with count events after the event of the call, and then ends
// the stream or, if not whole, breaks it.
func resumes(count int, whole bool) behavior {
	return func(ctx context.Context, s *sent) (*Response, error) {
		from := 1
		if s.call.After != "" {
			if _, err := fmt.Sscan(s.call.After, &from); err != nil {
				return nil, err
			}
			from++
		}
		return events(from, from+count-1, whole)(ctx, s)
	}
}

func checkStream(f *fixture, path string, got *client) error {
	var inOrder strings.Builder
	for i := 1; inOrder.Len() < got.events.Len(); i++ {
		fmt.Fprintf(&inOrder, "id: %d\ndata: x\n\n", i)
	}
	switch {
	case got.events.String() != inOrder.String():
		return fmt.Errorf("events %q", got.events.String())
	case len(got.replies) > 1:
		return fmt.Errorf("%d responses", len(got.replies))
	case path == "/chat/1" && f.fleet.runs() > 1:
		return fmt.Errorf("%d runs", f.fleet.runs())
	case got.ended && got.events.Len() == 0:
		return errors.New("stream ended without events")
	case got.status != 0 && got.status != 200:
		return fmt.Errorf("stream with status %d", got.status)
	case len(got.replies) == 1 && got.replies[0].Status == 503 && f.fleet.runs() > 0:
		return errors.New("refused, but ran")
	}
	return nil
}
