// Package spool accounts for the bytes that a process keeps in memory for its
// clients, and queues the events of streams whose clients read slowly.
//
// A Pool counts bytes against a limit that all requests share: those of whole
// responses, and those of queues. While the limit is reached, the stream of the
// client that is furthest behind is aborted: the one with the most bytes in its
// queue, and among equals the one that has waited longest. Its bytes are free at
// once, so that the request that needs them goes on.
//
// A Queue belongs to one stream, and exists only while its client is behind. One
// goroutine adds events, another one writes them to the client.
//
// # Usage
//
//	var pool spool.Pool
//	q, err := pool.Open(now, limit, len(event), abort) // the event is being written
//	go func() {
//		for text, ok := q.Next(now); ok; text, ok = q.Next(now) {
//			write(text) // one or more whole events
//		}
//	}()
//	added, err := q.Add(ctx, text)
//
// Add returns false once the writer has written everything and ended: the next
// event is written without a queue. The package knows neither clients nor
// connections. The zero value of Pool is ready to use, and all methods are safe for
// concurrent use.
package spool

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrFull means that the limit of all requests together is reached, and that no
	// stream can be aborted to make room.
	ErrFull = errors.New("too many bytes of responses are buffered")
	// ErrBehind means that a stream was aborted since its client is furthest behind
	// while the limit of all requests together is reached.
	ErrBehind = errors.New("client is furthest behind, and too many bytes of responses are buffered")
	// ErrStreamFull means that the bytes of one stream have been at StreamBytes for
	// RoomTimeout.
	ErrStreamFull = errors.New("client does not read, and too many bytes of its stream are buffered")
)

const (
	// StreamBytes bounds the bytes in one queue. A larger event is taken if it is
	// alone.
	StreamBytes = 256 << 10
	// RoomTimeout is how long a queue may be full before its stream is aborted. The
	// response is not read meanwhile, and backend servers abort a response that
	// remains unread for about 2 s.
	RoomTimeout = time.Second
	// segmentBytes is the size of the buffers that a queue consists of.
	segmentBytes = 4 << 10
)

// Pool counts the bytes that are in memory for all clients.
type Pool struct {
	used atomic.Int64

	// mu guards the queues and all their fields.
	mu     sync.Mutex
	queues map[*Queue]struct{}
}

// Load returns the bytes that are reserved.
func (p *Pool) Load() int64 { return p.used.Load() }

// Reserve reserves n bytes if not more than limit are reserved then; 0 means no limit.
// If there is no room, it aborts the streams that are furthest behind, unless that
// cannot make enough room. It returns ErrFull then.
func (p *Pool) Reserve(n int, limit int64) error {
	if p.take(n, limit) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserve(n, limit)
}

// Free gives back reserved bytes.
func (p *Pool) Free(n int) { p.used.Add(-int64(n)) }

// Queues returns the number of queues and the bytes that they have reserved.
func (p *Pool) Queues() (count, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queues), p.queued()
}

// take reserves n bytes, or returns false if they exceed the limit.
func (p *Pool) take(n int, limit int64) bool {
	for {
		before := p.used.Load()
		if limit > 0 && before+int64(n) > limit {
			return false
		}
		if p.used.CompareAndSwap(before, before+int64(n)) {
			return true
		}
	}
}

// reserve is Reserve with p.mu held.
func (p *Pool) reserve(n int, limit int64) error {
	for !p.take(n, limit) {
		if p.used.Load()-int64(p.queued())+int64(n) > limit {
			return ErrFull
		}
		if q := p.furthest(); q != nil {
			q.drop(ErrBehind)
		}
	}
	return nil
}

// queued returns the bytes of all queues. p.mu must be held.
func (p *Pool) queued() int {
	bytes := 0
	for q := range p.queues {
		bytes += q.bytes
	}
	return bytes
}

// furthest returns the queue of the client that is furthest behind, nil if there is
// none. p.mu must be held.
func (p *Pool) furthest() *Queue {
	var last *Queue
	for q := range p.queues {
		if last == nil || q.behind(last) {
			last = q
		}
	}
	return last
}
