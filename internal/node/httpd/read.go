package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of requests that are not answered by the handler.
var (
	// errMalformed says that a request is not in the protocol, or could be
	// read in two ways.
	errMalformed  = errors.New("request is malformed")
	errBodyMemory = errors.New("too many bytes of requests are held")
	errVersion    = errors.New("protocol version is not served")
)

// maxHeaderBytes is the largest header if no limit is given.
const maxHeaderBytes = 64 << 10

// read reads one request, and returns how many bytes it holds.
func (c *conn) read(request *fasthttp.Request, limits Limits) (int64, error) {
	if err := c.readHeader(&request.Header, limits); err != nil {
		return 0, err
	}
	if err := checkHeader(&request.Header); err != nil {
		return 0, err
	}
	length := request.Header.ContentLength()
	if length == 0 || length == -2 {
		return 0, nil
	}
	if limits.BodyBytes > 0 && length > limits.BodyBytes {
		return 0, fasthttp.ErrBodyTooLarge
	}
	// A body in chunks is not announced: it is counted as it turned out.
	held := int64(max(length, 0))
	if !c.server.reserve(held) {
		return 0, errBodyMemory
	}
	if err := c.readBody(request, limits); err != nil {
		return held, err
	}
	if extra := int64(len(request.Body())) - held; extra > 0 {
		if !c.server.reserve(extra) {
			return held, errBodyMemory
		}
		held += extra
	}
	return held, nil
}

func (c *conn) readHeader(header *fasthttp.RequestHeader, limits Limits) error {
	limit := limits.HeaderBytes
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	err := header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.reader.Size() < limit {
		// Nothing was taken off the smaller buffer: the larger one reads it.
		c.reader = bufio.NewReaderSize(c.reader, limit)
		err = header.Read(c.reader)
	}
	if err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	return nil
}

func (c *conn) readBody(request *fasthttp.Request, limits Limits) error {
	if request.MayContinue() {
		if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return fmt.Errorf("ask for the body: %w", err)
		}
		if err := c.writer.Flush(); err != nil {
			return fmt.Errorf("ask for the body: %w", err)
		}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return fmt.Errorf("set the deadline: %w", err)
	}
	if err := request.ContinueReadBody(c.reader, limits.BodyBytes); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	return nil
}

// checkHeader refuses headers that two readers could understand differently.
func checkHeader(header *fasthttp.RequestHeader) error {
	if !bytes.Equal(header.Protocol(), []byte("HTTP/1.1")) {
		return errVersion
	}
	if uri := header.RequestURI(); len(uri) == 0 || uri[0] != '/' {
		return fmt.Errorf("%w: the target must be a path", errMalformed)
	}
	var lengths, encodings, hosts int
	for _, line := range bytes.Split(header.RawHeaders(), []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return fmt.Errorf("%w: a field has no proper name", errMalformed)
		}
		if bytes.ContainsAny(value, "\r\x00") {
			return fmt.Errorf("%w: a field has a control character", errMalformed)
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return fmt.Errorf("%w: the transfer encoding is not known", errMalformed)
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 || hosts != 1 {
		return fmt.Errorf("%w: length or host is not clear", errMalformed)
	}
	return nil
}

// isToken reports whether name is a proper name of a field.
func isToken(name []byte) bool {
	if len(name) == 0 {
		return false
	}
	for _, b := range name {
		letter := b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if !letter && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(b)) {
			return false
		}
	}
	return true
}

// rejectionStatus is the status for a request that could not be read.
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
