package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestEndlessBytes plays servers that send bytes without end, until the connection is
// closed, at each place of a response. A call reads a bounded number of them, long
// before its deadline.
func TestEndlessBytes(t *testing.T) {
	const bound = 8 << 20
	for name, c := range map[string]struct{ head, rest string }{
		"in a status line":                  {"", "HTTP/1.1 200 O"},
		"no response at all":                {"", "\x00\xff garbage "},
		"in a header line":                  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":                      {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"interim responses":                 {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a response to another request":     {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"one without a length":              {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
		"responses to other requests":       {"", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"},
		"in a body":                         {"HTTP/1.1 200 OK\r\nX-Id: me\r\n\r\n", "x"},
		"in the size of a chunk":            {"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"in the extension of a chunk":       {"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"in a trailer":                      {"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x"},
		"trailers":                          {"HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: y\r\n"},
		"a body of a length beyond measure": {"HTTP/1.1 200 OK\r\nX-Id: me\r\nContent-Length: 9223372036854775807\r\n\r\n", "x"},
	} {
		var sent atomic.Int64
		closed := make(chan struct{})
		address := startServer(t, func(_ int, conn *net.TCPConn) {
			defer close(closed)
			defer conn.Close()
			if _, err := readRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, c.head)
			text := strings.Repeat(c.rest, 64)
			for {
				n, err := io.WriteString(conn, text)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		var client Client
		_, err := get(ctx, &client, address, matchID("me"))
		assert.Error(t, err, name)
		assert.NoError(t, ctx.Err(), name)
		assert.Equal(t, StageReading, StageOf(err), "%s: it may have run", name)
		<-closed
		cancel()
		assert.Less(t, sent.Load(), int64(bound), name)
	}
}
