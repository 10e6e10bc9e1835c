package broker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ebonyscale.example/ebonyscale/internal/node/spool"
)

// TimedOutput is an Output that can bound the time of a write. The events of other outputs are
// never queued: while a client does not read, its backend server's response is not read.
type TimedOutput interface {
	Output
	// TryEvent is Event, but returns false if the event can't be written within the time.
	// The output keeps what is left of it, and writes that before anything else.
	TryEvent(text []byte, wait time.Duration) (bool, error)
	// Flush writes what TryEvent has left.
	Flush() error
	// Abort makes the calls in progress and further ones fail. It may be called
	// concurrently with other methods.
	Abort()
}

// quickWrite is how long a write may take before the stream's further events are queued.
// It is shorter than a pause between events that a client notices.
const quickWrite = 50 * time.Millisecond

// errUnwritten is the error of a stream that could not be written to its client.
var errUnwritten = errors.New("write to the client failed")

// slowClient writes the queue of a stream whose client is behind.
type slowClient struct {
	queue *spool.Queue
	out   TimedOutput
	// done is closed once everything is written, or err is set.
	done chan struct{}
	err  error
}

// run writes until the queue is empty, or a write fails.
func (s *slowClient) run() {
	defer close(s.done)
	err := s.out.Flush()
	for err == nil {
		text, more := s.queue.Next(time.Now())
		if !more {
			s.err = s.queue.Err()
			return
		}
		err = s.out.Event(text)
	}
	s.queue.Drop(fmt.Errorf("%w: %w", errUnwritten, err))
	s.err = s.queue.Err()
}

// sendEvent sends an event to the client, or queues it if the client is behind.
func (j *job) sendEvent(text []byte) error {
	timed, ok := j.out.(TimedOutput)
	if !ok {
		return j.out.Event(text)
	}
	if s := j.slow; s != nil {
		added, err := s.queue.Add(j.ctx, text)
		if added || err != nil {
			return err
		}
		<-s.done
		j.slow = nil
	}
	written, err := timed.TryEvent(text, quickWrite)
	if written || err != nil {
		return err
	}
	return j.startSlow(timed, len(text))
}

// startSlow starts to write in the background. n bytes are left of the last event.
func (j *job) startSlow(out TimedOutput, n int) error {
	queue, err := j.broker.buffered.Open(time.Now(), j.broker.MaxBuffered, n, j.cancel)
	if err != nil {
		return err
	}
	j.broker.Meters.Add("SlowStreams", 1)
	j.slow = &slowClient{queue: queue, out: out, done: make(chan struct{})}
	go j.slow.run()
	return nil
}

// awaitWritten waits until the client has got all events that were queued, or the request
// has ended.
func (j *job) awaitWritten() error {
	s := j.slow
	if s == nil {
		return nil
	}
	select {
	case <-s.done:
	case <-j.ctx.Done():
		// The writer must not use the output after the end of the request.
		s.queue.Drop(context.Cause(j.ctx))
		s.out.Abort()
		<-s.done
	}
	j.slow = nil
	return s.err
}

// finishSlow ends the writer of a stream that has not ended as a whole. The client gets what
// is queued, unless it is gone or its time is over.
func (j *job) finishSlow() {
	// The reason was logged with the end of the request.
	_ = j.awaitWritten()
}

// cause returns why the request was canceled, nil if it was not. The end of its queue comes
// before the cancellation that follows from it.
func (j *job) cause() error {
	if j.slow != nil {
		if err := j.slow.queue.Err(); err != nil {
			return err
		}
	}
	return context.Cause(j.ctx)
}

// sendReason returns the reason of a request whose response could not be sent.
func (j *job) sendReason(err error) Reason {
	if cause := context.Cause(j.ctx); cause != nil && errors.Is(err, cause) {
		return cutReason(cause)
	}
	if isTooSlow(err) {
		return tooSlow
	}
	return notDelivered
}

// cutReason returns the reason of a stream that broke off before its end, by the cause of
// the cancellation of the request, nil if it was not canceled.
func cutReason(cause error) Reason {
	switch {
	case cause == nil:
		return streamBroken
	case errors.Is(cause, errTimeout):
		return timedOut
	case errors.Is(cause, ErrStopped):
		return stopping
	case errors.Is(cause, errUnwritten):
		return notDelivered
	case isTooSlow(cause):
		return tooSlow
	}
	return clientGone
}

// isTooSlow reports whether a stream was aborted because of the bounds on what is kept for
// slow clients.
func isTooSlow(err error) bool {
	return errors.Is(err, spool.ErrBehind) || errors.Is(err, spool.ErrStreamFull) || errors.Is(err, spool.ErrFull)
}
