package broker

import (
	"fmt"
	"io"

	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/spool"
)

// errBuffersFull means that the bodies of all responses together are too large to be
// kept in memory.
var errBuffersFull = spool.ErrFull

const (
	// maxResponseBytes is the maximum size of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// firstBuffer is the space that is reserved first for a response; it doubles
	// when it is full.
	firstBuffer = 4 << 10
)

// reserve reserves n bytes of MaxBuffered for a response to the request. They are freed
// when the request has ended.
func (j *job) reserve(n int) error {
	if err := j.broker.buffered.Reserve(n, j.broker.MaxBuffered); err != nil {
		return fmt.Errorf("reserve %d bytes: %w", n, err)
	}
	j.reserved += n
	return nil
}

// freeBuffers frees what the request has reserved.
func (j *job) freeBuffers() {
	j.broker.buffered.Free(j.reserved)
	j.reserved = 0
}

// readBody reads a response that is not a stream completely.
func (j *job) readBody(body io.Reader) ([]byte, error) {
	var text []byte
	for {
		if len(text) == cap(text) {
			if len(text) > maxResponseBytes {
				return nil, call.ErrTooLarge
			}
			// One byte more than allowed shows that there are too many.
			larger := min(max(firstBuffer, 2*cap(text)), maxResponseBytes+1)
			if err := j.reserve(larger - cap(text)); err != nil {
				return nil, err
			}
			text = append(make([]byte, 0, larger), text...)
		}
		n, err := body.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if err == io.EOF {
			return text, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
	}
}
