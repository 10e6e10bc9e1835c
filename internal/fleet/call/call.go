// Package call performs one HTTP exchange with a backend server or the
// platform, and reports at which stage a failed exchange stopped.
//
// Retries need to know whether a backend server may have read a request.
// General HTTP clients hide this: they reuse connections that the server may
// have closed, and retry by themselves. This package uses fasthttp to encode and
// decode messages but has its own connection pool, so that an Error gives the
// Stage at which the exchange failed. Before StageWriting no byte of the request
// was written to a connection.
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
// When the context ends, the connection is closed, which interrupts a read.
//
// A Client is safe for concurrent use; an Exchange is not.
package call

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Stage is the progress of an exchange.
type Stage int

// The stages of an exchange.
const (
	// StageDialing means that there is no connection, or that no byte of the
	// request was written to it.
	StageDialing Stage = iota
	// StageWriting means that the server may have read a part of the request.
	StageWriting
	// StageReading means that the request may have been written in full and the
	// response is incomplete.
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

// Error returns the address, the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("call %s: %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// StageOf returns the stage of an error of this package. Other errors give
// StageReading, since the server may have read the request.
func StageOf(err error) Stage {
	var e *Error
	if errors.As(err, &e) {
		return e.Stage
	}
	return StageReading
}

// BrokenOff reports whether the server closed the connection before the response was
// complete.
func BrokenOff(err error) bool {
	if err == nil || StageOf(err) == StageDialing {
		return false
	}
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// Client performs exchanges and pools idle connections per address. The zero
// value is ready to use.
type Client struct {
	// Cut, if set, simulates a network partition for experiments: exchanges with
	// addresses for which it returns true fail.
	Cut func(address netip.AddrPort) bool
	// DialTimeout is the minimum dial timeout. The timeout rises to 8 times the
	// average dial time, but not over one second. 0 means one second.
	DialTimeout time.Duration
	// MaxIdle limits the idle connections per address; 0 means 64. When a VM
	// loses power, the connections of its processes stay open at the server for
	// a long time and count against the server's connection limit.
	MaxIdle int

	pool pool
}

// Bytes returns the number of bytes read and written.
func (c *Client) Bytes() int64 { return c.pool.bytes.Load() }

// Dials returns the number of dials, including failed ones.
func (c *Client) Dials() int64 { return c.pool.dials.Load() }

// CloseExpired closes the connections whose idle timeout has passed. It is to be
// called regularly.
func (c *Client) CloseExpired() { c.pool.closeExpired(time.Now()) }

// ErrUnwanted means that Options.Wanted has withdrawn the request.
var ErrUnwanted = errors.New("the request is no longer wanted there")

// Options are the settings of one exchange.
type Options struct {
	// NewConnection dials a new connection. The server may have closed an idle
	// one, which may be noticed only after the request was written, so a request
	// that must not be retried needs a new connection.
	NewConnection bool
	// ReadTimeout limits each read of the response. 0 means no limit.
	ReadTimeout time.Duration
	// WriteDeadline is the latest time to write the request. Zero means none.
	WriteDeadline time.Time
	// DiscardUnsent makes the connection, when it is closed, drop the data that was
	// not acknowledged. Otherwise the kernel goes on sending it, so that a request
	// that was aborted in a network partition may arrive long after. It needs
	// NewConnection.
	DiscardUnsent bool
	// MaxOpen limits the connections open to the address; 0 means no limit.
	MaxOpen int
	// Wanted, if set, reports whether the request is still to be sent once there is a
	// connection, which may have taken a second to make. If not, nothing is written, and
	// Do fails with ErrUnwanted.
	Wanted func() bool
	// TakeLate has a response read that has arrived by the deadline of the context although
	// this process notices the deadline late, as it had no processor meanwhile. Otherwise a
	// process that was paused drops it, and can't tell its own pause from a silent server.
	TakeLate bool
	// DropSilent closes the idle connections to the address if there is no response by the
	// deadline: those of a network device that has forgotten them go silent together.
	DropSilent bool
	// Matches, if set, reports whether a response belongs to this request. On a
	// reused connection a late response to an earlier request may come first;
	// such mismatched responses are dropped.
	Matches func(*fasthttp.ResponseHeader) bool
}

// Exchange is a response whose header was read. The caller must call Close.
type Exchange struct {
	// Header is the header of the response.
	Header fasthttp.ResponseHeader

	client      *Client
	address     netip.AddrPort
	connection  *connection
	body        body
	stop        func() bool
	readTimeout time.Duration
	// deadlineSet is when the read deadline was last set.
	deadlineSet time.Time
	// complete is set once the body was read to its end; only then may the
	// connection be reused.
	complete bool
	// written receives the result of writing the request, once.
	written chan error
}

// longRequestBytes is the size of a request body from which the request is
// written concurrently with reading the response, since a server may respond
// before it has read the whole request.
const longRequestBytes = 16 << 10

// Do sends the request and reads the header of the response. The caller may
// reuse the request once Do has returned. The errors are of type *Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request *fasthttp.Request, options Options) (*Exchange, error) {
	if c.Cut != nil && c.Cut(address) {
		return nil, &Error{StageDialing, address, errPartitioned}
	}
	conn, err := c.pool.get(ctx, address, options.NewConnection, options.MaxOpen, c.pool.dialTimeout(c.DialTimeout))
	if err != nil {
		return nil, &Error{StageDialing, address, withContextError(ctx, err)}
	}
	if options.Wanted != nil && !options.Wanted() {
		c.pool.put(conn, c.MaxIdle)
		return nil, &Error{StageDialing, address, ErrUnwanted}
	}
	if options.DiscardUnsent {
		if err := conn.discardUnsent(); err != nil {
			conn.Close()
			return nil, &Error{StageDialing, address, err}
		}
	}
	x := &Exchange{client: c, address: address, connection: conn, readTimeout: options.ReadTimeout, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() {
		if !options.TakeLate || !conn.extend(ctx) {
			conn.Close()
		}
	})
	if err := x.write(request, options.WriteDeadline); err != nil {
		x.Close()
		return nil, x.newError(ctx, StageWriting, err)
	}
	if err := x.readHeader(request, options.Matches); err != nil {
		x.Close()
		if options.DropSilent && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.pool.closeIdle(address)
		}
		return nil, x.newError(ctx, StageReading, err)
	}
	return x, nil
}

// Connect dials a connection, with a timeout of one second, and pools it for a
// later exchange. If maxOpen connections to the address are open and none of
// them is idle, it fails with ErrBusy; 0 means no limit. The errors are of type
// *Error.
func (c *Client) Connect(ctx context.Context, address netip.AddrPort, maxOpen int) error {
	if c.Cut != nil && c.Cut(address) {
		return &Error{StageDialing, address, errPartitioned}
	}
	conn, err := c.pool.get(ctx, address, true, maxOpen, maxDialTimeout)
	if err != nil {
		return &Error{StageDialing, address, withContextError(ctx, err)}
	}
	c.pool.put(conn, c.MaxIdle)
	return nil
}

// newError returns an *Error with the stage that was reached: StageWriting if
// writing failed, and StageDialing if no byte was written, as the server cannot
// have read any of the request then.
func (x *Exchange) newError(ctx context.Context, stage Stage, err error) error {
	select {
	case writeErr := <-x.written:
		if writeErr != nil {
			stage = StageWriting
		}
	default:
	}
	if stage == StageWriting && x.bytesSent() == 0 {
		stage = StageDialing
	}
	return &Error{stage, x.address, withContextError(ctx, err)}
}

// write writes the request, or starts to write it if it is long.
func (x *Exchange) write(request *fasthttp.Request, deadline time.Time) error {
	conn := x.connection
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set the deadline: %w", err)
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	if len(request.Body()) < longRequestBytes {
		err := request.Write(conn.writer)
		if err == nil {
			err = conn.writer.Flush()
		}
		x.written <- err
		return err
	}
	// Do may return before the request is written; the caller may then reuse it.
	encoded, err := encode(request)
	if err != nil {
		return err
	}
	go func() {
		_, err := conn.Write(encoded.Bytes())
		freeEncoded(encoded)
		x.written <- err
	}()
	return nil
}

// encodedBuffers has buffers for the bytes of long requests.
var encodedBuffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// encode returns the bytes of a request, in one of encodedBuffers.
func encode(request *fasthttp.Request) (*bytes.Buffer, error) {
	encoded := encodedBuffers.Get().(*bytes.Buffer)
	encoded.Reset()
	encoded.Grow(len(request.Body()) + longRequestBytes)
	w := bufio.NewWriter(encoded)
	err := request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		freeEncoded(encoded)
		return nil, fmt.Errorf("encode: %w", err)
	}
	return encoded, nil
}

// maxEncodedBytes bounds the buffers that are kept: their memory counts towards no limit of the
// process.
const maxEncodedBytes = 256 << 10

// freeEncoded returns a buffer to encodedBuffers.
func freeEncoded(b *bytes.Buffer) {
	if b.Cap() <= maxEncodedBytes {
		encodedBuffers.Put(b)
	}
}

// bytesSent returns the number of bytes of the request that were written.
func (x *Exchange) bytesSent() int64 { return x.connection.written.Load() }

// maxMismatched limits the response headers that are read for one request:
// mismatched and interim (1xx) ones and the request's own.
const maxMismatched = 3

// maxDropped is the size up to which a response to another request is read and dropped,
// in bytes. The connection is closed if there is more.
const maxDropped = 1 << 20

// errMismatched means that no response within maxMismatched, or before the
// server closed the connection, belonged to the request.
var errMismatched = errors.New("answers to other requests")

// readHeader reads the header of the response to the request, and drops interim
// and mismatched responses before it.
func (x *Exchange) readHeader(request *fasthttp.Request, matches func(*fasthttp.ResponseHeader) bool) error {
	reader := x.connection.reader
	x.extendDeadline()
	for range maxMismatched {
		if err := readHead(reader, &x.Header); err != nil {
			return err
		}
		if status := x.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		x.body = newBody(reader, &x.Header, request.Header.IsHead())
		x.connection.idleTimeout = keepAliveTimeout(&x.Header)
		if matches == nil || matches(&x.Header) {
			x.complete = x.body.empty()
			return nil
		}
		if n, err := io.CopyN(io.Discard, &x.body, maxDropped+1); err != io.EOF {
			return fmt.Errorf("drop an answer to another request after %d bytes: %w", n, cmp.Or(err, ErrTooLarge))
		}
		if x.Header.ConnectionClose() {
			break
		}
	}
	return errMismatched
}

// keepAliveTimeout returns how long the connection may be idle and still be
// reused: half of the Keep-Alive timeout that the server sent, since the server
// counts from an earlier moment, and at most maxIdleTime.
func keepAliveTimeout(header *fasthttp.ResponseHeader) time.Duration {
	_, text, found := bytes.Cut(header.Peek("Keep-Alive"), []byte("timeout="))
	if !found {
		return maxIdleTime
	}
	text, _, _ = bytes.Cut(text, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil || seconds < 0 {
		return maxIdleTime
	}
	return min(maxIdleTime, time.Duration(seconds)*time.Second/2)
}

// extendDeadline extends the read deadline for the next read. Setting a deadline
// costs as much as a small read, so it is set again only after an eighth of
// ReadTimeout: each read has at least seven eighths of ReadTimeout.
func (x *Exchange) extendDeadline() {
	if x.readTimeout <= 0 {
		return
	}
	now := time.Now()
	if now.Sub(x.deadlineSet) < x.readTimeout/8 {
		return
	}
	x.deadlineSet = now
	// If the deadline cannot be set, the read that follows fails too.
	_ = x.connection.SetReadDeadline(now.Add(x.readTimeout))
}

// Status returns the status code of the response.
func (x *Exchange) Status() int { return x.Header.StatusCode() }

// UntilClose reports whether the body ends where the server closes the connection.
func (x *Exchange) UntilClose() bool { return x.body.untilClose }

// Read reads the body. It returns io.EOF only after the complete body; other
// errors are of type *Error.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	if x.connection.reader.Buffered() == 0 {
		x.extendDeadline()
	}
	n, err := x.body.Read(p)
	if err == io.EOF && x.body.untilClose {
		err = x.closeError()
	}
	if err == io.EOF {
		x.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, &Error{StageReading, x.address, err}
	}
	return n, nil
}

// closeError returns io.EOF if the server has closed the connection, and an error if it was
// reset. The kernel reports a reset to one call only. If that is the write of the request,
// reads end as if the server had closed.
func (x *Exchange) closeError() error {
	select {
	case err := <-x.written:
		x.written <- err
		if err != nil {
			return fmt.Errorf("%w: %w", errReset, err)
		}
		return io.EOF
	default:
	}
	// The request is still being written, or its error is on the way.
	if err := x.connection.sendError(); err != nil {
		return fmt.Errorf("%w: %w", errReset, err)
	}
	return io.EOF
}

// Body reads the rest of the body. If that is longer than limit bytes, it fails
// with an error that wraps ErrTooLarge.
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

// ErrTooLarge means that a body is longer than the limit.
var ErrTooLarge = errors.New("body over the limit")

// Close ends the exchange. The connection is returned to the pool if the request
// was written and the body was read in full, and closed otherwise. Further calls
// do nothing.
func (x *Exchange) Close() error {
	if x.stop == nil {
		return nil
	}
	conn := x.connection
	open := x.stop()
	x.stop = nil
	if !x.complete || !open || x.body.untilClose || x.Header.ConnectionClose() || !x.requestWritten() || conn.reader.Buffered() > 0 {
		return conn.Close()
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return conn.Close()
	}
	x.client.pool.put(conn, x.client.MaxIdle)
	return nil
}

// requestWritten reports whether the request was written in full.
func (x *Exchange) requestWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// withContextError adds the context's error to err if the context has ended.
func withContextError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
