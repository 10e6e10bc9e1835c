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
	idleConnections = 64
	idleAge         = 20 * time.Second
	dialTimeout     = time.Second
	// dialMargin is how many times as long as usual a connection may take,
	// dialLearnt the weight of the newest.
	dialMargin       = 8
	dialLearnt       = 0.1
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

// errCut is the error of a connection that an experiment has cut.
var errCut = errors.New("connection is cut")

// connection is a connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
	// keep is how long the server keeps the connection idle.
	keep time.Duration
	// written counts the bytes written since the exchange began.
	written atomic.Int64
	closed  sync.Once
	pool    *pool
	address netip.AddrPort
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
	c.closed.Do(func() {
		err = c.Conn.Close()
		c.pool.closed(c.address)
	})
	return err
}

// stale reports whether a kept connection must not be used again: the server
// may have closed it, or has sent what nobody asked for.
func (c *connection) stale(now time.Time) bool {
	if now.Sub(c.since) >= c.keep || c.reader.Buffered() > 0 {
		return true
	}
	raw, ok := c.Conn.(counted).Conn.(syscall.Conn)
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

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements io.Reader.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pool keeps connections by address.
type pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	open map[netip.AddrPort]int
	// usual is the time that a connection takes to come about.
	usual time.Duration
	// bytes counts what passed in both directions, dials the connections made.
	bytes, dials atomic.Int64
}

// take returns a kept connection, or a new one. most bounds the connections
// that are open to the address; 0 means no bound.
func (p *pool) take(ctx context.Context, address netip.AddrPort, fresh bool, most int, timeout time.Duration) (*connection, error) {
	for !fresh {
		conn := p.pop(address)
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
		idle := p.pop(address)
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
		p.closed(address)
		return nil, fmt.Errorf("dial: %w", err)
	}
	p.learn(time.Since(began))
	conn := &connection{Conn: counted{raw, &p.bytes}, pool: p, address: address, keep: idleAge}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	conn.writer = bufio.NewWriterSize(conn, writeBufferBytes)
	return conn, nil
}

// learn takes in how long a connection took to come about.
func (p *pool) learn(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(dialLearnt * float64(took-p.usual))
}

// patience is how long a request waits for a connection. least is the shortest;
// 0 means the longest.
func (p *pool) patience(least time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(cmp.Or(least, dialTimeout), dialMargin*p.usual), dialTimeout)
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

func (p *pool) closed(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *pool) pop(address netip.AddrPort) *connection {
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

func (p *pool) give(conn *connection, most int) {
	conn.since = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*connection{}
	}
	list := p.idle[conn.address]
	full := len(list) >= cmp.Or(most, idleConnections)
	if !full {
		p.idle[conn.address] = append(list, conn)
	}
	p.mu.Unlock()
	if full {
		conn.Close()
	}
}

// sweep closes the connections that have been idle for too long.
func (p *pool) sweep(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.since) >= conn.keep {
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
