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

// TestStreamsHoldWhateverServersDo gives callers whole streams in order, at most
// one header or answer, and no second run where that is not allowed.
func TestStreamsHoldWhateverServersDo(t *testing.T) {
	behaviors := []behavior{
		fails, refuses, replaced, unsealed, unreachable, loses, hangs,
		events(1, 3, true), events(1, 2, false), events(1, 0, true), resumes(3, true), resumes(1, false), resumes(0, false),
		takes(50*time.Millisecond, resumes(3, true)), takes(300*time.Millisecond, fails),
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 8, 8).Draw(rt, "plan")
		path := rapid.SampledFrom([]string{"/chat/1", "/talk/1"}).Draw(rt, "path")
		tokens := rapid.SampledFrom([]int{100, 9000}).Draw(rt, "tokens")
		gone := rapid.IntRange(0, 6000).Draw(rt, "gone")
		// What matters are the first two or three; the others begin with another.
		for range plan {
			serveStream(t, behaviors, plan, path, tokens, gone)
			plan = append(plan[1:], plan[0])
		}
	})
}

func serveStream(t *testing.T, behaviors []behavior, plan []int, path string, tokens, gone int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engines()
		reads := b.fleet.usual
		next := 0
		b.fleet.usual = func(ctx context.Context, s *sent) (*Answer, error) {
			if s.prefill {
				return reads(ctx, s)
			}
			next++
			return behaviors[plan[(next-1)%len(plan)]](ctx, s)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(gone)*time.Millisecond)
		defer cancel()
		got := b.serve(ctx, prompt(path, tokens, 10))
		require.NoError(t, judgeStream(b, path, got))
	})
}

// resumes goes on behind the event that the call names, and ends or breaks off
// after count more.
func resumes(count int, whole bool) behavior {
	return func(ctx context.Context, s *sent) (*Answer, error) {
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

func judgeStream(b *bed, path string, got *caller) error {
	var inOrder strings.Builder
	for i := 1; inOrder.Len() < got.events.Len(); i++ {
		fmt.Fprintf(&inOrder, "id: %d\ndata: x\n\n", i)
	}
	switch {
	case got.events.String() != inOrder.String():
		return fmt.Errorf("events %q", got.events.String())
	case len(got.answered) > 1:
		return fmt.Errorf("%d answers", len(got.answered))
	case path == "/chat/1" && b.fleet.runs() > 1:
		return fmt.Errorf("%d runs", b.fleet.runs())
	case got.ended && got.events.Len() == 0:
		return errors.New("an end without a stream")
	case got.status != 0 && got.status != 200:
		return fmt.Errorf("a stream with status %d", got.status)
	case len(got.answered) == 1 && got.answered[0].Status == 503 && b.fleet.runs() > 0:
		return errors.New("refused, but ran")
	}
	return nil
}
