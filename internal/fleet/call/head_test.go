package call

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fasthttp"
)

// respondTo serves one connection: it reads a request, writes the parts with a pause between
// them, and closes.
func respondTo(t *testing.T, parts ...string) netip.AddrPort {
	t.Helper()
	return startServer(t, func(_ int, conn *net.TCPConn) {
		defer conn.Close()
		if _, err := readRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(3 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, part)
		}
	})
}

// heads are heads of responses, each followed by the body that it announces.
var heads = []struct{ head, body string }{
	{"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 1234\r\nX-Server: s\r\n\r\n", strings.Repeat("b", 1234)},
	{"HTTP/1.1 200 OK\r\nX-Server: s\r\nTransfer-Encoding: chunked\r\nX-Id: r1\r\n\r\n", "4\r\nbody\r\n0\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Server: s\r\n\r\n", "body"},
	{"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Server: s\r\nContent-Length: 0\r\n\r\n", ""},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\n", "body"},
	{"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", "body"},
	{"HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Server: s\r\n\r\n", ""},
}

func sendTo(t *testing.T, address netip.AddrPort) (*Exchange, []byte, error) {
	t.Helper()
	var request fasthttp.Request
	request.Header.SetHost("h")
	request.SetRequestURI("/")
	client := &Client{}
	x, err := client.Do(t.Context(), address, &request, Options{NewConnection: true, ReadTimeout: 5 * time.Second})
	if err != nil {
		return nil, nil, err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return x, body, err
}

// TestHeadThatStopsIsNoResponse guards against a response whose server closed within its head
// and that looks whole: at each byte, also with lines that end with a lone LF.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	for _, c := range heads {
		for _, head := range []string{c.head, strings.ReplaceAll(c.head, "\r\n", "\n")} {
			for end := range head {
				for _, parts := range [][]string{{head[:end]}, {head[:end/2], head[end/2 : end]}} {
					x, body, err := sendTo(t, respondTo(t, parts...))
					if !assert.Error(t, err, "%q", head[:end]) {
						t.Logf("status %d, body %q", x.Status(), body)
						return
					}
				}
			}
		}
	}
}

// TestHeadInPartsIsRead checks that a head is the same wherever its bytes are split.
func TestHeadInPartsIsRead(t *testing.T) {
	for _, c := range heads {
		for end := range c.head {
			x, body, err := sendTo(t, respondTo(t, c.head[:end], c.head[end:]+c.body))
			name := fmt.Sprintf("%q", c.head[:end])
			if !assert.NoError(t, err, name) {
				return
			}
			assert.Contains(t, []int{200, 204}, x.Status(), name)
			assert.Equal(t, "r1", string(x.Header.Peek("X-Id")), name)
			want := c.body
			if strings.Contains(c.head, "chunked") {
				want = "body"
			}
			assert.Equal(t, want, string(body), name)
		}
	}
}
