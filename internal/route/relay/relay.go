// Package relay carries the answer of an engine to the caller and vouches that
// it is the whole answer to the caller's own request.
//
// A Stream is an io.Reader over the events of an answer. It hands on whole
// events only, so that no letter is ever cut, and each only after checking that
// it carries the request's identity. An event of another request is dropped and
// counted, and the connection it came over is given up. If a connection breaks
// before the end marker, the Stream asks its Opener for another one that goes
// on after the events handed on so far. What the caller gets is either the
// whole answer with its end marker or a typed error event at the end.
//
// # Usage
//
//	stream := &relay.Stream{ID: id, Open: open}
//	if err := stream.Prime(); err != nil {
//		return refusal(err) // nothing was sent yet
//	}
//	response.SetBodyStream(stream, -1)
//
// Reading needs no goroutine of its own: the server pulls.
package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// Source is one connection to an engine that yields events.
type Source interface {
	io.ReadCloser
}

// Opener opens the answer anew so that it goes on after offset events. The
// cause is what ended the last source, nil the first time. An error ends the
// answer.
type Opener func(offset int, cause error) (Source, error)

// Errors that end a source.
var (
	// ErrCrossed says that an event carried another request's identity.
	ErrCrossed = errors.New("event of another request")
	// ErrTruncated says that a source ended without the end marker.
	ErrTruncated = errors.New("answer ended without its end marker")
	// ErrMalformed says that an event was not UTF-8 text or too large.
	ErrMalformed = errors.New("event is garbled")
)

// MaxEvent is the largest event, in bytes.
const MaxEvent = 1 << 20

const (
	initialBuffer = 8 << 10
	separator   = "\n\n"
)

var endMarker = []byte("data: [DONE]")

// Stream is the answer to one request. The fields are set before the first
// read. A Stream is read by one goroutine.
type Stream struct {
	ID   string
	Open Opener
	// Done is called once, with nil after the end marker was handed on, or
	// with the error that ended the answer.
	Done func(err error)
	// OnEvent is called for each event handed on, with its count so far.
	OnEvent func(count int)
	// Fail formats the error event for the caller.
	Fail func(err error) []byte

	source Source
	idField    []byte
	// buffer[start:checked] are events that were checked and not yet handed
	// on; buffer[checked:] is what came after the last whole event.
	buffer         []byte
	start, checked int
	count          int
	ended          bool
	finished       bool
	err            error
	// Mismatched counts events that were dropped.
	Mismatched int
}

// Count returns how many events were checked.
func (s *Stream) Count() int { return s.count }

// Prime waits for the first event. If it fails, nothing was handed on and the
// caller can still get a proper refusal.
func (s *Stream) Prime() error {
	for s.start == s.checked && !s.ended {
		if err := s.fill(); err != nil {
			s.finish(err)
			return err
		}
	}
	return nil
}

// Read implements io.Reader. It returns io.EOF after the end marker, or after
// the error event.
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

// abort leaves the error event as the last thing to read.
func (s *Stream) abort(err error) {
	s.err = err
	s.buffer, s.start, s.checked = s.buffer[:0], 0, 0
	if s.Fail != nil {
		s.buffer = append(s.buffer, s.Fail(err)...)
		s.checked = len(s.buffer)
	}
	s.finish(err)
}

// Close ends the answer early, as when the caller has gone.
func (s *Stream) Close() error {
	s.finish(io.ErrClosedPipe)
	return nil
}

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

// fill reads until there is a checked event. Sources that break are replaced.
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

// reopen drops what was not checked and asks for another source.
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

// makeRoom makes room after the buffer's content.
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

// check moves the mark over every whole event that is right. It returns why
// the source has to be given up, if it has.
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
			// Blank events and comments keep a connection alive.
			s.discard(end + len(separator))
			continue
		case !utf8.Valid(event):
			return ErrMalformed
		case !bytes.Contains(event, s.idField):
			s.Mismatched++
			return ErrCrossed
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

// discard removes n bytes after the mark.
func (s *Stream) discard(n int) {
	rest := copy(s.buffer[s.checked:], s.buffer[s.checked+n:])
	s.buffer = s.buffer[:s.checked+rest]
}
