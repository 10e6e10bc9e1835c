package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/fleet/call"

	"ebonyscale.example/ebonyscale/internal/base/budget"
)

type handler func(ctx context.Context, x *Exchange)

func (h handler) Serve(ctx context.Context, x *Exchange) { h(ctx, x) }

// echo responds with the request's method, target and body length.
func echo(_ context.Context, x *Exchange) {
	_ = x.Respond(200, nil, []byte(fmt.Sprintf("%s %s %d", x.Header.Method(), x.Header.RequestURI(), len(x.Body))))
}

func limits() Limits {
	return Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 16, HeaderTimeout: 150 * time.Millisecond, IdleTimeout: time.Minute}
}

func start(t *testing.T, s *Server) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	if s.Limits == nil {
		s.Limits = limits
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		s.Close()
	})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func TestRequests(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"get", get, "200 GET /a 0"},
		{"query", "GET /a?b=c%2Fd HTTP/1.1\r\nHost: h\r\n\r\n", "200 GET /a?b=c%2Fd 0"},
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "200 POST /a 3"},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "200 POST /a 3"},
		{"odd method", "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n", "200 BREW /a 0"},
		{"long header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 6<<10) + "\r\n\r\n", "200 GET /a 0"},
		{"header too long", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", "431 "},
		{"body too long", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65537\r\n\r\n", "413 "},
		{"chunks too long", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n0\r\n\r\n", "413 "},
		{"slow header", "GET /a HTTP/1.1\r\nHo", "408 "},
		{"two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400 "},
		{"the same length twice", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400 "},
		{"length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 "},
		{"unknown encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "400 "},
		{"two encodings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400 "},
		{"space before the colon", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", "400 "},
		{"folded line", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "400 "},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", "400 "},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400 "},
		{"not a path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "400 "},
		{"HTTP/1.0", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "505 "},
		{"not HTTP", "hello\r\n\r\n", "400 "},
		{"negative length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n", "400 "},
		{"length with a sign", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", "400 "},
		{"invalid chunk size", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "400 "},
	} {
		conn := start(t, &Server{Handler: handler(echo)})
		go func() { _, _ = io.WriteString(conn, c.in) }()
		got, closed := readResponse(t, bufio.NewReader(conn))
		assert.Equal(t, c.want, got, c.name)
		if !strings.HasPrefix(c.want, "200") {
			assert.True(t, closed, "%s: the connection must be closed", c.name)
		}
	}
}

// readResponse reads one response and returns its status and body. It reports
// whether the connection is closed after it.
func readResponse(t *testing.T, r *bufio.Reader) (string, bool) {
	t.Helper()
	line, err := r.ReadString('\n')
	if err != nil {
		return err.Error(), true
	}
	var length int
	closes := false
	for {
		field, err := r.ReadString('\n')
		require.NoError(t, err)
		if field = strings.TrimSpace(field); field == "" {
			break
		}
		_, _ = fmt.Sscanf(field, "Content-Length: %d", &length)
		closes = closes || field == "Connection: close"
	}
	body := make([]byte, length)
	_, err = io.ReadFull(r, body)
	require.NoError(t, err)
	return strings.Fields(line)[1] + " " + string(body), closes
}

func TestPipelinedRequests(t *testing.T) {
	conn := start(t, &Server{Handler: handler(echo)})
	_, err := io.WriteString(conn, get+"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+get)
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	for _, want := range []string{"200 GET /a 0", "200 POST /b 3", "200 GET /a 0"} {
		got, _ := readResponse(t, r)
		assert.Equal(t, want, got)
	}
}

func TestByteReadDuringRequestStartsNextRequest(t *testing.T) {
	release := make(chan struct{})
	conn := start(t, &Server{Handler: handler(func(ctx context.Context, x *Exchange) {
		<-release
		echo(ctx, x)
	})})
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	_, err = io.WriteString(conn, get)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	close(release)
	r := bufio.NewReader(conn)
	for range 2 {
		got, _ := readResponse(t, r)
		assert.Equal(t, "200 GET /a 0", got)
	}
}

func TestClientDisconnectCancelsContext(t *testing.T) {
	gone := make(chan error, 1)
	conn := start(t, &Server{Handler: handler(func(ctx context.Context, _ *Exchange) {
		<-ctx.Done()
		gone <- context.Cause(ctx)
	})})
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	select {
	case cause := <-gone:
		assert.ErrorIs(t, cause, ErrClientGone)
	case <-time.After(2 * time.Second):
		t.Fatal("the context was not cancelled")
	}
}

func TestEvents(t *testing.T) {
	conn := start(t, &Server{Handler: handler(func(_ context.Context, x *Exchange) {
		_ = x.Begin(200, []call.Field{{Name: "X-Y", Value: "z"}})
		_ = x.Event([]byte("one\n\n"))
		_ = x.Event([]byte("two\n\n"))
		_ = x.End()
	})})
	_, err := io.WriteString(conn, get+get)
	require.NoError(t, err)
	var text strings.Builder
	for strings.Count(text.String(), "\r\n0\r\n\r\n") < 2 {
		_, err := io.CopyN(&text, conn, 1)
		require.NoError(t, err)
	}
	assert.Equal(t, 2, strings.Count(text.String(), "\r\n\r\n5\r\none\n\n\r\n5\r\ntwo\n\n\r\n0\r\n\r\n"))
}

func TestIncompleteResponseClosesConnection(t *testing.T) {
	for name, h := range map[string]handler{
		"in events": func(_ context.Context, x *Exchange) { _ = x.Begin(200, nil); _ = x.Event([]byte("one\n\n")) },
		"panic":     func(_ context.Context, x *Exchange) { _ = x.Begin(200, nil); panic("no") },
		"none":      func(context.Context, *Exchange) {},
		"an error after events": func(_ context.Context, x *Exchange) {
			_ = x.Begin(200, nil)
			_ = x.Event([]byte("one\n\n"))
			assert.Error(t, x.Respond(502, nil, []byte("0\r\n\r\n")))
		},
	} {
		conn := start(t, &Server{Handler: h})
		_, err := io.WriteString(conn, get)
		require.NoError(t, err)
		text, err := io.ReadAll(conn)
		require.NoError(t, err, "%s: the connection is closed", name)
		assert.NotContains(t, string(text), "\r\n0\r\n", name)
	}
}

func TestDrain(t *testing.T) {
	s := &Server{Handler: handler(echo)}
	conn := start(t, s)
	r := bufio.NewReader(conn)
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	_, closed := readResponse(t, r)
	assert.False(t, closed)
	s.Drain()
	_, err = io.WriteString(conn, get)
	require.NoError(t, err)
	got, closed := readResponse(t, r)
	assert.Equal(t, "200 GET /a 0", got, "a request on an open connection is still served")
	assert.True(t, closed)
}

// TestCloseIdleKeepsNewConnections checks that a connection whose first request may be on
// its way is not closed before that has a response, and that an unused one is.
func TestCloseIdleKeepsNewConnections(t *testing.T) {
	s := &Server{Handler: handler(echo)}
	conn := start(t, s)
	connected := func() bool { return s.Connections() == 1 }
	require.Eventually(t, connected, time.Second, time.Millisecond)
	s.CloseIdle()
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
	closed := func() bool { s.CloseIdle(); return s.Connections() == 0 }
	assert.Eventually(t, closed, newFor/2, time.Millisecond, "it has had its response")

	unused := &Server{Handler: handler(echo)}
	start(t, unused)
	s = unused
	require.Eventually(t, connected, time.Second, time.Millisecond)
	assert.Eventually(t, closed, 5*newFor, time.Millisecond)
}

func TestCloseIdleKeepsActiveRequests(t *testing.T) {
	release := make(chan struct{})
	s := &Server{Handler: handler(func(ctx context.Context, x *Exchange) {
		<-release
		echo(ctx, x)
	})}
	conn := start(t, s)
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return s.Active() == 1 }, time.Second, time.Millisecond)
	s.CloseIdle()
	close(release)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
	assert.Eventually(t, func() bool { return s.Active() == 0 }, time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { s.CloseIdle(); return s.Connections() == 0 }, time.Second, time.Millisecond)
}

func TestRaisedIdleTimeoutAppliesAtOnce(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(50 * time.Millisecond))
	s := &Server{Handler: handler(echo), Limits: func() Limits {
		l := limits()
		l.IdleTimeout = time.Duration(idle.Load())
		return l
	}}
	conn := start(t, s)
	idle.Store(int64(time.Minute))
	time.Sleep(idleSlack + 200*time.Millisecond)
	_, err := io.WriteString(conn, get)
	require.NoError(t, err)
	got, _ := readResponse(t, bufio.NewReader(conn))
	assert.Equal(t, "200 GET /a 0", got)
}

func TestConnectionAndBodyLimits(t *testing.T) {
	s := &Server{Handler: handler(echo), MaxConnections: 1, Buffered: budget.Budget{Limit: 10}}
	conn := start(t, s)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789")
	require.NoError(t, err)
	r := bufio.NewReader(conn)
	got, _ := readResponse(t, r)
	assert.Equal(t, "200 POST /a 10", got)
	second, err := net.Dial("tcp4", conn.RemoteAddr().String())
	require.NoError(t, err)
	defer second.Close()
	_, err = io.ReadAll(second)
	assert.NoError(t, err, "the connection is rejected")
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890")
	require.NoError(t, err)
	got, _ = readResponse(t, r)
	assert.Equal(t, "503 ", got)
	assert.Zero(t, s.Buffered.Used())
}

// TestBodiesInChunksAreBoundedWhileTheyAreRead guards against bodies without a length that use
// more memory than all bodies may have before they are complete.
func TestBodiesInChunksAreBoundedWhileTheyAreRead(t *testing.T) {
	const connections, half = 8, 12 << 10
	s := &Server{Handler: handler(echo), Buffered: budget.Budget{Limit: 3 * 16 << 10}}
	conns := []net.Conn{start(t, s)}
	for range connections - 1 {
		conn, err := net.Dial("tcp4", conns[0].RemoteAddr().String())
		require.NoError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	refused := 0
	for _, conn := range conns {
		_, err := fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", half, strings.Repeat("x", half))
		require.NoError(t, err)
	}
	time.Sleep(100 * time.Millisecond)
	assert.LessOrEqual(t, s.Buffered.Used(), s.Buffered.Limit)
	assert.Positive(t, s.Buffered.Used(), "what has been read is reserved")
	for _, conn := range conns {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		got, _ := readResponse(t, bufio.NewReader(conn))
		if got == "503 " {
			refused++
			continue
		}
		assert.Equal(t, fmt.Sprint("200 POST /a ", half), got)
	}
	assert.Positive(t, refused)
	assert.Less(t, refused, connections)
	assert.Eventually(t, func() bool { return s.Buffered.Used() == 0 }, time.Second, time.Millisecond)
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte(get))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		s := &Server{Handler: handler(echo), Limits: limits}
		c, err := s.add(far)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() { c.run(); close(done) }()
		go func() { _, _ = near.Write(data); near.Close() }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection has not ended")
		}
	})
}
