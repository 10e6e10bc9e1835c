package entry

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

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
