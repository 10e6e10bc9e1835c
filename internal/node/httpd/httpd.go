// Package httpd is the HTTP/1.1 server towards callers.
//
// It leaves the codec of headers and bodies to fasthttp and keeps the
// connections itself, because it has to know three things that the library's
// server does not tell: that a caller has gone while its request waits, that
// an answer ended early, and that a connection is between two requests and may
// be closed.
//
// # Usage
//
//	server := &httpd.Server{Handler: handler, Limits: limits}
//	go server.Serve(listener)
//	server.Drain()          // answers carry "Connection: close" from now on
//	server.CloseIdle()      // connections between two requests are closed
//	server.Close()          // all connections are closed
//
// A Handler answers an Exchange once: whole by Answer, or in events by Begin,
// Event and End. An exchange that ends without End closes its connection, so
// that what was cut never looks complete.
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
)

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a caller may take over a request, IdleTimeout
	// how long a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler answers requests.
type Handler interface {
	// Serve answers the exchange. ctx ends when the caller has gone.
	Serve(ctx context.Context, x *Exchange)
}

// ErrCallerGone is the cause of the context of a request whose caller closed
// its connection.
var ErrCallerGone = errors.New("the caller has gone")

// Server serves callers. The exported fields are set before Serve.
type Server struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections is how many connections are open at once; 0 means any
	// number.
	MaxConnections int
	// MaxBuffered bounds the bytes of the bodies of all requests together; 0
	// means any number.
	MaxBuffered int64
	Log         *zap.Logger

	mu       sync.Mutex
	open     map[*conn]bool
	closed   bool
	draining atomic.Bool
	active   atomic.Int64
	buffered atomic.Int64
	group    sync.WaitGroup
}

// acceptRetry is the pause after a connection could not be accepted, as when
// the descriptors are used up.
const acceptRetry = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
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
			s.logger().Debug("a connection is turned away", zap.Error(err))
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

// errTooManyConnections says that no more connections are taken.
var errTooManyConnections = errors.New("too many connections")

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

// Active returns how many requests are being answered.
func (s *Server) Active() int { return int(s.active.Load()) }

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Drain makes each answer from now on the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections that are between two requests.
func (s *Server) CloseIdle() {
	for _, c := range s.connections() {
		c.closeIdle()
	}
}

// Close closes every connection and waits for the handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.close()
	}
	s.group.Wait()
}

func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}

// reserve takes room for n bytes of a body, or returns false.
func (s *Server) reserve(n int64) bool {
	if s.buffered.Add(n) > s.MaxBuffered && s.MaxBuffered > 0 {
		s.buffered.Add(-n)
		return false
	}
	return true
}

func (s *Server) release(n int64) { s.buffered.Add(-n) }
