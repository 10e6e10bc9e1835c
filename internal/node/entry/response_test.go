package entry

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

// bytesOf is a body of so many bytes.
type bytesOf int

// Read implements io.Reader.
func (b *bytesOf) Read(p []byte) (int, error) {
	if *b <= 0 {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat("x", min(len(p), int(*b), 32<<10)))
	*b -= bytesOf(n)
	return n, nil
}

// responds returns a step with a response of so many bytes, whatever the call.
func responds(status, size int) func() (*engine.Response, error) {
	return func() (*engine.Response, error) {
		body := bytesOf(size)
		return &engine.Response{Status: status, Body: io.NopCloser(&body)}, nil
	}
}

const bufferedRequest = `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`

// TestServePartOfALongResponseIsNoAnswer guards against a response over the limit of whose
// body the client gets a part as complete.
func TestServePartOfALongResponseIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		request Request
		status  int
		size    int
		want    int
	}{
		{Request{Method: "POST", Path: "/s/1"}, 200, maxPlainResponse, 200},
		{Request{Method: "POST", Path: "/s/1"}, 200, maxPlainResponse + 1, 502},
		{Request{Method: "POST", Path: "/s/1"}, 404, maxPlainResponse + 1, 502},
		{Request{Method: "GET", Path: "/s/1"}, 200, maxPlainResponse + 1, 502},
		{Request{Method: "POST", Path: "/v1/chat/completions", Body: []byte(bufferedRequest)}, 400, maxRejection + 1, 400},
	} {
		synctest.Test(t, func(t *testing.T) {
			core, _ := newFragileCore(t)
			core.Sender = &scripted{steps: []func() (*engine.Response, error){responds(c.status, c.size)}}
			core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: "e0", Incarnation: 1, Sequence: 1, Models: []engine.Loaded{{Model: "m", Version: 1}}})
			c.request.Deadline = time.Now().Add(5 * time.Second)
			reply := core.Serve(t.Context(), c.request)
			body, err := io.ReadAll(reply.Body)
			assert.NoError(t, err)
			assert.Equal(t, c.want, reply.Status, "%s %s", c.request.Method, c.request.Path)
			if c.size <= maxPlainResponse && c.want == 200 {
				assert.Len(t, body, c.size)
				return
			}
			assert.Contains(t, string(body), `"error"`, "the reply is this process's own")
			if c.want == 502 {
				assert.Equal(t, retry.Unknown, reply.Outcome, "it may have run")
			}
		})
	}
}

// endlessBody has bytes without end, and counts what was read and is not closed yet.
type endlessBody struct {
	kept *atomic.Int64
	read int64
}

// Read implements io.Reader. Others read meanwhile.
func (b *endlessBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	b.read += int64(len(p))
	b.kept.Add(int64(len(p)))
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.kept.Add(-b.read)
	return nil
}

// TestServeEndlessResponsesAreBoundedTogether guards against responses without end that each stay
// within their limit and together take more memory than there is.
func TestServeEndlessResponsesAreBoundedTogether(t *testing.T) {
	const bound, count = 64 << 20, 30
	for _, r := range []Request{{Method: "POST", Path: "/s/1"}, {Method: "GET", Path: "/s/1"}, {Method: "POST", Path: "/v1/chat/completions", Body: []byte(bufferedRequest)}} {
		synctest.Test(t, func(t *testing.T) {
			core, sound := newFragileCore(t)
			core.Responses.Limit = bound
			var kept, most atomic.Int64
			core.Sender = responding(func() (*engine.Response, error) {
				if now := kept.Load(); now > most.Load() {
					most.Store(now)
				}
				return &engine.Response{Status: 200, Body: &endlessBody{kept: &kept}}, nil
			})
			core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: "e0", Incarnation: 1, Sequence: 1, Models: []engine.Loaded{{Model: "m", Version: 1}}})
			r.Deadline = time.Now().Add(time.Minute)
			var clients sync.WaitGroup
			ended := make(chan struct{})
			for range count {
				clients.Go(func() {
					reply := core.Serve(t.Context(), r)
					assert.Equal(t, 502, reply.Status, r.Path)
					assert.Equal(t, retry.Unknown, reply.Outcome, "it may have run")
					_ = reply.Close()
				})
			}
			go func() { clients.Wait(); close(ended) }()
			for open := true; open; {
				select {
				case <-ended:
					open = false
				case <-time.After(time.Millisecond):
					most.Store(max(most.Load(), kept.Load()))
				}
			}
			assert.LessOrEqual(t, most.Load(), int64(bound), "%s: bytes kept at a time", r.Path)
			assert.Zero(t, core.Responses.Used(), "all is free again")
			core.Sender = sound
			reply := core.Serve(t.Context(), Request{Method: "GET", Path: "/s/1", Deadline: time.Now().Add(time.Second)})
			assert.Equal(t, 200, reply.Status, "a sound response")
			_ = reply.Close()
		})
	}
}

// responding implements Sender with the same step for each call, also for concurrent ones.
type responding func() (*engine.Response, error)

func (s responding) Send(context.Context, spec.BackendServer, engine.Call) (*engine.Response, error) {
	return s()
}

func (s responding) Connect(context.Context, spec.BackendServer) error { return nil }
