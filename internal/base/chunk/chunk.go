// Package chunk reads bodies in the chunked transfer encoding of HTTP/1.1.
//
// # Usage
//
//	body := chunk.NewReader(connection)
//	data, err := io.ReadAll(body)
//
// A Reader returns io.EOF only after the last chunk and the trailer behind it, which is
// dropped: its fields are not those of the header. The next message may be read from the
// connection then.
package chunk

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
)

// maxTrailers bounds the lines of a trailer, with the blank line that ends it.
const maxTrailers = 16

// ErrTrailer means that the trailer has more than maxTrailers lines, or one that is no field.
var ErrTrailer = errors.New("trailer is not valid")

// Reader reads one body. It is not safe for concurrent use.
type Reader struct {
	connection *bufio.Reader
	chunks     io.Reader
	// end is the result of a Read after the last chunk, nil before.
	end error
}

// NewReader returns a Reader for the body that comes next on the connection.
func NewReader(connection *bufio.Reader) *Reader {
	return &Reader{connection: connection, chunks: httputil.NewChunkedReader(connection)}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.end != nil {
		return 0, r.end
	}
	n, err := r.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r.end = r.skipTrailer(); r.end == nil {
		r.end = io.EOF
	}
	return n, r.end
}

// skipTrailer reads up to the blank line that ends the body.
func (r *Reader) skipTrailer() error {
	for range maxTrailers {
		line, err := r.connection.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return fmt.Errorf("read trailer: %w", io.ErrUnexpectedEOF)
		case errors.Is(err, bufio.ErrBufferFull):
			return ErrTrailer
		case err != nil:
			return fmt.Errorf("read trailer: %w", err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return nil
		}
		if bytes.IndexByte(line, ':') <= 0 {
			return ErrTrailer
		}
	}
	return ErrTrailer
}
