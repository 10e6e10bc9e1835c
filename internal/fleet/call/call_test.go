package call

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startServer starts a TCP server that calls serve with each connection and its
// number.
func startServer(t *testing.T, serve func(n int, conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(n, conn.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*fasthttp.Request, error) {
	request := &fasthttp.Request{}
	return request, request.Read(r)
}

// script responds to each request of a connection with the next text. A text
// that ends in "reset" then resets the connection, one in "close" closes it.
func script(texts ...string) func(int, *net.TCPConn) {
	return func(_ int, conn *net.TCPConn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, text := range texts {
			if _, err := readRequest(r); err != nil {
				return
			}
			body, reset := strings.CutSuffix(text, "reset")
			body, closing := strings.CutSuffix(body, "close")
			_, _ = io.WriteString(conn, body)
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetLinger(0)
				return
			}
			if closing {
				return
			}
		}
		_, _ = io.Copy(io.Discard, r)
	}
}

// get sends a GET request and returns the status and body of the response.
func get(ctx context.Context, c *Client, address netip.AddrPort, options Options) (string, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("/x")
	request.Header.SetHost("app.example")
	x, err := c.Do(ctx, address, request, options)
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.Body(1 << 20)
	return fmt.Sprintf("%d %s", x.Status(), body), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestResponses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"with a length", ok, "200 ok"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "200 ok"},
		{"chunked with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", "200 ok"},
		{"ended by closing the connection", "HTTP/1.1 200 OK\r\n\r\nokclose", "200 ok"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, "200 ok"},
		{"without a body", "HTTP/1.1 204 No Content\r\n\r\n", "204 "},
		{"ended by a reset of the connection", "HTTP/1.1 200 OK\r\n\r\nokreset", ""},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nokclose", ""},
		{"chunked and truncated", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nclose", ""},
		{"malformed chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", ""},
		{"trailer without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\nclose", ""},
		{"no response", "close", ""},
		{"not HTTP", "what do you want?\r\n\r\nclose", ""},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Leclose", ""},
	} {
		address := startServer(t, script(c.text))
		var client Client
		got, err := get(t.Context(), &client, address, Options{})
		if c.want == "" {
			assert.Error(t, err, c.name)
			assert.Equal(t, StageReading, StageOf(err), c.name)
			continue
		}
		assert.NoError(t, err, c.name)
		assert.Equal(t, c.want, got, c.name)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	for _, c := range []struct {
		name, first string
		dials       int64
	}{
		{"with a length", ok, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"server announces closing", strings.Replace(ok, "\r\n", "\r\nConnection: close\r\n", 1), 2},
		{"server closed the idle connection", ok + "close", 2},
		{"no idle time left", strings.Replace(ok, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1), 2},
		{"unrequested response", ok + ok, 2},
	} {
		address := startServer(t, script(c.first, ok))
		var client Client
		_, err := get(t.Context(), &client, address, Options{})
		require.NoError(t, err, c.name)
		time.Sleep(20 * time.Millisecond)
		got, err := get(t.Context(), &client, address, Options{})
		assert.NoError(t, err, c.name)
		assert.Equal(t, "200 ok", got, c.name)
		assert.Equal(t, c.dials, client.Dials(), c.name)
	}
}

// NewConnection never reuses an idle connection, but replaces one at the limit
// of open connections.
func TestNewConnection(t *testing.T) {
	address := startServer(t, script(ok, ok))
	var client Client
	for range 3 {
		_, err := get(t.Context(), &client, address, Options{NewConnection: true, MaxOpen: 2})
		assert.NoError(t, err)
	}
	assert.Equal(t, int64(3), client.Dials(), "an idle connection is closed for the new one")
}

// At most MaxIdle connections stay open, however many were dialled.
func TestMaxIdle(t *testing.T) {
	address := startServer(t, script(ok, ok))
	client := Client{MaxIdle: 2}
	for range 6 {
		_, err := get(t.Context(), &client, address, Options{NewConnection: true})
		require.NoError(t, err)
	}
	assert.Len(t, client.pool.idle[address], 2)
	assert.Equal(t, 2, client.pool.open[address])
}

func TestConnect(t *testing.T) {
	address := startServer(t, script(ok, ok))
	var client Client
	require.NoError(t, client.Connect(t.Context(), address, 1))
	got, err := get(t.Context(), &client, address, Options{MaxOpen: 1})
	assert.NoError(t, err)
	assert.Equal(t, "200 ok", got)
	assert.Equal(t, int64(1), client.Dials(), "the pooled connection is used")

	err = client.Connect(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), 1)
	assert.Equal(t, StageDialing, StageOf(err))
	client.Cut = func(netip.AddrPort) bool { return true }
	assert.ErrorIs(t, client.Connect(t.Context(), address, 1), errPartitioned)
}

// The dial timeout rises with the average dial time, within its bounds.
func TestDialTimeoutFollowsDialTime(t *testing.T) {
	var p pool
	assert.Equal(t, maxDialTimeout, p.dialTimeout(0))
	assert.Equal(t, 100*time.Millisecond, p.dialTimeout(100*time.Millisecond))
	for range 50 {
		p.recordDial(2 * time.Millisecond)
	}
	assert.Equal(t, 100*time.Millisecond, p.dialTimeout(100*time.Millisecond))
	for range 50 {
		p.recordDial(90 * time.Millisecond)
	}
	assert.InDelta(t, 720, p.dialTimeout(100*time.Millisecond).Milliseconds(), 10)
	p.recordDial(time.Minute)
	assert.Equal(t, maxDialTimeout, p.dialTimeout(100*time.Millisecond))
}

func TestMaxOpen(t *testing.T) {
	release := make(chan struct{})
	address := startServer(t, func(_ int, conn *net.TCPConn) {
		<-release
		conn.Close()
	})
	defer close(release)
	var client Client
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	canceled := make(chan error)
	go func() {
		_, err := get(ctx, &client, address, Options{MaxOpen: 1})
		canceled <- err
	}()
	assert.Eventually(t, func() bool { return client.Dials() == 1 }, time.Second, time.Millisecond)
	_, err := get(ctx, &client, address, Options{MaxOpen: 1})
	assert.ErrorIs(t, err, ErrBusy)
	assert.Equal(t, StageDialing, StageOf(err), "nothing was sent")
	cancel()
	assert.ErrorIs(t, <-canceled, context.Canceled, "the end of the context ends the exchange")
}

// matchID returns options that accept only responses with the ID.
func matchID(id string) Options {
	return Options{Matches: func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("X-Id")) == id }}
}

// A late response to an earlier request may precede the request's own on a
// reused connection. It is dropped, and the exchange fails after three.
func TestMismatchedResponsesAreDropped(t *testing.T) {
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
	matching := "HTTP/1.1 200 OK\r\nX-Id: me\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"mismatched first":       {mismatched + matching, "200 ok"},
		"two mismatched":         {mismatched + mismatched + matching, "200 ok"},
		"only a mismatched":      {mismatched + "close", ""},
		"a truncated mismatched": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 9\r\n\r\nbadclose", ""},
		"nine mismatched":        {strings.Repeat(mismatched, 9), ""},
	} {
		var client Client
		got, err := get(t.Context(), &client, startServer(t, script(c.text)), matchID("me"))
		assert.Equal(t, c.want == "", err != nil, name)
		if err == nil {
			assert.Equal(t, c.want, got, name)
		}
	}
}

// A server may respond before it has read a long request. The connection must
// not be reused, since the rest of the request is not written yet.
func TestEarlyResponseToLongRequest(t *testing.T) {
	address := startServer(t, func(_ int, conn *net.TCPConn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		if _, err := r.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	var client Client
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod("POST")
	request.SetRequestURI("/x")
	request.Header.SetHost("app.example")
	request.SetBody(make([]byte, 8<<20))
	x, err := client.Do(t.Context(), address, request, Options{})
	require.NoError(t, err)
	assert.Equal(t, 503, x.Status())
	x.Close()
	assert.Nil(t, client.pool.popIdle(address), "not pooled")
}

func TestStageOfUnreachableServer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	var client Client
	_, err = get(t.Context(), &client, address, Options{})
	assert.Equal(t, StageDialing, StageOf(err))
}

func TestCloseExpired(t *testing.T) {
	address := startServer(t, script(ok, ok))
	var client Client
	_, err := get(t.Context(), &client, address, Options{})
	require.NoError(t, err)
	client.pool.closeExpired(time.Now().Add(2 * maxIdleTime))
	assert.Nil(t, client.pool.popIdle(address))
}

// Whatever bytes a server sends, reading its response ends, and a body of known
// length is never read beyond its length, nor reported as complete before it.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		ok, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 103 E\r\n\r\n" + ok,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReader(bytes.NewReader(data))
		var header fasthttp.ResponseHeader
		if readHead(reader, &header) != nil {
			return
		}
		b := newBody(reader, &header, false)
		n, err := io.Copy(io.Discard, &b)
		if length := header.ContentLength(); length >= 0 && (n > int64(length) || err == nil && n < int64(length) && !b.empty()) {
			t.Fatalf("%d of %d bytes, %v", n, length, err)
		}
	})
}
