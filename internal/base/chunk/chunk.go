// Package chunk reads bodies in the chunked transfer encoding of HTTP/1.1.
//
// # Usage
//
//	body := chunk.NewReader(connection)
//	data, err := io.ReadAll(body)
//
// A Reader returns io.EOF only after the last chunk and the trailer behind it, which is
// dropped: its fields are not those of the header. The next message may be read from the
// connection then. Whatever breaks the syntax of RFC 9112, section 7.1, is an error.
package chunk

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"ebonyscale.example/ebonyscale/internal/base/field"
)

const (
	// maxTrailers bounds the lines of a trailer, with the blank line that ends it.
	maxTrailers = 16
	// maxOverhead bounds the bytes of the lines between chunks, beyond freeOverhead for each
	// chunk and twice its data.
	maxOverhead  = 16 << 10
	freeOverhead = 16
)

var (
	// ErrChunk means that a chunk does not have the syntax of one.
	ErrChunk = errors.New("chunk is not valid")
	// ErrTrailer means that the trailer has more than maxTrailers lines, or one that is no field.
	ErrTrailer = errors.New("trailer is not valid")
)

// Reader reads one body. It is not safe for concurrent use.
type Reader struct {
	connection *bufio.Reader
	// left is what is left of the current chunk, begun is set once there is one.
	left  uint64
	begun bool
	// overhead counts towards maxOverhead.
	overhead int64
	// end is the result of a Read after the last chunk or an error, nil before.
	end error
}

// NewReader returns a Reader for the body that comes next on the connection.
func NewReader(connection *bufio.Reader) *Reader { return &Reader{connection: connection} }

// Read implements io.Reader. It returns what has arrived of one chunk.
func (r *Reader) Read(p []byte) (int, error) {
	if r.end == nil && r.left == 0 {
		r.end = r.next()
	}
	if r.end != nil || len(p) == 0 {
		return 0, r.end
	}
	n, err := r.connection.Read(p[:min(uint64(len(p)), r.left)])
	r.left -= uint64(n)
	if err != nil {
		r.end = unexpected(err)
	}
	return n, r.end
}

// next reads up to the data of the next chunk. It returns io.EOF after the last one and its
// trailer.
func (r *Reader) next() error {
	if r.begun {
		if line, err := r.line(ErrChunk); err != nil {
			return err
		} else if len(line) > 0 {
			return fmt.Errorf("%w: more data than its size", ErrChunk)
		}
	}
	r.begun = true
	line, err := r.line(ErrChunk)
	if err != nil {
		return err
	}
	if r.left, err = parseSize(line); err != nil {
		return err
	}
	r.overhead = max(r.overhead+int64(len(line))-freeOverhead-2*int64(min(r.left, maxOverhead)), 0)
	if r.overhead > maxOverhead {
		return fmt.Errorf("%w: too many bytes between chunks", ErrChunk)
	}
	if r.left == 0 {
		return r.skipTrailer()
	}
	return nil
}

// parseSize returns the size of a chunk from its first line, which may have extensions.
func parseSize(line []byte) (uint64, error) {
	digits, extensions, found := bytes.Cut(line, []byte(";"))
	if found {
		digits = bytes.TrimRight(digits, " \t")
	}
	// ParseUint accepts no sign.
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || !field.IsText(extensions) {
		return 0, fmt.Errorf("%w: size", ErrChunk)
	}
	return size, nil
}

// line reads a line and returns it without its CRLF. The error wraps invalid if there is none.
func (r *Reader) line(invalid error) ([]byte, error) {
	line, err := r.connection.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: a line is too long", invalid)
	}
	if err != nil {
		return nil, unexpected(err)
	}
	text, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return nil, fmt.Errorf("%w: a line ends without CR", invalid)
	}
	return text, nil
}

// unexpected returns the error of a connection that ends within a body.
func unexpected(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read chunks: %w", err)
}

// skipTrailer reads up to the blank line that ends the body, and returns io.EOF.
func (r *Reader) skipTrailer() error {
	for range maxTrailers {
		line, err := r.line(ErrTrailer)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if _, _, err := field.Parse(line); err != nil {
			return fmt.Errorf("%w: %w", ErrTrailer, err)
		}
	}
	return ErrTrailer
}
