// Package relay forwards the response of an engine to the client and ensures that
// the client gets the complete response to its own request.
//
// A Stream is an io.Reader over the events of a response. It forwards only
// complete events, so a multi-byte character is never split, and each only after
// checking that it has the request's ID. An event of another request is discarded
// and counted, and its connection is closed. If a connection fails before the end
// marker, the Stream calls its Opener for another one that continues after the
// events forwarded so far. The client gets either the complete response with its
// end marker, or a typed error event at the end.
//
// # Usage
//
//	stream := &relay.Stream{ID: id, Open: open}
//	if err := stream.Prime(); err != nil {
//		return errorResponse(err) // nothing has been sent yet
//	}
//	response.SetBodyStream(stream, -1)
//
// A Stream starts no goroutine: it reads from the engine when the HTTP server reads
// the response body.
package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Source is the body of an engine's response. The Stream closes it.
type Source interface {
	io.ReadCloser
}

// Opener opens a source that continues the response after offset events. The cause
// is the error that ended the last source, or nil at the first call. An error of
// the Opener ends the response.
type Opener func(offset int, cause error) (Source, error)

// Errors that end a source.
var (
	// ErrMismatched means that an event doesn't have the request's ID: it belongs
	// to another request.
	ErrMismatched = errors.New("event of another request")
	// ErrTruncated means that a source ended without the end marker.
	ErrTruncated = errors.New("answer ended without its end marker")
	// ErrMalformed means that an event is not valid UTF-8 or too large.
	ErrMalformed = errors.New("event is garbled")
)

// MaxEvent is the largest event, in bytes.
const MaxEvent = 1 << 20

const (
	initialBuffer = 8 << 10 // bytes
	separator     = "\n\n"
)

var endMarker = []byte("data: [DONE]")

// Stream is the response to one request. Set the fields before the first read. A
// Stream is not safe for concurrent use.
type Stream struct {
	// ID is the request's ID, which every event must have.
	ID   string
	Open Opener
	// Done is called once: with nil after the end marker has been read, or with
	// the error that ended the response. It may be nil.
	Done func(err error)
	// OnEvent is called for each valid event, with the number of events so far.
	// It may be nil.
	OnEvent func(count int)
	// ErrorEvent formats the error event for the client. If it is nil, a response
	// that fails ends without one.
	ErrorEvent func(err error) []byte

	source  Source
	idField []byte
	// buffer[start:checked] holds events that were validated and not yet read
	// by the client; buffer[checked:] holds what follows them.
	buffer         []byte
	start, checked int
	count          int
	ended          bool
	finished       bool
	err            error
	// Mismatched counts the events of other requests, which were discarded. Only
	// the Stream sets it.
	Mismatched int
}

// Count returns the number of valid events so far, without the end marker.
func (s *Stream) Count() int { return s.count }

// Prime reads until the first valid event. If it fails, nothing has been sent to
// the client, which can still get an error response.
func (s *Stream) Prime() error {
	for s.start == s.checked && !s.ended {
		if err := s.fill(); err != nil {
			s.finish(err)
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns io.EOF after the end marker or the error
// event, and no other error.
func (s *Stream) Read(p []byte) (int, error) {
	for s.start == s.checked {
		if s.ended {
			s.finish(nil)
			return 0, io.EOF
		}
		if s.err != nil {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			s.abort(err)
		}
	}
	n := copy(p, s.buffer[s.start:s.checked])
	s.start += n
	return n, nil
}

// abort ends the response with the error event.
func (s *Stream) abort(err error) {
	s.err = err
	s.buffer, s.start, s.checked = s.buffer[:0], 0, 0
	if s.ErrorEvent != nil {
		s.buffer = append(s.buffer, s.ErrorEvent(err)...)
		s.checked = len(s.buffer)
	}
	s.finish(err)
}

// Close ends the response early, as when the client has disconnected. Done is then
// called with io.ErrClosedPipe.
func (s *Stream) Close() error {
	s.finish(io.ErrClosedPipe)
	return nil
}

// finish closes the source and calls Done. Further calls do nothing.
func (s *Stream) finish(err error) {
	if s.finished {
		return
	}
	s.finished = true
	if s.source != nil {
		s.source.Close()
		s.source = nil
	}
	if s.Done != nil {
		s.Done(err)
	}
}

// fill reads once from the source, opening it first if necessary, and validates the
// events read. A source that fails is replaced.
func (s *Stream) fill() error {
	if s.source == nil {
		if err := s.reopen(nil); err != nil {
			return err
		}
	}
	s.makeRoom()
	n, err := s.source.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	broken := s.check()
	if s.ended {
		return nil
	}
	switch {
	case broken != nil:
		return s.reopen(broken)
	case errors.Is(err, io.EOF):
		return s.reopen(ErrTruncated)
	case err != nil:
		return s.reopen(fmt.Errorf("read answer: %w", err))
	}
	return nil
}

// reopen discards what was not validated and opens another source.
func (s *Stream) reopen(cause error) error {
	if s.source != nil {
		s.source.Close()
		s.source = nil
	}
	s.buffer = s.buffer[:s.checked]
	source, err := s.Open(s.count, cause)
	if err != nil {
		return fmt.Errorf("open answer: %w", err)
	}
	s.source = source
	return nil
}

// makeRoom ensures that the buffer has free capacity. The first call allocates it.
func (s *Stream) makeRoom() {
	if s.buffer == nil {
		s.buffer = make([]byte, 0, initialBuffer)
		s.idField = append(append([]byte(`"id":"`), s.ID...), '"')
	}
	if s.start > 0 && s.start == s.checked {
		rest := copy(s.buffer, s.buffer[s.checked:])
		s.buffer = s.buffer[:rest]
		s.start, s.checked = 0, 0
	}
	if len(s.buffer) < cap(s.buffer) {
		return
	}
	larger := make([]byte, len(s.buffer), 2*cap(s.buffer))
	copy(larger, s.buffer)
	s.buffer = larger
}

// check validates the complete events after checked and advances it past them. It
// returns an error if the source has to be closed.
func (s *Stream) check() error {
	for !s.ended {
		rest := s.buffer[s.checked:]
		end := bytes.Index(rest, []byte(separator))
		if end < 0 {
			if len(rest) > MaxEvent {
				return ErrMalformed
			}
			return nil
		}
		event := rest[:end]
		switch {
		case bytes.Equal(event, endMarker):
			s.ended = true
		case len(event) == 0 || event[0] == ':':
			// Empty events and comments are keep-alives.
			s.discard(end + len(separator))
			continue
		case !utf8.Valid(event):
			return ErrMalformed
		case !bytes.Contains(event, s.idField):
			s.Mismatched++
			return ErrMismatched
		default:
			s.count++
			if s.OnEvent != nil {
				s.OnEvent(s.count)
			}
		}
		s.checked += end + len(separator)
	}
	return nil
}

// discard removes n bytes from the buffer at checked.
func (s *Stream) discard(n int) {
	rest := copy(s.buffer[s.checked:], s.buffer[s.checked+n:])
	s.buffer = s.buffer[:s.checked+rest]
}
