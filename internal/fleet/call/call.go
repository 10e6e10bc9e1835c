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
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
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

// Client keeps idle connections per address. The zero value is ready to use.
type Client struct {
	// Cut, if set, says which addresses cannot be reached, for experiments.
	Cut func(address netip.AddrPort) bool
	// DialTimeout is the least time for the making of a connection; where
	// connections usually take long, it is as much longer. 0 means one second.
	DialTimeout time.Duration
	// Idle is how many connections to an address are kept; 0 means 64. What a
	// process leaves behind when its VM loses power stays open at the server for
	// long, and counts against the server's limit.
	Idle int

	pool pool
}

// Bytes returns how many bytes passed in both directions.
func (c *Client) Bytes() int64 { return c.pool.bytes.Load() }

// Dials returns how many connections were opened.
func (c *Client) Dials() int64 { return c.pool.dials.Load() }

// Sweep closes the connections that have been idle for too long.
func (c *Client) Sweep() { c.pool.sweep(time.Now()) }

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
	// MaxOpen bounds the connections open to the address; 0 means no bound.
	MaxOpen int
	// Own, if set, tells the request's own answer from one to an earlier
	// request that comes late. Other answers are dropped.
	Own func(*fasthttp.ResponseHeader) bool
}

// Exchange is an answer whose body is being read.
type Exchange struct {
	// Header is the header of the answer.
	Header fasthttp.ResponseHeader

	client      *Client
	address     netip.AddrPort
	connection  *connection
	body        body
	stop        func() bool
	readTimeout time.Duration
	// extended is when the read deadline was set last.
	extended time.Time
	// whole is set once the body was read to its end; only then may the
	// connection be kept.
	whole bool
	// written gets the outcome of writing the request.
	written chan error
}

// longBody is the size of a request from which on the answer is read while the
// request is still being written: a server may answer before it has read all.
const longBody = 16 << 10

// Do sends the request and reads the header of the answer. The errors are of
// type *Error.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, request *fasthttp.Request, options Options) (*Exchange, error) {
	if c.Cut != nil && c.Cut(address) {
		return nil, &Error{StageDialing, address, errCut}
	}
	conn, err := c.pool.take(ctx, address, options.Fresh, options.MaxOpen, c.pool.patience(c.DialTimeout))
	if err != nil {
		return nil, &Error{StageDialing, address, orCause(ctx, err)}
	}
	x := &Exchange{client: c, address: address, connection: conn, readTimeout: options.ReadTimeout, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { conn.Close() })
	if err := x.write(request, options.WriteBefore); err != nil {
		x.Close()
		return nil, x.failed(ctx, StageWriting, err)
	}
	if err := x.answer(request, options.Own); err != nil {
		x.Close()
		return nil, x.failed(ctx, StageReading, err)
	}
	return x, nil
}

// Reach makes a connection and keeps it for a later exchange, unless maxOpen
// are open to the address, 0 meaning no bound. It waits for a second. The error
// is of type *Error.
func (c *Client) Reach(ctx context.Context, address netip.AddrPort, maxOpen int) error {
	if c.Cut != nil && c.Cut(address) {
		return &Error{StageDialing, address, errCut}
	}
	conn, err := c.pool.take(ctx, address, true, maxOpen, dialTimeout)
	if err != nil {
		return &Error{StageDialing, address, orCause(ctx, err)}
	}
	c.pool.give(conn, c.Idle)
	return nil
}

// failed gives an error its stage. While no byte was written, the server
// cannot have read any of the request.
func (x *Exchange) failed(ctx context.Context, stage Stage, err error) error {
	select {
	case wrote := <-x.written:
		if wrote != nil {
			stage = StageWriting
		}
	default:
	}
	if stage == StageWriting && x.sent() == 0 {
		stage = StageDialing
	}
	return &Error{stage, x.address, orCause(ctx, err)}
}

func (x *Exchange) write(request *fasthttp.Request, before time.Time) error {
	conn := x.connection
	if err := conn.SetWriteDeadline(before); err != nil {
		return fmt.Errorf("set the deadline: %w", err)
	}
	if !before.IsZero() && !time.Now().Before(before) {
		return context.DeadlineExceeded
	}
	send := func() error {
		if err := request.Write(conn.writer); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if err := conn.writer.Flush(); err != nil {
			return fmt.Errorf("flush: %w", err)
		}
		return nil
	}
	if len(request.Body()) < longBody {
		err := send()
		x.written <- err
		return err
	}
	// The request is the caller's, who may use it again once Do has returned.
	long := fasthttp.AcquireRequest()
	request.CopyTo(long)
	request = long
	go func() { x.written <- send() }()
	return nil
}

// sent returns how many bytes of the request were written.
func (x *Exchange) sent() int64 { return x.connection.written.Load() }

// maxForeign is how many answers to earlier requests are dropped.
const maxForeign = 3

// errForeign says that a connection carried answers to other requests only.
var errForeign = errors.New("answers to other requests")

// answer reads the header of the request's own answer.
func (x *Exchange) answer(request *fasthttp.Request, own func(*fasthttp.ResponseHeader) bool) error {
	reader := x.connection.reader
	x.extend()
	for range maxForeign {
		if err := x.Header.Read(reader); err != nil {
			return fmt.Errorf("read header: %w", err)
		}
		if status := x.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		x.body = newBody(reader, &x.Header, request.Header.IsHead())
		x.connection.keep = keptFor(&x.Header)
		if own == nil || own(&x.Header) {
			x.whole = x.body.empty()
			return nil
		}
		if _, err := io.Copy(io.Discard, &x.body); err != nil {
			return fmt.Errorf("drop an answer to another request: %w", err)
		}
		if x.Header.ConnectionClose() {
			break
		}
	}
	return errForeign
}

// keptFor returns how long the connection may be idle and still be used: half
// of the time that the server names, since it counts from an earlier moment.
func keptFor(header *fasthttp.ResponseHeader) time.Duration {
	_, text, found := bytes.Cut(header.Peek("Keep-Alive"), []byte("timeout="))
	if !found {
		return idleAge
	}
	text, _, _ = bytes.Cut(text, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil || seconds < 0 {
		return idleAge
	}
	return min(idleAge, time.Duration(seconds)*time.Second/2)
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
	// A connection that takes no deadline fails the read that follows.
	_ = x.connection.SetReadDeadline(now.Add(x.readTimeout))
}

// Status returns the status code of the answer.
func (x *Exchange) Status() int { return x.Header.StatusCode() }

// Read reads the body. It returns io.EOF only after the whole body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.whole {
		return 0, io.EOF
	}
	if x.connection.reader.Buffered() == 0 {
		x.extend()
	}
	n, err := x.body.Read(p)
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

// Close ends the exchange. The connection is kept if the request was written
// and the body was read whole.
func (x *Exchange) Close() error {
	if x.stop == nil {
		return nil
	}
	conn := x.connection
	alive := x.stop()
	x.stop = nil
	if !x.whole || !alive || x.body.closes || x.Header.ConnectionClose() || !x.wrote() || conn.reader.Buffered() > 0 {
		return conn.Close()
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return conn.Close()
	}
	x.client.pool.give(conn, x.client.Idle)
	return nil
}

// wrote reports whether the request was written whole.
func (x *Exchange) wrote() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func orCause(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}
