package call

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestResponseIsReadThoughTheDeadlineIsNoticedLate guards against a response that is dropped as
// the process had no processor when the deadline passed, and against exchanges without end: one
// with a silent server, or one that was cancelled, ends in time.
func TestResponseIsReadThoughTheDeadlineIsNoticedLate(t *testing.T) {
	const timeout, pause = 50 * time.Millisecond, 150 * time.Millisecond
	answers := startServer(t, func(_ int, conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	silent := startServer(t, func(_ int, conn *net.TCPConn) { _, _ = readRequest(bufio.NewReader(conn)) })
	paused := func() bool { time.Sleep(pause); return true }
	request := &fasthttp.Request{}
	request.SetRequestURI("/")
	request.Header.SetHost("server")

	client := &Client{}
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		x, err := client.Do(ctx, answers, request, Options{TakeLate: true, Wanted: paused})
		require.NoError(t, err)
		body, err := x.Body(10)
		assert.NoError(t, err)
		assert.Equal(t, "ok", string(body))
		x.Close()
		cancel()
	}
	assert.EqualValues(t, 20, client.Dials(), "an exchange whose deadline has passed leaves no connection")

	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := client.Do(ctx, silent, request, Options{TakeLate: true})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Less(t, time.Since(began), timeout+maxTakeLate)

	began = time.Now()
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(timeout, cancel)
	_, err = client.Do(ctx, silent, request, Options{TakeLate: true})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Less(t, time.Since(began), maxTakeLate)
}
