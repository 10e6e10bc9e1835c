// Package event reads a stream of server-sent events in whole events.
//
// # Usage
//
//	reader := event.Reader{Source: body}
//	for {
//		e, err := reader.Next()
//		if err == io.EOF { break } // the stream ended between two events
//		relay(e.Text)
//	}
//
// A Reader vouches for the order: the identities of events are whole numbers
// that grow. A stream that ends within an event, or whose bytes are no event,
// is broken.
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
	// ErrTruncated says that the stream ended within an event.
	ErrTruncated = errors.New("stream ended within an event")
	// ErrMalformed says that bytes are no event.
	ErrMalformed = errors.New("bytes are no event")
	// ErrOutOfOrder says that an event came twice or too early.
	ErrOutOfOrder = errors.New("event out of order")
)

// MaxBytes is the largest event.
const MaxBytes = 1 << 20

const initialBuffer = 2 << 10

// Event is one event with the blank line that ends it. Text is valid until the
// next call of Next.
type Event struct {
	Text []byte
	ID   uint64
	// HasID is set if the event has an identity.
	HasID bool
}

// Reader reads events.
type Reader struct {
	Source io.Reader
	// Last is the identity of the newest event; the next must be greater.
	Last uint64
	// Started is set once Last is valid.
	Started bool

	buffer     []byte
	start, end int
}

// Next returns the next event, or io.EOF at the end of the stream.
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

func (r *Reader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buffer) {
		larger := make([]byte, max(initialBuffer, 2*len(r.buffer)))
		copy(larger, r.buffer[:r.end])
		r.buffer = larger
	}
	n, err := r.Source.Read(r.buffer[r.end:])
	r.end += n
	if n > 0 {
		// What came before an error is looked at first.
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

// eventLength returns the length of the first event with its blank line, or 0.
func eventLength(text []byte) int {
	at := bytes.Index(text, []byte("\n\n"))
	crlf := bytes.Index(text, []byte("\n\r\n"))
	if at >= 0 && (crlf < 0 || at < crlf) {
		return at + 2
	}
	if crlf >= 0 {
		return crlf + 3
	}
	return 0
}

// parse checks an event.
func (r *Reader) parse(text []byte) (Event, error) {
	e := Event{Text: text}
	if !utf8.Valid(text) {
		return e, fmt.Errorf("%w: not UTF-8", ErrMalformed)
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isFieldName(name) {
			return e, fmt.Errorf("%w: a line has no field", ErrMalformed)
		}
		if string(name) != "id" {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return e, fmt.Errorf("%w: identity: %w", ErrMalformed, err)
		}
		e.ID, e.HasID = id, true
	}
	if e.HasID {
		if r.Started && e.ID <= r.Last {
			return e, fmt.Errorf("%w: %d after %d", ErrOutOfOrder, e.ID, r.Last)
		}
		r.Last, r.Started = e.ID, true
	}
	return e, nil
}

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
