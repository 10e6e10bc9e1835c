package call

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// maxTrailers limits the trailer lines, with the blank line that ends them.
const maxTrailers = 16

// errTrailer means that the trailer has more than maxTrailers lines.
var errTrailer = errors.New("trailer is not valid")

// body reads the body of one response from a connection. It returns io.EOF only
// after the complete body.
type body struct {
	reader *bufio.Reader
	// remaining counts the bytes still to be read if the length is known.
	remaining int64
	// chunked is set if the body has chunked transfer encoding.
	chunked io.Reader
	// untilClose is set if the body ends where the server closes the connection.
	untilClose bool
}

// newBody returns the body that the header announces. none is set for responses
// that have no body whatever their header says, such as those to HEAD.
func newBody(reader *bufio.Reader, header *fasthttp.ResponseHeader, none bool) body {
	status, length := header.StatusCode(), header.ContentLength()
	switch {
	case none || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return body{reader: reader}
	case length >= 0:
		return body{reader: reader, remaining: int64(length)}
	case length == -1:
		return body{reader: reader, chunked: httputil.NewChunkedReader(reader)}
	}
	return body{reader: reader, untilClose: true}
}

// empty reports whether the body is known to have no bytes.
func (b *body) empty() bool { return b.remaining == 0 && b.chunked == nil && !b.untilClose }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.chunked != nil:
		n, err := b.chunked.Read(p)
		if err == io.EOF {
			if trailerErr := b.skipTrailers(); trailerErr != nil {
				return n, trailerErr
			}
		}
		return n, err
	case b.untilClose:
		return b.reader.Read(p)
	case b.remaining == 0:
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if err == io.EOF {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// skipTrailers reads up to the blank line that ends a chunked body.
func (b *body) skipTrailers() error {
	for range maxTrailers {
		line, err := b.reader.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("read trailer: %w", io.ErrUnexpectedEOF)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
	return errTrailer
}
