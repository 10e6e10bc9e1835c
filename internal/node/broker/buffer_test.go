package broker

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// endless is a body whose bytes never end. It is called with each read.
type endless func()

func (e endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	if e != nil {
		e()
	}
	return len(p), nil
}

// TestEndlessResponsesFillTheMemory plays responses that never end, in bodies and
// within an event, of many requests at once. They must end as possibly run, within the
// bound of all together, and sound requests be served after them.
func TestEndlessResponsesFillTheMemory(t *testing.T) {
	const bound, count = 40 << 20, 30
	for _, path := range []string{"/read/", "/write/", "/talk/"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.MaxBuffered = bound
			f.addServer("d", "model", "Decode")
			var most atomic.Int64
			observe := func() {
				for now := f.buffered.Load(); now > most.Load(); {
					most.Store(now)
				}
			}
			f.fleet.fallback = func(_ context.Context, s *sent) (*Response, error) {
				s.ran = true
				response := newResponse(200, "")
				response.Body = io.NopCloser(endless(observe))
				return response, nil
			}
			var group sync.WaitGroup
			status := make([]int, count)
			for i := range count {
				group.Go(func() {
					r := newRequest(path)
					r.ID = fmt.Sprint(i)
					if c := f.serve(t.Context(), r); assert.Len(t, c.replies, 1) {
						status[i] = c.replies[0].Status
					}
				})
			}
			group.Wait()
			for _, s := range f.fleet.sent {
				i, err := strconv.Atoi(s.call.Request.ID)
				require.NoError(t, err)
				assert.Contains(t, []int{502, 504}, status[i], "it may have run")
			}
			assert.LessOrEqual(t, most.Load(), int64(bound))
			assert.Greater(t, most.Load(), int64(1<<20), "the bodies are read")
			assert.Zero(t, f.buffered.Load(), "all is free again")
			f.fleet.fallback = succeeds
			f.addServer("e", "plain", "")
			assert.Equal(t, 200, f.serve(t.Context(), newRequest("/read/")).replies[0].Status)
		})
	}
}

// TestReadBody checks the sizes around those at which the buffer grows, and the largest.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		size, bound int
		want        error
	}{
		{0, 0, nil},
		{1, 0, nil},
		{firstBuffer, 0, nil},
		{firstBuffer + 1, 0, nil},
		{100_000, 0, nil},
		{maxResponseBytes, 0, nil},
		{maxResponseBytes + 1, 0, call.ErrTooLarge},
		{100_000, 128 << 10, nil},
		{100_000, 64 << 10, errBuffersFull},
	} {
		b := &Broker{MaxBuffered: int64(c.bound)}
		j := &job{broker: b}
		text, err := j.readBody(io.LimitReader(endless(nil), int64(c.size)))
		name := fmt.Sprint(c.size, " of ", c.bound)
		assert.ErrorIs(t, err, c.want, name)
		if c.want == nil {
			assert.Len(t, text, c.size, name)
		}
		assert.LessOrEqual(t, b.buffered.Load(), int64(max(c.bound, 2*c.size, firstBuffer)), name)
		j.freeBuffers()
		assert.Zero(t, b.buffered.Load(), name)
	}
}
