package call

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the connections that are kept.
const (
	defaultMaxIdle = 64
	maxIdleTime    = 20 * time.Second
	maxDialTimeout = time.Second
	// dialTimeFactor is how many times as long as usual a connection may take,
	// dialLearnt the weight of the newest.
	dialTimeFactor   = 8
	dialTimeWeight   = 0.1
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// unackedTimeout ends a connection whose peer acknowledges nothing, as
	// behind a partition.
	unackedTimeout = 3 * time.Second
	// probeIdle, probeEvery and probeCount find connections that have gone
	// silent while an answer is waited for.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
)

// ErrBusy says that no further connection to the address may be opened.
var ErrBusy = errors.New("connections to the address are used up")

// errPartitioned is the error of a connection that an experiment has cut.
var errPartitioned = errors.New("connection is cut")

// connection is a connection with its buffers.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleTimeout is how long the server keeps the connection idle.
	idleTimeout time.Duration
	// written counts the bytes written since the exchange began.
	written   atomic.Int64
	closeOnce sync.Once
	pool      *pool
	address   netip.AddrPort
}

// Write implements io.Writer.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Close closes the connection and frees its place.
func (c *connection) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.release(c.address)
	})
	return err
}

// stale reports whether a kept connection must not be used again: the server
// may have closed it, or has sent what nobody asked for.
func (c *connection) stale(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return true
	}
	raw, ok := c.Conn.(countingConn).Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	stale := true
	// The connection is in order if there is nothing to read yet.
	failed := control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = !errors.Is(err, unix.EAGAIN)
		return true
	})
	return stale || failed != nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pool keeps connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	open map[netip.AddrPort]int
	// meanDialTime is the time that a connection takes to come about.
	meanDialTime time.Duration
	// bytes counts what passed in both directions, dials the connections made.
	bytes, dials atomic.Int64
}

// get returns a kept connection, or a new one. most bounds the connections
// that are open to the address; 0 means no bound.
func (p *pool) get(ctx context.Context, address netip.AddrPort, fresh bool, most int, timeout time.Duration) (*connection, error) {
	for !fresh {
		conn := p.popIdle(address)
		if conn == nil {
			break
		}
		if !conn.stale(time.Now()) {
			conn.written.Store(0)
			return conn, nil
		}
		conn.Close()
	}
	if !p.reserve(address, most) {
		// An idle connection makes room for the new one.
		idle := p.popIdle(address)
		if idle == nil {
			return nil, ErrBusy
		}
		idle.Close()
		if !p.reserve(address, most) {
			return nil, ErrBusy
		}
	}
	dialer := net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	}
	p.dials.Add(1)
	began := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		p.release(address)
		return nil, fmt.Errorf("dial: %w", err)
	}
	p.recordDial(time.Since(began))
	conn := &connection{Conn: countingConn{raw, &p.bytes}, pool: p, address: address, idleTimeout: maxIdleTime}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	conn.writer = bufio.NewWriterSize(conn, writeBufferBytes)
	return conn, nil
}

// recordDial takes in how long a connection took to come about.
func (p *pool) recordDial(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanDialTime += time.Duration(dialTimeWeight * float64(took-p.meanDialTime))
}

// dialTimeout is how long a request waits for a connection. least is the shortest;
// 0 means the longest.
func (p *pool) dialTimeout(least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(cmp.Or(least, maxDialTimeout), dialTimeFactor*p.meanDialTime), maxDialTimeout)
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

func (p *pool) reserve(address netip.AddrPort, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most > 0 && p.open[address] >= most {
		return false
	}
	if p.open == nil {
		p.open = map[netip.AddrPort]int{}
	}
	p.open[address]++
	return true
}

func (p *pool) release(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *pool) popIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

func (p *pool) put(conn *connection, most int) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*connection{}
	}
	list := p.idle[conn.address]
	full := len(list) >= cmp.Or(most, defaultMaxIdle)
	if !full {
		p.idle[conn.address] = append(list, conn)
	}
	p.mu.Unlock()
	if full {
		conn.Close()
	}
}

// closeExpired closes the connections that have been idle for too long.
func (p *pool) closeExpired(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleSince) >= conn.idleTimeout {
				old = append(old, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
