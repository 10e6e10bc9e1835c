// Package httpd is the HTTP/1.1 server for clients.
//
// It uses fasthttp to parse and write headers, but manages the connections itself,
// because it needs three things that the library's server does not offer: to detect
// that a client disconnects while its request is being served, to abort the
// connection of an incomplete response, and to close a connection that is between two
// requests. It also reads the bodies of requests itself, so that they are forwarded
// as they were sent.
//
// # Usage
//
//	server := &httpd.Server{Handler: handler, Limits: limits}
//	go server.Serve(listener)
//	server.Drain()          // responses have "Connection: close" from now on
//	server.CloseIdle()      // connections between two requests are closed
//	server.Close()          // all connections are closed
//
// A Handler responds to an Exchange once: with a complete response by Respond, or
// with a streamed one by Begin, Event and End. An exchange without a complete
// response closes its connection, so that a truncated response never looks
// complete. TryEvent writes an event without waiting for a client that does not
// read; Flush writes what is left of it, and Abort ends both.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/budget"
)

// Limits bound what a client may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body, in bytes. If
	// HeaderBytes is 0, maxHeaderBytes applies; if BodyBytes is 0, bodies are not
	// bounded.
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time to receive a header and must be positive.
	// IdleTimeout bounds the time between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler serves requests. It must be safe for concurrent use.
type Handler interface {
	// Serve responds to the exchange. ctx ends when the client has disconnected,
	// with the cause ErrClientGone, or with that of CancelRequests.
	Serve(ctx context.Context, x *Exchange)
}

// ErrClientGone is the cancellation cause of the context of a request whose client
// closed its connection.
var ErrClientGone = errors.New("client closed the connection")

// Server serves clients. The exported fields are set before Serve. Every method is
// safe for concurrent use.
type Server struct {
	Handler Handler
	// Limits returns the current limits. It is called for each request, from the
	// goroutine of the connection.
	Limits func() Limits
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// Buffered bounds the bytes of the bodies of all current requests together.
	Buffered budget.Budget
	Log      *zap.Logger

	// mu guards open, closed and listener, which is that of Serve.
	mu       sync.Mutex
	open     map[*conn]bool
	closed   bool
	listener net.Listener
	draining atomic.Bool
	active   atomic.Int64
	group    sync.WaitGroup
	// accepting counts the calls of Serve.
	accepting sync.WaitGroup
}

// acceptRetry is the pause after a connection could not be accepted, for example
// because the process has no file descriptors left.
const acceptRetry = 20 * time.Millisecond

// Serve accepts and serves connections until the listener is closed. It returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.accepting.Add(1)
	defer s.accepting.Done()
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.logger().Warn("a connection could not be accepted", zap.Error(err))
			timer := time.NewTimer(acceptRetry)
			<-timer.C
			continue
		}
		c, err := s.add(raw)
		if err != nil {
			s.logger().Debug("connection rejected", zap.Error(err))
			raw.Close()
			continue
		}
		s.group.Go(c.run)
	}
}

func (s *Server) logger() *zap.Logger {
	if s.Log == nil {
		return zap.NewNop()
	}
	return s.Log
}

// errTooManyConnections means that the server is closed or has MaxConnections.
var errTooManyConnections = errors.New("too many connections")

// add registers a new connection.
func (s *Server) add(raw net.Conn) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.MaxConnections > 0 && len(s.open) >= s.MaxConnections {
		return nil, fmt.Errorf("%d open: %w", len(s.open), errTooManyConnections)
	}
	if s.open == nil {
		s.open = map[*conn]bool{}
	}
	c := newConn(s, raw)
	s.open[c] = true
	return c, nil
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// Active returns how many requests are being served.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain makes every response from now on the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections that are between two requests, and of which no further
// request has arrived.
func (s *Server) CloseIdle() {
	for _, c := range s.connections() {
		c.closeIdle()
	}
}

// CancelRequests ends the contexts of the requests that are being served, with a cause. Their
// handlers may still respond.
func (s *Server) CancelRequests(cause error) {
	for _, c := range s.connections() {
		c.cancelRequest(cause)
	}
}

// Close closes every connection and waits for the handlers to return. Later
// connections are rejected.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.close()
	}
	s.group.Wait()
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}
