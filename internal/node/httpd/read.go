package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/chunk"
	"ebonyscale.example/ebonyscale/internal/base/field"
)

// Errors of requests that do not reach the handler.
var (
	// errMalformed means that a request violates the protocol, or is ambiguous.
	errMalformed  = errors.New("request is malformed")
	errBodyMemory = errors.New("too many bytes of request bodies are buffered")
	errVersion    = errors.New("protocol version is not HTTP/1.1")
)

// maxHeaderBytes is the largest header if Limits sets no bound.
const maxHeaderBytes = 64 << 10

// read reads one request and returns its body, as it was sent. It returns how many bytes of
// Server.Buffered the body has reserved, also on error; the caller must release them.
func (c *conn) read(header *fasthttp.RequestHeader, limits Limits) (body []byte, reserved int64, err error) {
	if err := c.readHeader(header, limits); err != nil {
		return nil, 0, err
	}
	if err := checkHeader(header); err != nil {
		return nil, 0, err
	}
	length := header.ContentLength()
	if length == 0 || length == noLength {
		return nil, 0, nil
	}
	if limits.BodyBytes > 0 && length > limits.BodyBytes {
		return nil, 0, fasthttp.ErrBodyTooLarge
	}
	return c.readBody(header, limits)
}

// noLength is the content length of a header that announces no body.
const noLength = -2

// readHeader reads the header of a request. It enlarges the read buffer to the limit
// for a header that does not fit into it.
func (c *conn) readHeader(header *fasthttp.RequestHeader, limits Limits) error {
	limit := limits.HeaderBytes
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	err := header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.reader.Size() < limit {
		// The failed read consumed nothing from the smaller buffer, from which
		// the larger one reads.
		c.reader = bufio.NewReaderSize(c.reader, limit)
		err = header.Read(c.reader)
	}
	if err != nil {
		return &headerError{err}
	}
	return nil
}

// headerError is an error of the HTTP library, which quotes parts of the header. These may
// have a client's key, so that the text of a headerError leaves them out.
type headerError struct{ err error }

// Error returns the kind of the error.
func (e *headerError) Error() string {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(e.err, &small):
		return "read header: it is too long"
	case errors.As(e.err, &network):
		return "read header: " + network.Error()
	}
	return "read header: it is malformed or incomplete"
}

// Unwrap returns the library's error.
func (e *headerError) Unwrap() error { return e.err }

// readBody reads the body of a request, after a 100 Continue if the client waits for
// one. The HTTP library is not used for it, as that parses forms and writes them anew.
func (c *conn) readBody(header *fasthttp.RequestHeader, limits Limits) (body []byte, reserved int64, err error) {
	length := header.ContentLength()
	if length > 0 {
		reserved = int64(length)
		if !c.server.Buffered.Reserve(reserved) {
			return nil, 0, errBodyMemory
		}
	}
	if bytes.EqualFold(header.Peek(fasthttp.HeaderExpect), []byte("100-continue")) {
		if err := c.sendContinue(); err != nil {
			return nil, reserved, fmt.Errorf("write 100 Continue: %w", err)
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, reserved, fmt.Errorf("set read deadline: %w", err)
	}
	if length > 0 {
		body = make([]byte, length)
		_, err = io.ReadFull(c.reader, body)
	} else {
		body, reserved, err = c.readChunks(limits.BodyBytes)
	}
	if err != nil {
		return nil, reserved, fmt.Errorf("read body: %w", err)
	}
	return body, reserved, nil
}

// sendContinue tells the client to send the body.
func (c *conn) sendContinue() error {
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readChunks reads a body in chunks of at most limit bytes; 0 means no bound. It reserves
// the memory of its buffer before that grows.
func (c *conn) readChunks(limit int) (body []byte, reserved int64, err error) {
	chunks := chunk.NewReader(c.reader)
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), minChunksBuffer)
			if limit > 0 {
				// One byte over the limit shows that the body is too long.
				size = min(size, limit+1)
			}
			if !c.server.Buffered.Reserve(int64(size)) {
				return nil, reserved, errBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
			c.server.Buffered.Release(reserved)
			reserved = int64(size)
		}
		n, err := chunks.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && len(body) > limit:
			return nil, reserved, fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			return body, reserved, nil
		case err != nil:
			return nil, reserved, err
		}
	}
}

// minChunksBuffer is the size of the first buffer for a body in chunks, in bytes.
const minChunksBuffer = 2 << 10

// checkHeader rejects headers that violate the protocol or that two parsers could
// interpret differently, as in request smuggling.
func checkHeader(header *fasthttp.RequestHeader) error {
	if !bytes.Equal(header.Protocol(), []byte("HTTP/1.1")) {
		return errVersion
	}
	if uri := header.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return fmt.Errorf("%w: the request target must be a path", errMalformed)
	}
	var lengths, encodings, hosts int
	for line := range bytes.SplitSeq(header.RawHeaders(), []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !field.IsToken(name) {
			return fmt.Errorf("%w: invalid name of a header field", errMalformed)
		}
		if bytes.ContainsAny(value, "\r\x00") {
			return fmt.Errorf("%w: control character in a header field", errMalformed)
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return fmt.Errorf("%w: unsupported transfer encoding", errMalformed)
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 || hosts != 1 {
		return fmt.Errorf("%w: ambiguous body length, or not exactly one host", errMalformed)
	}
	return nil
}

// rejectionStatus returns the status of the response to a request that could not be
// read.
func rejectionStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyMemory):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, errVersion):
		return fasthttp.StatusHTTPVersionNotSupported
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}
