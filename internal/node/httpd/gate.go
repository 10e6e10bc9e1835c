package httpd

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// gate writes to a connection. While trying is set, it keeps what cannot be written
// before the deadline instead of failing; the next write writes that first.
type gate struct {
	raw    net.Conn
	trying bool
	// rest has what was kept.
	rest []byte
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	if g.trying && len(g.rest) > 0 {
		g.rest = append(g.rest, p...)
		return len(p), nil
	}
	if err := g.writeRest(); err != nil {
		return 0, err
	}
	n, err := g.raw.Write(p)
	if g.trying && errors.Is(err, os.ErrDeadlineExceeded) {
		g.rest = append(g.rest, p[n:]...)
		return len(p), nil
	}
	if err != nil {
		return n, fmt.Errorf("write to the client: %w", err)
	}
	return n, nil
}

// writeRest writes what was kept.
func (g *gate) writeRest() error {
	if len(g.rest) == 0 {
		return nil
	}
	n, err := g.raw.Write(g.rest)
	g.rest = g.rest[n:]
	if err != nil {
		return fmt.Errorf("write to the client: %w", err)
	}
	g.rest = nil
	return nil
}

// TryEvent is Event, but returns false if the part cannot be written within the time,
// since the client does not read. What is left of it is written before anything else.
func (x *Exchange) TryEvent(part []byte, wait time.Duration) (bool, error) {
	g := &x.conn.gate
	g.trying = true
	x.setWriteDeadline(wait)
	err := x.writePart(part)
	g.trying = false
	return err == nil && len(g.rest) == 0, err
}

// Flush writes what TryEvent has left.
func (x *Exchange) Flush() error {
	x.setWriteDeadline(eventTimeout)
	return x.conn.gate.writeRest()
}

// Abort makes the write in progress and further ones fail. It may be called concurrently
// with other methods.
func (x *Exchange) Abort() {
	x.aborted.Store(true)
	x.setWriteDeadline(0)
}

// setWriteDeadline sets the deadline of the next write. The error is ignored: a
// connection that does not accept a deadline fails the write that follows.
func (x *Exchange) setWriteDeadline(wait time.Duration) {
	_ = x.conn.raw.SetWriteDeadline(time.Now().Add(wait))
	if x.aborted.Load() {
		_ = x.conn.raw.SetWriteDeadline(time.Unix(1, 0))
	}
}
