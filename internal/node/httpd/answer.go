package httpd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Exchange is one request and its answer.
type Exchange struct {
	// Header and Body are the request's; they are valid until Serve returns.
	Header *fasthttp.RequestHeader
	Body   []byte
	// At is when the request had been read.
	At time.Time

	conn     *conn
	finished bool
	// closeAfter is set if the connection ends with this answer.
	closeAfter bool
}

// Answer writes a whole answer.
func (x *Exchange) Answer(status int, fields []call.Field, body []byte) error {
	if err := x.header(status, fields, len(body)); err != nil {
		return err
	}
	if len(body) > 0 && !x.headOnly() {
		if _, err := x.conn.writer.Write(body); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	x.finished = true
	return nil
}

func (x *Exchange) headOnly() bool { return x.Header != nil && x.Header.IsHead() }

// Begin writes the header of an answer in events.
func (x *Exchange) Begin(status int, fields []call.Field) error {
	return x.header(status, fields, -1)
}

// Event writes one part of the answer at once.
func (x *Exchange) Event(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	w := x.conn.writer
	x.extendWriteDeadline()
	var size [18]byte
	if _, err := w.Write(append(strconv.AppendUint(size[:0], uint64(len(part)), 16), '\r', '\n')); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if _, err := w.Write(part); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

// End writes the end of an answer in events.
func (x *Exchange) End() error {
	x.extendWriteDeadline()
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		return fmt.Errorf("write end: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write end: %w", err)
	}
	x.finished = true
	return nil
}

// extendWriteDeadline gives the next write its time. A connection that takes no deadline
// fails the write that follows.
func (x *Exchange) extendWriteDeadline() {
	_ = x.conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// header writes the header of an answer whose body has length bytes, or comes
// in chunks if length is negative.
func (x *Exchange) header(status int, fields []call.Field, length int) error {
	x.extendWriteDeadline()
	var h fasthttp.ResponseHeader
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(status)
	h.SetContentLength(length)
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	if x.conn.server.draining.Load() {
		x.closeAfter = true
	}
	if x.closeAfter {
		h.SetConnectionClose()
	}
	if _, err := h.WriteTo(x.conn.writer); err != nil {
		return fmt.Errorf("write header: %w", err)
	}
	return nil
}

const (
	// lingerTimeout is how long a caller whose request is refused unread is
	// read on, since closing on unread bytes would destroy the answer.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// reject answers a request that could not be read, and ends the connection.
func (c *conn) reject(x *Exchange, err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
		c.server.logger().Debug("a caller went before its request was whole", zap.Error(err))
		return false
	}
	x.closeAfter = true
	status := rejectionStatus(err)
	c.server.logger().Info("request cannot be read", zap.Int("Status", status), zap.Error(err), zap.Stringer("Caller", c.raw.RemoteAddr()))
	if answered := x.Answer(status, nil, nil); answered != nil {
		c.server.logger().Debug("a refusal was not delivered", zap.Error(answered))
		return false
	}
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		if c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			// What is read on is of no use; its end or error ends the wait.
			_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
		}
	}
	return false
}
