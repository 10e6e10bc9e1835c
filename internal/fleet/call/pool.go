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

// Limits of connections.
const (
	defaultMaxIdle = 64
	maxIdleTime    = 20 * time.Second
	maxDialTimeout = time.Second
	// dialTimeFactor times the average dial time is the dial timeout, within its
	// bounds. dialTimeWeight is the weight of the newest dial in that average.
	dialTimeFactor   = 8
	dialTimeWeight   = 0.1
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// unackedTimeout ends a connection whose peer acknowledges no data, as in a
	// network partition. Linux also gives up keep-alive probes by it, whatever their
	// count: the peer may be silent for unackedTimeout less probeIdle.
	unackedTimeout = 4 * time.Second
	// probeIdle, probeEvery and probeCount set the TCP keep-alive probes. These
	// detect a lost peer while a response is awaited, when no data is sent.
	probeIdle  = 2 * time.Second
	probeEvery = time.Second
	probeCount = 2
)

// ErrBusy means that the limit of connections to the address is reached.
var ErrBusy = errors.New("connections to the address are used up")

// errReset means that the connection was reset while the request was being written.
var errReset = errors.New("connection reset during the request")

// errPartitioned is the cause of failures that Client.Cut simulates.
var errPartitioned = errors.New("connection is cut")

// connection is a TCP connection with its buffers.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleTimeout is how long the connection may be idle and still be reused.
	idleTimeout time.Duration
	// written counts the bytes written since the start of the exchange.
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

// Close closes the connection and no longer counts it as open to its address.
// Further calls do nothing.
func (c *connection) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.release(c.address)
	})
	return err
}

// takeLateWithin is how long data that has arrived may take to be read, once the process has a
// processor.
const takeLateWithin = 100 * time.Millisecond

// extend lets an exchange whose deadline has passed go on for takeLateWithin. It returns false
// if the context ended otherwise.
func (c *connection) extend(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && c.SetDeadline(time.Now().Add(takeLateWithin)) == nil
}

// discardUnsent makes Close drop the data that was not acknowledged.
func (c *connection) discardUnsent() error {
	conn, ok := c.Conn.(countingConn).Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := conn.SetLinger(0); err != nil {
		return fmt.Errorf("set linger: %w", err)
	}
	return nil
}

// stale reports whether an idle connection must not be reused: its idle timeout
// has passed, the server has closed it, or the server has sent unrequested data.
func (c *connection) stale(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return true
	}
	control, err := c.socket()
	if err != nil {
		return true
	}
	if control == nil {
		return false
	}
	stale := true
	// The connection is usable if it is open and has no data to read.
	readErr := control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = !errors.Is(err, unix.EAGAIN)
		return true
	})
	return stale || readErr != nil
}

// sendError returns the error of sending no bytes: that of a connection that was reset, nil if
// the server could read on. It does not wait.
func (c *connection) sendError() error {
	control, err := c.socket()
	if control == nil || err != nil {
		return err
	}
	var sendErr error
	if err := control.Control(func(fd uintptr) {
		sendErr = unix.Send(int(fd), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	}); err != nil {
		return err
	}
	if errors.Is(sendErr, unix.EAGAIN) {
		return nil
	}
	return sendErr
}

// socket gives access to the socket, nil if the connection has none.
func (c *connection) socket() (syscall.RawConn, error) {
	raw, ok := c.Conn.(countingConn).Conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	return control, nil
}

// countingConn adds the bytes read and written to a counter.
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

// pool pools idle connections by address, and counts the open ones.
type pool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// open counts the connections in use, idle or being dialled.
	open map[netip.AddrPort]int
	// meanDialTime is an EWMA of the time of successful dials.
	meanDialTime time.Duration
	// bytes counts the bytes read and written, dials the dials.
	bytes, dials atomic.Int64
}

// get returns an idle connection or dials a new one, always the latter if
// newConnection is set. maxOpen limits the connections open to the address; 0
// means no limit. At the limit, an idle connection is closed for the new one.
func (p *pool) get(ctx context.Context, address netip.AddrPort, newConnection bool, maxOpen int, timeout time.Duration) (*connection, error) {
	for !newConnection {
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
	if !p.reserve(address, maxOpen) {
		// Replace an idle connection by the new one.
		idle := p.popIdle(address)
		if idle == nil {
			return nil, ErrBusy
		}
		idle.Close()
		if !p.reserve(address, maxOpen) {
			return nil, ErrBusy
		}
	}
	dialer := net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
	}
	p.dials.Add(1)
	start := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		p.release(address)
		return nil, fmt.Errorf("dial: %w", err)
	}
	p.recordDial(time.Since(start))
	conn := &connection{Conn: countingConn{raw, &p.bytes}, pool: p, address: address, idleTimeout: maxIdleTime}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	conn.writer = bufio.NewWriterSize(conn, writeBufferBytes)
	return conn, nil
}

// recordDial updates the average dial time.
func (p *pool) recordDial(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanDialTime += time.Duration(dialTimeWeight * float64(took-p.meanDialTime))
}

// dialTimeout returns the timeout of the next dial: dialTimeFactor times the
// average dial time, but at least minimum and at most maxDialTimeout. A minimum
// of 0 means maxDialTimeout.
func (p *pool) dialTimeout(minimum time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(cmp.Or(minimum, maxDialTimeout), dialTimeFactor*p.meanDialTime), maxDialTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent data may stay
// unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// reserve counts a further open connection to the address, and returns false if
// maxOpen are open already; 0 means no limit.
func (p *pool) reserve(address netip.AddrPort, maxOpen int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxOpen > 0 && p.open[address] >= maxOpen {
		return false
	}
	if p.open == nil {
		p.open = map[netip.AddrPort]int{}
	}
	p.open[address]++
	return true
}

// release undoes one reserve.
func (p *pool) release(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// popIdle removes and returns the connection that became idle last, or nil.
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

// put makes a connection idle, or closes it if maxIdle are idle already; 0 means
// defaultMaxIdle.
func (p *pool) put(conn *connection, maxIdle int) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*connection{}
	}
	list := p.idle[conn.address]
	full := len(list) >= cmp.Or(maxIdle, defaultMaxIdle)
	if !full {
		p.idle[conn.address] = append(list, conn)
	}
	p.mu.Unlock()
	if full {
		conn.Close()
	}
}

// closeIdle closes the idle connections to the address.
func (p *pool) closeIdle(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range list {
		conn.Close()
	}
}

// closeExpired closes the connections whose idle timeout has passed.
func (p *pool) closeExpired(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Sub(conn.idleSince) >= conn.idleTimeout {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}
