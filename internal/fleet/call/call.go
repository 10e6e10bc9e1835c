// Package call performs one HTTP exchange with a backend server or the
// platform and knows how far the request got.
//
// A retry rule needs to know whether a backend server may have read a request.
// General clients hide this: they reuse connections that the server may have
// closed, and send again by themselves. This package leaves the codec to
// fasthttp and keeps the connections itself, so that an Error names the Stage
// at which the exchange failed. Until StageWriting nothing of the request has
// left the process.
//
// # Usage
//
//	client := &call.Client{}
//	exchange, err := client.Do(ctx, address, request, call.Options{})
//	if err != nil {
//		return call.StageOf(err)
//	}
//	defer exchange.Close()
//	n, err := exchange.Read(buffer)
//
// The end of the context closes the connection, which interrupts a read.
package call

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Stage is how far an exchange got.
type Stage int

// The stages of an exchange.
const (
	// StageDialing means that no connection came about.
	StageDialing Stage = iota
	// StageWriting means that a part of the request may have been read.
	StageWriting
	// StageReading means that the request was written and the answer is not
	// whole.
	StageReading
)

// String returns the stage's name.
func (s Stage) String() string { return [...]string{"Dialing", "Writing", "Reading"}[s] }

// Error is a failed exchange.
type Error struct {
	Stage   Stage
	Address netip.AddrPort
	Err     error
}

// Error says where the exchange failed.
func (e *Error) Error() string {
	return fmt.Sprintf("call %s: %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// StageOf returns the stage of an error of this package. Other errors count as
// StageReading, since nothing is known of them.
func StageOf(err error) Stage {
	var e *Error
	if errors.As(err, &e) {
		return e.Stage
	}
	return StageReading
}

// Limits of the connections that are kept.
const (
	idleConnections  = 64
	idleAge          = 20 * time.Second
	dialTimeout      = time.Second
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// Client keeps idle connections per address. The zero value is ready to use.
type Client struct {
	// Cut, if set, says which addresses cannot be reached, for experiments.
	Cut func(address netip.AddrPort) bool

	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// bytes counts what passed in both directions.
	bytes atomic.Int64
}

// connection is a connection with its buffers.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
}

// Bytes returns how many bytes passed in both directions.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

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

// Options are the settings of one exchange.
type Options struct {
	// Fresh asks for a new connection. A kept connection may have been closed
	// by the server, which is only found once the request has been written; a
	// call that may not be repeated must not take that risk.
	Fresh bool
	// ReadTimeout bounds each single read of the answer. 0 means no bound.
	ReadTimeout time.Duration
	// WriteBefore is the latest time to write the request. Zero means no bound.
	WriteBefore time.Time
}

// Exchange is an answer whose body is being read.
type Exchange struct {
	Response fasthttp.Response

	client      *Client
	address     netip.AddrPort
	connection  *connection
	stop        func() bool
	readTimeout time.Duration
	// extended is when the read deadline was set last.
	extended time.Time
	// whole is set once the body was read to its end; only then may the
	// connection be kept.
	whole bool
}

// Do sends the request and reads the header of the answer. The errors are of
// type *Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request *fasthttp.Request, options Options) (*Exchange, error) {
	conn, err := c.take(ctx, address, options.Fresh)
	if err != nil {
		return nil, &Error{StageDialing, address, err}
	}
	x := &Exchange{client: c, address: address, connection: conn, readTimeout: options.ReadTimeout}
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	if err := x.write(request, options.WriteBefore); err != nil {
		x.Close()
		return nil, err
	}
	x.Response.StreamBody = true
	x.Response.SkipBody = request.Header.IsHead()
	x.extend()
	if err := x.Response.Read(conn.reader); err != nil {
		x.Close()
		return nil, &Error{StageReading, address, orCause(ctx, err)}
	}
	if x.Response.BodyStream() == nil {
		x.whole = true
	}
	return x, nil
}

func (x *Exchange) write(request *fasthttp.Request, before time.Time) error {
	if err := x.connection.SetWriteDeadline(before); err != nil {
		return &Error{StageDialing, x.address, err}
	}
	if !before.IsZero() && !time.Now().Before(before) {
		return &Error{StageDialing, x.address, context.DeadlineExceeded}
	}
	if err := request.Write(x.connection.writer); err != nil {
		return &Error{StageWriting, x.address, err}
	}
	if err := x.connection.writer.Flush(); err != nil {
		return &Error{StageWriting, x.address, err}
	}
	return nil
}

// extend gives the next read its time. Setting a deadline costs as much as a
// small read, so that the deadline is moved only once an eighth of the time has
// passed: a read then has at least seven eighths of its time.
func (x *Exchange) extend() {
	if x.readTimeout <= 0 {
		return
	}
	now := time.Now()
	if now.Sub(x.extended) < x.readTimeout/8 {
		return
	}
	x.extended = now
	_ = x.connection.SetReadDeadline(now.Add(x.readTimeout))
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.Response.StatusCode() }

// Read reads the body. It returns io.EOF only after the whole body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.whole {
		return 0, io.EOF
	}
	if x.connection.reader.Buffered() == 0 {
		x.extend()
	}
	n, err := x.Response.BodyStream().Read(p)
	if err == io.EOF {
		x.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, &Error{StageReading, x.address, err}
	}
	return n, nil
}

// Body reads the rest of the body, up to limit bytes.
func (x *Exchange) Body(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, &Error{StageReading, x.address, ErrTooLarge}
	}
	return body, nil
}

// ErrTooLarge says that a body was over the limit.
var ErrTooLarge = errors.New("body over the limit")

// Close ends the exchange. The connection is kept if the body was read whole.
func (x *Exchange) Close() error {
	if x.connection == nil {
		return nil
	}
	conn := x.connection
	x.connection = nil
	alive := x.stop()
	keep := x.whole && alive && !x.Response.ConnectionClose()
	if x.Response.BodyStream() != nil && x.whole {
		_ = x.Response.CloseBodyStream()
	}
	if !keep {
		return conn.Close()
	}
	_ = conn.SetDeadline(time.Time{})
	x.client.give(x.address, conn)
	return nil
}

func (c *Client) take(ctx context.Context, address netip.AddrPort, fresh bool) (*connection, error) {
	if c.Cut != nil && c.Cut(address) {
		return nil, errCut
	}
	for !fresh {
		conn := c.pop(address)
		if conn == nil {
			break
		}
		if time.Since(conn.since) < idleAge {
			return conn, nil
		}
		conn.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn := counted{raw, &c.bytes}
	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
	}, nil
}

// errCut is the error of a connection that an experiment has cut.
var errCut = errors.New("connection is cut")

func (c *Client) pop(address netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

func (c *Client) give(address netip.AddrPort, conn *connection) {
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[netip.AddrPort][]*connection{}
	}
	if len(c.idle[address]) >= idleConnections {
		conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

func orCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
