package httpd

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
)

// Exchange is one request and its response. It is not safe for concurrent use and
// not valid after Handler.Serve has returned.
type Exchange struct {
	// Header and Body are those of the request. They are valid until Serve
	// returns.
	Header *fasthttp.RequestHeader
	Body   []byte
	// ReceivedAt is when the request had been read completely.
	ReceivedAt time.Time

	conn *conn
	// begun is set once the header of a streamed response is written, finished once the
	// response is complete.
	begun, finished bool
	// closeAfter is set if the connection is closed after this response.
	closeAfter bool
	// aborted is set by Abort.
	aborted atomic.Bool
}

// Respond writes a complete response. The body is not sent if the request's method
// is HEAD.
func (x *Exchange) Respond(status int, fields []call.Field, body []byte) error {
	if x.begun {
		return errBegun
	}
	if err := x.header(status, fields, len(body)); err != nil {
		return err
	}
	if len(body) > 0 && !x.headOnly() {
		if _, err := x.conn.writer.Write(body); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	x.finished = true
	return nil
}

// errBegun means that another response has begun.
var errBegun = errors.New("a streamed response has begun")

// headOnly reports whether the request's method is HEAD, so that the response must
// not have a body.
func (x *Exchange) headOnly() bool { return x.Header != nil && x.Header.IsHead() }

// Begin writes the header of a streamed response, which has chunked encoding. Any
// number of calls of Event follow, and then one of End.
func (x *Exchange) Begin(status int, fields []call.Field) error {
	x.begun = true
	return x.header(status, fields, -1)
}

// Event writes one part of a streamed response and flushes it. An empty part is
// ignored, since an empty chunk would end the body.
func (x *Exchange) Event(part []byte) error {
	x.setWriteDeadline(eventTimeout)
	return x.writePart(part)
}

// writePart writes and flushes one part of a streamed response.
func (x *Exchange) writePart(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	w := x.conn.writer
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

// End completes a streamed response.
func (x *Exchange) End() error {
	x.setWriteDeadline(eventTimeout)
	if _, err := x.conn.writer.WriteString("0\r\n\r\n"); err != nil {
		return fmt.Errorf("write end: %w", err)
	}
	if err := x.conn.writer.Flush(); err != nil {
		return fmt.Errorf("write end: %w", err)
	}
	x.finished = true
	return nil
}

// header writes the header of a response whose body has length bytes, or is chunked
// if length is negative.
func (x *Exchange) header(status int, fields []call.Field, length int) error {
	x.setWriteDeadline(writeTimeout)
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
	// lingerTimeout and lingerBytes bound how much is read from the client after
	// its request was rejected unread. Closing a connection with unread bytes
	// resets it, and the client could lose the response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// reject responds to a request that could not be read and prepares the connection
// for closing. It returns false, as no further request may follow.
func (c *conn) reject(x *Exchange, err error) bool {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) {
		c.server.logger().Debug("client closed the connection before its whole request was read", zap.Error(err))
		return false
	}
	x.closeAfter = true
	status := rejectionStatus(err)
	c.server.logger().Info("request cannot be read", zap.Int("Status", status), zap.Error(err), zap.Stringer("Caller", c.raw.RemoteAddr()))
	if failed := x.Respond(status, nil, nil); failed != nil {
		c.server.logger().Debug("rejection of a request could not be written", zap.Error(failed))
		return false
	}
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		if c.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			// The bytes and the error do not matter: the connection is closed
			// in any case.
			_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
		}
	}
	return false
}
