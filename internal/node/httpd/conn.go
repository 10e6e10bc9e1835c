package httpd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// writeTimeout bounds the write of a response to a client that does not read
	// it, eventTimeout that of one event. Clients on poor links read nothing for 5 s;
	// the bytes that wait for them are bounded by package spool.
	writeTimeout = 5 * time.Second
	eventTimeout = 10 * time.Second
	// bodyTimeout bounds the time to receive a request's body.
	bodyTimeout = 10 * time.Second
	// idleSlack is how much longer than IdleTimeout an idle connection is kept,
	// so that a request sent at the timeout is still received.
	idleSlack = time.Second
)

// conn is one client's connection. One goroutine serves it; closeIdle and close may
// be called from others. Only that goroutine knows what has been read, so that closeIdle
// leaves it the decision whether the connection is closed.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	gate   gate
	// pending is a byte that the watcher read while a request was being served.
	// It is the first byte of the next request.
	pending    byte
	hasPending bool

	// accepted is when the connection was accepted.
	accepted time.Time

	// mu guards the fields below. leaving is set once CloseIdle has ended the wait for the
	// next request, used once a request has come; cancel ends the context of the one that is
	// being served.
	mu      sync.Mutex
	idle    bool
	leaving bool
	closed  bool
	used    bool
	cancel  context.CancelCauseFunc
}

// newFor is how long the first request of a connection may be on its way. Until then
// CloseIdle keeps the connection, as its client wouldn't know whether that has run.
const newFor = 200 * time.Millisecond

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{server: s, raw: raw, accepted: time.Now()}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.gate.raw = raw
	c.writer = bufio.NewWriterSize(&c.gate, writeBufferBytes)
	return c
}

// Read implements io.Reader for the buffer. It returns the pending byte first.
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

// waitForRequest waits for the first byte of the next request. It returns false if
// the connection was closed or was idle for too long.
func (c *conn) waitForRequest() bool {
	c.setIdle(true)
	since := time.Now()
	for {
		limit := c.server.Limits().IdleTimeout + idleSlack
		if c.setIdleDeadline(since.Add(limit)) != nil {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.setIdle(false)
		}
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		// The timeout may have been raised meanwhile.
		if timedOut && !c.isLeaving() && time.Since(since) < c.server.Limits().IdleTimeout {
			continue
		}
		// A request that has arrived is served, however late the process comes to read it.
		return timedOut && c.hasUnread() && c.setIdle(false)
	}
}

// setIdle records whether the connection is between two requests, and reports
// whether it is still open.
func (c *conn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.leaving = idle, false
	c.used = c.used || !idle
	return !c.closed
}

// setIdleDeadline sets until when the next request is awaited, unless CloseIdle has ended
// the wait.
func (c *conn) setIdleDeadline(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaving {
		return nil
	}
	if err := c.raw.SetReadDeadline(until); err != nil {
		return fmt.Errorf("wait for a request: %w", err)
	}
	return nil
}

// isLeaving reports whether CloseIdle has ended the wait for the next request.
func (c *conn) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// hasUnread reports whether bytes of the client have arrived that were not read.
func (c *conn) hasUnread() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var unread int
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// setCancel sets what ends the context of the current request, nil if there is none.
func (c *conn) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// cancelRequest ends the context of the request that is being served, if there is one.
func (c *conn) cancelRequest(cause error) {
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// closeIdle ends the wait for the next request if the connection is between two, or has had
// none for newFor. A request that has arrived by then is still served, however late the
// process comes to read it; otherwise the connection is closed.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.leaving || !c.used && time.Since(c.accepted) < newFor {
		return
	}
	c.leaving = true
	// A deadline in the past interrupts the read. The error is ignored: it means that the
	// connection is closed.
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.raw.Close()
}

// serveNext reads and serves one request, and reports whether another may follow on
// the connection.
func (c *conn) serveNext() bool {
	limits := c.server.Limits()
	if c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
		return false
	}
	x := &Exchange{conn: c}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	body, reserved, err := c.read(&request.Header, limits)
	defer c.server.Buffered.Release(reserved)
	if err != nil {
		return c.reject(x, err)
	}
	x.Header, x.Body, x.ReceivedAt = &request.Header, body, time.Now()
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	c.setCancel(cancel)
	defer c.setCancel(nil)
	watch := c.watch(cancel)
	c.handle(ctx, x)
	if !watch.stop() {
		return false
	}
	return x.finished && !x.closeAfter && !request.Header.ConnectionClose()
}

// handle calls the handler. A panic of the handler closes the connection and does
// not end the process.
func (c *conn) handle(ctx context.Context, x *Exchange) {
	defer func() {
		if value := recover(); value != nil {
			x.finished = false
			c.server.logger().Error("a request caused a panic in this process", zap.Any("Fault", value), zap.ByteString("Stack", debug.Stack()))
		}
	}()
	c.server.Handler.Serve(ctx, x)
}

// watcher detects that the client closes its connection while its request is being
// served.
type watcher struct {
	conn     *conn
	done     chan struct{}
	stopping atomic.Bool
	// clientGone may be read once done is closed.
	clientGone bool
}

// watch reads one byte ahead in the background and cancels the request's context if
// that fails. Once part of the next request has arrived, the client is no longer
// watched, and its disconnection is detected only when that request is read.
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
			cancel(ErrClientGone)
		}
	}()
	return w
}

// stop ends the watch and reports whether the client is still connected.
func (w *watcher) stop() bool {
	w.stopping.Store(true)
	select {
	case <-w.done:
	default:
		// A deadline in the past interrupts the read.
		if w.conn.raw.SetReadDeadline(time.Unix(1, 0)) != nil {
			w.conn.raw.Close()
		}
		<-w.done
	}
	return !w.clientGone
}
