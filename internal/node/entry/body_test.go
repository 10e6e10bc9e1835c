package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/engine"
)

const (
	testMaxBody   = 32 << 10
	testMaxBodies = 100 << 10
)

// newBodyServer returns a server with small limits, whose engines serve a model.
func newBodyServer(t *testing.T) *Server {
	t.Helper()
	core, _ := newFragileCore(t)
	for k := range 3 {
		core.Estimates.ApplyReport(time.Now(), engine.Report{Engine: fmt.Sprint("e", k), Incarnation: 1, Sequence: 1, Models: []engine.Loaded{{Model: "m", Version: 1}}})
	}
	s := &Server{Core: core}
	s.Limits.MaxBody, s.Limits.MaxBodies, s.Limits.MaxHeader, s.Limits.HeaderTimeout = testMaxBody, testMaxBodies, 1<<12, 5*time.Second
	s.Prepare()
	return s
}

// connect returns a client's connection.
func (s *Server) connect(t *testing.T) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	require.NoError(t, near.SetDeadline(time.Now().Add(5*time.Second)))
	go func() { _ = s.http.ServeConn(far) }()
	return near
}

// prompt returns a model request of the size.
func prompt(size int) string {
	text := `{"model":"m","max_tokens":4,"stream":true,"messages":[{"role":"user","content":""}]}`
	return strings.Replace(text, `""`, `"`+strings.Repeat("x", size-len(text))+`"`, 1)
}

// head returns the header of a request with the length or, if that is negative, in chunks.
func head(length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 4000\r\n" + framing + "\r\n\r\n"
}

// send sends text in the background and returns the response.
func send(t *testing.T, conn net.Conn, text string) (*http.Response, string) {
	t.Helper()
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// upload begins a request with a body of the largest size and leaves out its last byte.
func (s *Server) upload(t *testing.T, chunked bool) net.Conn {
	t.Helper()
	conn := s.connect(t)
	text := head(testMaxBody) + strings.Repeat("x", testMaxBody-1)
	if chunked {
		text = head(-1) + fmt.Sprintf("%x\r\n", testMaxBody) + strings.Repeat("x", testMaxBody-1)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	return conn
}

// TestBodiesOfAllRequestsAreBounded guards against uploads that fill the memory together, with
// a length and in chunks, and against bytes that remain counted after the end of their requests.
func TestBodiesOfAllRequestsAreBounded(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := newBodyServer(t)
		var uploads []net.Conn
		// One after the other, since uploads that grow at the same time may all be rejected.
		for held := int64(testMaxBody); held <= testMaxBodies-testMaxBody; held += testMaxBody {
			uploads = append(uploads, s.upload(t, chunked))
			require.Eventually(t, func() bool { return s.bodies.Used() == held }, 3*time.Second, time.Millisecond, "chunked: %t", chunked)
		}
		response, _ := send(t, s.connect(t), head(testMaxBody)+prompt(testMaxBody))
		assert.Equal(t, 503, response.StatusCode, "chunked: %t", chunked)
		assert.Equal(t, "BodiesFull", response.Header.Get(ReasonHeader))
		assert.Equal(t, "NotRun", response.Header.Get(OutcomeHeader))
		assert.Equal(t, "1", response.Header.Get("Retry-After"))
		for range 6 {
			uploads = append(uploads, s.upload(t, chunked))
		}
		assert.Never(t, func() bool { return s.bodies.Used() > testMaxBodies }, 100*time.Millisecond, time.Millisecond, "uploads at the same time")
		for _, conn := range uploads {
			conn.Close()
		}
		assert.Eventually(t, func() bool { return s.bodies.Used() == 0 }, 3*time.Second, time.Millisecond, "all is free again")
		response, text := send(t, s.connect(t), head(testMaxBody)+prompt(testMaxBody))
		assert.Equal(t, 200, response.StatusCode, text)
		assert.Contains(t, text, "[DONE]")
		assert.Eventually(t, func() bool { return s.bodies.Used() == 0 }, 3*time.Second, time.Millisecond, "after a streamed response")
	}
}

// TestBodiesAreReadWhole guards against bodies that are served in part, and against a second
// request that is read from the rest of the first.
func TestBodiesAreReadWhole(t *testing.T) {
	chunks := func(text string) string {
		var all strings.Builder
		for len(text) > 0 {
			n := min(len(text), 5000)
			fmt.Fprintf(&all, "%x\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		return head(-1) + all.String() + "0\r\n\r\n"
	}
	for _, c := range []struct {
		name, text string
		status     int
		reason     string
	}{
		{"small", head(200) + prompt(200), 200, ""},
		{"largest", head(testMaxBody) + prompt(testMaxBody), 200, ""},
		{"largest in chunks", chunks(prompt(testMaxBody)), 200, ""},
		{"too large", head(testMaxBody+1) + prompt(testMaxBody+1), 413, "BodyTooLarge"},
		{"too large in chunks", chunks(prompt(testMaxBody + 1)), 413, "BodyTooLarge"},
		{"chunk without a size", head(-1) + "zz\r\n", 400, "Malformed"},
		{"no body", head(0), 400, "NotJson"},
	} {
		s := newBodyServer(t)
		conn := s.connect(t)
		response, text := send(t, conn, c.text)
		assert.Equal(t, c.status, response.StatusCode, c.name+": "+text)
		assert.Equal(t, c.reason, response.Header.Get(ReasonHeader), c.name)
		assert.Eventually(t, func() bool { return s.bodies.Used() == 0 }, 3*time.Second, time.Millisecond, c.name)
		if c.status == 200 {
			again, _ := send(t, conn, c.text)
			assert.Equal(t, 200, again.StatusCode, "%s: the next request of the connection", c.name)
		}
	}
}
