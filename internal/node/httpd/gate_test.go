package httpd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// TestTryEventKeepsWhatIsLeft guards against lost, repeated or reordered bytes of a response
// if the client pauses and a write ends in the middle of an event.
func TestTryEventKeepsWhatIsLeft(t *testing.T) {
	const size, count = 64 << 10, 200
	part := func(i int) []byte { return bytes.Repeat([]byte{byte('a' + i%26)}, size+i) }
	behind := make(chan struct{})
	late := 0
	conn := start(t, &Server{Handler: handler(func(_ context.Context, x *Exchange) {
		_ = x.Begin(200, []call.Field{{Name: "X-A", Value: "b"}})
		for i := range count {
			written, err := x.TryEvent(part(i), 20*time.Millisecond)
			assert.NoError(t, err)
			if written {
				continue
			}
			if late++; late == 1 {
				close(behind)
			}
			assert.NoError(t, x.Flush())
		}
		assert.NoError(t, x.End())
	})})
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	<-behind
	time.Sleep(50 * time.Millisecond)
	body := readChunks(t, conn)
	var want bytes.Buffer
	for i := range count {
		want.Write(part(i))
	}
	assert.True(t, bytes.Equal(want.Bytes(), body), "%d of %d bytes", len(body), want.Len())
}

// openResponse reads the header of a response.
func openResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// readChunks reads a chunked response and returns its body.
func readChunks(t *testing.T, conn net.Conn) []byte {
	t.Helper()
	body, err := io.ReadAll(openResponse(t, conn).Body)
	require.NoError(t, err)
	return body
}

// TestAbortEndsBlockedWrite guards against a goroutine that waits for a client that never
// reads after its request has ended, and against a response that looks complete then.
func TestAbortEndsBlockedWrite(t *testing.T) {
	failed := make(chan error, 2)
	conn := start(t, &Server{Handler: handler(func(_ context.Context, x *Exchange) {
		_ = x.Begin(200, nil)
		part := []byte(strings.Repeat("x", 1<<20))
		for written := true; written; {
			written, _ = x.TryEvent(part, 20*time.Millisecond)
		}
		time.AfterFunc(50*time.Millisecond, x.Abort)
		failed <- x.Flush()
		failed <- x.Event(part)
	})})
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	start := time.Now()
	assert.Error(t, <-failed)
	assert.Error(t, <-failed, "further writes fail")
	assert.Less(t, time.Since(start), 3*time.Second)
	_, err = io.ReadAll(openResponse(t, conn).Body)
	assert.Error(t, err, "the response is truncated")
}

// TestTryEventAllocatesNothing guards against a cost of slow clients for all others.
func TestTryEventAllocatesNothing(t *testing.T) {
	allocated := make(chan float64, 2)
	conn := start(t, &Server{Handler: handler(func(_ context.Context, x *Exchange) {
		_ = x.Begin(200, nil)
		part := []byte("id: 1\ndata: x\n\n")
		allocated <- testing.AllocsPerRun(200, func() { _ = x.Event(part) })
		allocated <- testing.AllocsPerRun(200, func() { _, _ = x.TryEvent(part, time.Second) })
		_ = x.End()
	})})
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	readChunks(t, conn)
	assert.LessOrEqual(t, -<-allocated+<-allocated, 0.0, "not more than Event")
}
