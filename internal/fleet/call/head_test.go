package call

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
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

// TestHeadThatIsNotValidIsNoResponse guards against a head that breaks the syntax of HTTP/1.1
// and is taken for something else. The server keeps the connection open: the call must not wait
// for more.
func TestHeadThatIsNotValidIsNoResponse(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\nbody"
	for _, text := range []string{
		// The status line.
		"HTTP/1.1 000 OK\r\n" + end, "HTTP/1.1 099 OK\r\n" + end, "HTTP/1.1 600 OK\r\n" + end, "HTTP/1.1 20 OK\r\n" + end, "HTTP/1.1 2000 OK\r\n" + end,
		"HTTP/1.1 +20 OK\r\n" + end, "HTTP/1.1 2x0 OK\r\n" + end, "HTTP/1.1  200 OK\r\n" + end, "HTTP/1.1\t200 OK\r\n" + end, " HTTP/1.1 200 OK\r\n" + end,
		"HTTP/1.1 200\tOK\r\n" + end, "HTTP/1.1 200 O\x00K\r\n" + end, "HTTP/1.1 200 O\rK\r\n" + end, "HTTP/1.1 200 OK\n" + end, "\r\nHTTP/1.1 200 OK\r\n" + end, "\nHTTP/1.1 200 OK\r\n" + end,
		"HTTP/2.0 200 OK\r\n" + end, "HTTP/0.9 200 OK\r\n" + end, "HTTP/1.10 200 OK\r\n" + end, "http/1.1 200 OK\r\n" + end, "HTTP/1 200 OK\r\n" + end, "HTTPS/1.1 200 OK\r\n" + end,
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		// Lines that are no fields, and no lines.
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + end, "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-Odd: 1\r\n" + end, "HTTP/1.1 200 OK\r\nX-A: 1\n" + end, "HTTP/1.1 200 OK\r\nX-A: 1\r\n\n" + end,
		"HTTP/1.1 200 OK\r\nX-A: \x01\r\n" + end, "HTTP/1.1 200 OK\r\nX-A: a\rb\r\n" + end, "HTTP/1.1 200 OK\r\nX-A: a\x7f\r\n" + end, "HTTP/1.1 200 OK\r\nX-A\r\n" + end,
		// The length of the body.
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + end, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + end, "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + end, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nbody",
		"HTTP/1.1 204 No Content\r\n" + end, "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n" + end,
	} {
		address := startServer(t, func(_ int, conn *net.TCPConn) {
			defer conn.Close()
			r := bufio.NewReader(conn)
			if _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, r)
			}
		})
		x, body, err := sendTo(t, address)
		if !assert.Error(t, err, "%q", text) {
			t.Logf("status %d, body %q", x.Status(), body)
			continue
		}
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%q: it has arrived", text)
		assert.Equal(t, StageReading, StageOf(err), "%q: it may have run", text)
	}
}

// TestSoundHeadsAreRead checks that what is unusual and valid is read as it was.
func TestSoundHeadsAreRead(t *testing.T) {
	for _, c := range []struct {
		text   string
		status int
		body   string
	}{
		{"HTTP/1.1 200 \r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 200\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 299 \xc3\xa4\tb  c\r\nX-Id:r1\t \r\ncontent-length:\t4 \r\n\r\nbody", 299, "body"},
		{"HTTP/1.1 599 X\r\nX-ID: r1\r\nContent-Length: 0004\r\n\r\nbody", 599, "body"},
		{"HTTP/1.0 200 OK\r\nX-Id: r1\r\n\r\nbody", 200, "body"},
		{"HTTP/1.0 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200, "body"},
		{"HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: (a) \"b\t\\c\" \xff\r\nX-Empty:\r\nX-Id: r1\r\nX-Id2: r1\r\n\r\nbody", 200, "body"},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", 204, ""},
		{"HTTP/1.1 304 Not Modified\r\nX-Id: r1\r\nContent-Length: 1234\r\n\r\n", 304, ""},
		{"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("y", 7000) + "\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody", 200, "body"},
	} {
		for cut := range 2 {
			x, body, err := sendTo(t, respondTo(t, c.text[:cut*len(c.text)/2], c.text[cut*len(c.text)/2:]))
			if assert.NoError(t, err, "%q", c.text) {
				assert.Equal(t, []any{c.status, "r1", c.body}, []any{x.Status(), string(x.Header.Peek("X-Id")), string(body)}, "%q", c.text)
			}
		}
	}
}
