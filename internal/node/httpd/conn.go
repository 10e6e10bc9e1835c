package httpd

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// writeTimeout is how long a caller may leave an answer unread.
	writeTimeout = 5 * time.Second
	// bodyTimeout is how long a caller may take over a body.
	bodyTimeout = 10 * time.Second
	// idleSlack is how much longer than the limit a connection is kept, so
	// that a request sent at the limit still arrives.
	idleSlack = time.Second
)

// conn is one caller's connection.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// pending is a byte that came while a request was being answered.
	pending    byte
	hasPending bool

	mu     sync.Mutex
	idle   bool
	closed bool
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriterSize(raw, writeBufferBytes)
	return c
}

// Read implements io.Reader for the buffer: the pending byte comes first.
func (c *conn) Read(p []byte) (int, error) {
	if c.hasPending && len(p) > 0 {
		p[0], c.hasPending = c.pending, false
		return 1, nil
	}
	return c.raw.Read(p)
}

// run serves the connection until it is closed.
func (c *conn) run() {
	defer c.server.remove(c)
	defer c.close()
	for c.waitForRequest() && c.serveNext() {
	}
}

// waitForRequest waits for the first byte of the next request and reports whether it
// came.
func (c *conn) waitForRequest() bool {
	c.setIdle(true)
	since := time.Now()
	for {
		limit := c.server.Limits().IdleTimeout + idleSlack
		if c.raw.SetReadDeadline(since.Add(limit)) != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.setIdle(false)
		}
		// The limit may have been raised meanwhile.
		waits := errors.Is(err, os.ErrDeadlineExceeded) && time.Since(since) < c.server.Limits().IdleTimeout
		if !waits {
			return false
		}
	}
}

// setIdle notes whether the connection is between two requests, and reports
// whether it is still open.
func (c *conn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return !c.closed
}

func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := c.idle && !c.closed
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		c.raw.Close()
	}
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.raw.Close()
}

// serveNext reads and answers one request and reports whether another may follow.
func (c *conn) serveNext() bool {
	limits := c.server.Limits()
	if c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
		return false
	}
	x := &Exchange{conn: c}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	held, err := c.read(request, limits)
	defer c.server.release(held)
	if err != nil {
		return c.reject(x, err)
	}
	x.Header, x.Body, x.At = &request.Header, request.Body(), time.Now()
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	watch := c.watch(cancel)
	c.handle(ctx, x)
	if !watch.stop() {
		return false
	}
	return x.finished && !x.closeAfter && !request.Header.ConnectionClose()
}

// handle has the request answered. A request on which this process fails ends
// its connection, not the process.
func (c *conn) handle(ctx context.Context, x *Exchange) {
	defer func() {
		if fault := recover(); fault != nil {
			x.finished = false
			c.server.logger().Error("a request made this process fail", zap.Any("Fault", fault), zap.ByteString("Stack", debug.Stack()))
		}
	}()
	c.server.Handler.Serve(ctx, x)
}

// watcher notices that the caller goes while its request is being answered.
type watcher struct {
	conn       *conn
	done       chan struct{}
	stopping   atomic.Bool
	clientGone bool
}

// watch reads ahead one byte. A caller that sends its next request early is
// not watched until the byte is taken.
func (c *conn) watch(cancel context.CancelCauseFunc) *watcher {
	w := &watcher{conn: c, done: make(chan struct{})}
	if c.reader.Buffered() > 0 || c.raw.SetReadDeadline(time.Time{}) != nil {
		close(w.done)
		return w
	}
	go func() {
		defer close(w.done)
		var one [1]byte
		n, err := c.raw.Read(one[:])
		if n == 1 {
			c.pending, c.hasPending = one[0], true
			return
		}
		if err != nil && !w.stopping.Load() {
			w.clientGone = true
			cancel(ErrCallerGone)
		}
	}()
	return w
}

// stop ends the watch and reports whether the caller is still there.
func (w *watcher) stop() bool {
	w.stopping.Store(true)
	select {
	case <-w.done:
	default:
		// A deadline in the past ends the read.
		if w.conn.raw.SetReadDeadline(time.Unix(1, 0)) != nil {
			w.conn.raw.Close()
		}
		<-w.done
	}
	return !w.clientGone
}
