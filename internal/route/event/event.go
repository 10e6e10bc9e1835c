// Package event reads a stream of server-sent events, one complete event at a
// time.
//
// # Usage
//
//	reader := event.Reader{Source: body}
//	for {
//		e, err := reader.Next()
//		if err == io.EOF {
//			break // the stream ended between two events
//		}
//		if err != nil {
//			return err
//		}
//		forward(e.Text)
//	}
//
// A Reader checks that the IDs of events are increasing integers. It returns an
// error if the stream ends within an event or has bytes that are not a valid event.
package event

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"
)

// Errors of a stream.
var (
	// ErrTruncated means that the stream ended within an event.
	ErrTruncated = errors.New("stream ended within an event")
	// ErrMalformed means that bytes of the stream are not a valid event.
	ErrMalformed = errors.New("malformed event")
	// ErrOutOfOrder means that the ID of an event is not greater than the ID
	// before it.
	ErrOutOfOrder = errors.New("event out of order")
)

// MaxBytes is the size of the largest event, in bytes.
const MaxBytes = 1 << 20

const initialBuffer = 2 << 10 // bytes; the buffer doubles when it is full

// Event is one event.
type Event struct {
	// Text is the event as received, with the blank line that ends it. It is
	// valid until the next call of Next.
	Text []byte
	// ID is valid if HasID is set.
	ID uint64
	// HasID is set if the event has an id field.
	HasID bool
}

// Reader reads events from Source. It is not safe for concurrent use.
type Reader struct {
	Source io.Reader
	// LastID is the ID of the last event with one; the next ID must be greater.
	// To resume a stream, set LastID and HasLastID before the first call of Next.
	LastID uint64
	// HasLastID is set if LastID is valid.
	HasLastID bool
	// Reserve, if set, is called with the bytes by which the buffer is to grow. The
	// buffer doesn't shrink. Its error ends the stream.
	Reserve func(bytes int) error

	// buffer[start:end] has been read from Source and not returned.
	buffer     []byte
	start, end int
}

// Next returns the next event, or io.EOF if the stream ends between two events.
// Other errors wrap ErrTruncated, ErrMalformed, ErrOutOfOrder, or the error of
// Source. The Reader must not be used after an error.
func (r *Reader) Next() (Event, error) {
	for {
		if n := eventLength(r.buffer[r.start:r.end]); n > 0 {
			text := r.buffer[r.start : r.start+n]
			r.start += n
			return r.parse(text)
		}
		if r.end-r.start > MaxBytes {
			return Event{}, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxBytes)
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// fill reads once from Source, after making space in the buffer.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buffer) {
		size := max(initialBuffer, 2*len(r.buffer))
		if r.Reserve != nil {
			if err := r.Reserve(size - len(r.buffer)); err != nil {
				return fmt.Errorf("event of over %d bytes: %w", len(r.buffer), err)
			}
		}
		larger := make([]byte, size)
		copy(larger, r.buffer[:r.end])
		r.buffer = larger
	}
	n, err := r.Source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		// Parse these bytes first; the next read returns the error again.
		return nil
	}
	if err == io.EOF && r.end > 0 {
		return ErrTruncated
	}
	if err != nil && err != io.EOF {
		return fmt.Errorf("read events: %w", err)
	}
	return err
}

// eventLength returns the length of the first event with its blank line, or 0 if
// text has no complete event.
func eventLength(text []byte) int {
	lf := bytes.Index(text, []byte("\n\n"))
	crlf := bytes.Index(text, []byte("\n\r\n"))
	if lf >= 0 && (crlf < 0 || lf < crlf) {
		return lf + 2
	}
	if crlf >= 0 {
		return crlf + 3
	}
	return 0
}

// parse validates an event and the order of its ID.
func (r *Reader) parse(text []byte) (Event, error) {
	e := Event{Text: text}
	if !utf8.Valid(text) {
		return e, fmt.Errorf("%w: not UTF-8", ErrMalformed)
	}
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isFieldName(name) {
			return e, fmt.Errorf("%w: line without a valid field name", ErrMalformed)
		}
		if string(name) != "id" {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return e, fmt.Errorf("%w: invalid id: %w", ErrMalformed, err)
		}
		e.ID, e.HasID = id, true
	}
	if e.HasID {
		if r.HasLastID && e.ID <= r.LastID {
			return e, fmt.Errorf("%w: id %d after %d", ErrOutOfOrder, e.ID, r.LastID)
		}
		r.LastID, r.HasLastID = e.ID, true
	}
	return e, nil
}

// isFieldName reports whether name consists of letters and hyphens.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if b < 'a' || b > 'z' {
			if b != '-' && (b < 'A' || b > 'Z') {
				return false
			}
		}
	}
	return len(name) > 0
}
