package broker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/node/httpd"
	"ebonyscale.example/ebonyscale/internal/node/spool"
)

// streamHandler serves every request of a connection as a stream.
type streamHandler struct{ *fixture }

// connOutput is the output of a client's connection.
type connOutput struct{ *httpd.Exchange }

func (o connOutput) Respond(r Reply) error { return o.Exchange.Respond(r.Status, r.Fields, r.Body) }

func (h streamHandler) Serve(ctx context.Context, x *httpd.Exchange) {
	h.Broker.Serve(ctx, patientRequest("/talk/x"), connOutput{x})
}

// TestSlowConnectionGetsEverything guards against lost or repeated bytes where a queue begins and
// ends, with a client's connection whose buffers fill up several times.
func TestSlowConnectionGetsEverything(t *testing.T) {
	const count, size = 12_000, 1000
	f, _ := newSlowFixture(t, count, size, 0)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &httpd.Server{Handler: streamHandler{f}, Limits: func() httpd.Limits {
		return httpd.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	}}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer listener.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "GET /talk/x HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	// The client reads on each time that its queue is half full. After a fixed pause, a busy
	// machine may not have sent enough to fill the buffers of the connection.
	var got strings.Builder
	for range 4 {
		require.Eventually(t, func() bool { return f.buffered.Load() >= spool.StreamBytes/2 }, 10*time.Second, time.Millisecond, "the client is not behind")
		_, err = io.CopyN(&got, response.Body, 2<<20)
		require.NoError(t, err)
	}
	_, err = io.Copy(&got, response.Body)
	assert.NoError(t, err, "the response is complete")
	assert.True(t, wantEvents(count, size) == got.String(), "%d bytes", got.Len())
	assert.Positive(t, f.Meters.Value("SlowStreams"))
	assert.Eventually(t, func() bool { return f.buffered.Load() == 0 }, time.Second, time.Millisecond)
}
