package call

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/base/chunk"
)

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
		return body{reader: reader, chunked: chunk.NewReader(reader)}
	}
	return body{reader: reader, untilClose: true}
}

// empty reports whether the body is known to have no bytes.
func (b *body) empty() bool { return b.remaining == 0 && b.chunked == nil && !b.untilClose }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.chunked != nil:
		return b.chunked.Read(p)
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
