package spool

import (
	"context"
	"time"
)

// Queue has the events of one stream that have been read and not written to the
// client. The mutex of the pool guards all fields but those that never change.
type Queue struct {
	pool  *Pool
	limit int64
	abort func()
	// wake has an element if bytes have become free since it was last empty.
	wake chan struct{}

	// segments has whole events in order. bytes is what the queue has reserved, and
	// writing the part of it that the writer is writing.
	segments       [][]byte
	bytes, writing int
	// since is when the writer last began to write something.
	since time.Time
	// err is why the queue was dropped, ended is set once the writer has written
	// everything.
	err   error
	ended bool
}

// Open returns a queue for a stream, of which n bytes are being written. abort is called
// once if the queue is dropped; it must not block or call methods of the pool or its queues.
func (p *Pool) Open(now time.Time, limit int64, n int, abort func()) (*Queue, error) {
	q := &Queue{pool: p, limit: limit, abort: abort, wake: make(chan struct{}, 1), since: now, bytes: n, writing: n}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reserve(n, limit); err != nil {
		return nil, err
	}
	if p.queues == nil {
		p.queues = map[*Queue]struct{}{}
	}
	p.queues[q] = struct{}{}
	return q, nil
}

// behind reports whether the client of q is further behind than that of o.
func (q *Queue) behind(o *Queue) bool {
	if q.bytes != o.bytes {
		return q.bytes > o.bytes
	}
	return q.since.Before(o.since)
}

// Add adds an event, which it copies. It returns false if the writer has ended, so that
// nothing is left to be written before the event. While the queue is full, it waits for
// RoomTimeout or until ctx ends. After an error the stream must be aborted.
func (q *Queue) Add(ctx context.Context, text []byte) (bool, error) {
	var timeout <-chan time.Time
	for {
		added, room, err := q.tryAdd(text)
		if room || err != nil {
			return added, err
		}
		if timeout == nil {
			timer := time.NewTimer(RoomTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return false, context.Cause(ctx)
		case <-timeout:
			q.Drop(ErrStreamFull)
			return false, ErrStreamFull
		}
	}
}

// tryAdd adds an event if the queue has room for it and its writer has not ended.
func (q *Queue) tryAdd(text []byte) (added, room bool, err error) {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.err != nil || q.ended {
		return false, true, q.err
	}
	if last := len(q.segments) - 1; last >= 0 && cap(q.segments[last])-len(q.segments[last]) >= len(text) {
		q.segments[last] = append(q.segments[last], text...)
		return true, true, nil
	}
	size := max(segmentBytes, len(text))
	// What is being written does not count here: an event that is larger than the bound
	// may be under way to a client that reads as fast as it can.
	if waiting := q.bytes - q.writing; waiting > 0 && waiting+size > StreamBytes {
		return false, false, nil
	}
	if err := q.pool.reserve(size, q.limit); err != nil {
		q.drop(err)
		return false, true, err
	}
	if q.err != nil {
		// This stream was the one furthest behind.
		q.pool.Free(size)
		return false, true, q.err
	}
	q.bytes += size
	q.segments = append(q.segments, append(make([]byte, 0, size), text...))
	return true, true, nil
}

// Next is called by the writer once it has written what it had. It returns what to write
// next, or false if that is nothing: the writer ends then.
func (q *Queue) Next(now time.Time) ([]byte, bool) {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.err != nil {
		return nil, false
	}
	q.pool.Free(q.writing)
	q.bytes -= q.writing
	q.writing, q.since = 0, now
	if len(q.segments) == 0 {
		q.ended = true
		delete(q.pool.queues, q)
		return nil, false
	}
	text := q.segments[0]
	q.segments[0] = nil
	q.segments = q.segments[1:]
	q.writing = cap(text)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return text, true
}

// Err returns why the queue was dropped, nil if it was not.
func (q *Queue) Err() error {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	return q.err
}

// Drop ends the queue with an error and frees its bytes. Further calls have no effect.
func (q *Queue) Drop(err error) {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	q.drop(err)
}

// drop is Drop with the mutex of the pool held.
func (q *Queue) drop(err error) {
	if q.err != nil || q.ended {
		return
	}
	q.err = err
	q.pool.Free(q.bytes)
	q.bytes, q.writing, q.segments = 0, 0, nil
	delete(q.pool.queues, q)
	q.abort()
}
