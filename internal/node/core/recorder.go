package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// recorder writes the origins of streams to the store, so that they outlive all
// processes. One call writes all records that wait. It is safe for concurrent use.
type recorder struct {
	node *Node
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	pending []*recording
	// written are the records of the last recordLife, oldest first; they are written again
	// if the store has lost them.
	written []written
	// failed is when the last write failed, zero if it did not.
	failed time.Time

	// lastChunk is the number of the latest chunk. Only the task uses it.
	lastChunk int64
}

// recording is a record that waits to be written.
type recording struct {
	origin.Record
	added time.Time
	// done is closed once the record is in the store.
	done chan struct{}
}

// written is a record in the store.
type written struct {
	origin.Record
	at time.Time
}

// chunk is an entry of the store with the records that are added to it.
type chunk struct {
	key     string
	version uint64
	records []origin.Record
}

const (
	// maxPending bounds the records that wait, maxWritten those that are kept to be
	// written again.
	maxPending = 4096
	maxWritten = 1 << 14
	// chunkRecords is the number of records from which on the next entry is begun.
	chunkRecords = 256
	// recordPatience is how long a record waits to be written. Its client has its events
	// by then.
	recordPatience = 2 * time.Second
	// recordWriteShare is the share of the store's writing calls per second that all
	// processes together may use for records, recordBurst how many calls of one process
	// may follow each other at once.
	recordWriteShare = 0.5
	recordBurst      = 4
	// recordSpacing is the least mean time between two calls of one process. Calls are
	// paid for, and an engine needs about as long until the first event.
	recordSpacing = 50 * time.Millisecond
	// minRecordRate is the least number of calls per second of one process.
	minRecordRate = 0.5
	// recordBackoff is the mean pause after a failed write. For recordPause after it no
	// stream begins where it has to be recorded, if it can begin elsewhere.
	recordBackoff = 40 * time.Millisecond
	recordPause   = 500 * time.Millisecond
	// recordTimeout is how long a client waits for its first event until the origin is
	// recorded.
	recordTimeout = 400 * time.Millisecond
)

func newRecorder(n *Node) *recorder { return &recorder{node: n, wake: make(chan struct{}, 1)} }

// add queues a record and returns a channel that is closed once it is in the store. If too
// many wait, it is not written, and the channel is never closed.
func (r *recorder) add(now time.Time, record origin.Record) <-chan struct{} {
	done := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) >= maxPending {
		r.node.Meters.Add("StreamsNotRecorded", 1)
		return done
	}
	r.pending = append(r.pending, &recording{record, now, done})
	r.wakeUp()
	return done
}

func (r *recorder) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// works reports whether records are likely to reach the store. A while after a failure it
// has to be tried again.
func (r *recorder) works(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := len(r.pending) > 0 && now.Sub(r.pending[0].added) > recordTimeout
	return !late && (r.failed.IsZero() || now.Sub(r.failed) > recordPause)
}

// waiting reports whether records wait.
func (r *recorder) waiting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}

// rewrite writes the records again that the store may have lost.
func (r *recorder) rewrite(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.written
	r.written = nil
	for _, w := range again {
		if now.Sub(w.at) < r.node.streamLife() && len(r.pending) < maxPending {
			r.pending = append(r.pending, &recording{w.Record, now, make(chan struct{})})
		}
	}
	r.wakeUp()
}

// Run writes records until ctx ends and returns its error.
func (r *recorder) Run(ctx context.Context) error {
	allowance := allowance{last: time.Now()}
	current := &chunk{}
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for r.waiting() && timer.Wait(ctx, allowance.take(time.Now(), r.interval())) {
			current = r.writeBatch(ctx, current)
		}
	}
}

// writeBatch writes the records that wait and returns the chunk for the next ones.
func (r *recorder) writeBatch(ctx context.Context, current *chunk) *chunk {
	batch := r.take(time.Now())
	if len(batch) == 0 {
		return current
	}
	next, err := r.write(ctx, current, batch)
	r.settle(time.Now(), batch, err)
	if err != nil {
		timer.Wait(ctx, recordBackoff/2+rand.N(recordBackoff))
	}
	return next
}

// interval returns the mean time between two calls of this process.
func (r *recorder) interval() time.Duration {
	share := recordWriteShare * r.node.StoreWrites / float64(r.node.peers.Members())
	return max(time.Duration(float64(time.Second)/max(share, minRecordRate)), recordSpacing)
}

// allowance spaces calls out. It saves up to recordBurst calls.
type allowance struct {
	last  time.Time
	saved float64
}

// take uses a call up and returns how long to wait before it.
func (a *allowance) take(now time.Time, interval time.Duration) time.Duration {
	a.saved = min(a.saved+float64(now.Sub(a.last))/float64(interval), recordBurst) - 1
	a.last = now
	return time.Duration(max(-a.saved, 0) * float64(interval))
}

// take returns the records that wait, and drops those that have waited too long.
func (r *recorder) take(now time.Time) []*recording {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch []*recording
	for i, p := range r.pending {
		if len(batch) == origin.MaxRecords/2 {
			r.pending = r.pending[i:]
			r.wakeUp()
			return batch
		}
		if now.Sub(p.added) > recordPatience {
			r.node.Meters.Add("StreamsNotRecorded", 1)
			continue
		}
		batch = append(batch, p)
	}
	r.pending = nil
	return batch
}

// write adds the records to the chunk, or to a new one if that is full. It returns the
// chunk for the next records: after a failed write a new one, as the write may take effect
// later.
func (r *recorder) write(ctx context.Context, c *chunk, batch []*recording) (*chunk, error) {
	if c.version == 0 || len(c.records) >= chunkRecords {
		c = &chunk{key: fmt.Sprintf("%s/%s.%x", r.node.Keys.StreamsKind, r.node.Name, r.nextChunk(time.Now()))}
	}
	for _, p := range batch {
		c.records = append(c.records, p.Record)
	}
	version, err := r.node.Store.Put(ctx, store.Object{Key: c.key, Value: origin.EncodeRecords(c.records), Version: c.version})
	if err != nil {
		return &chunk{}, fmt.Errorf("record streams: %w", err)
	}
	c.version = version
	return c, nil
}

// nextChunk returns the number of the next chunk. It grows also if the time of day goes
// back, since the later record of a stream counts.
func (r *recorder) nextChunk(now time.Time) int64 {
	r.lastChunk = max(r.lastChunk+1, now.UnixNano())
	return r.lastChunk
}

// settle ends the wait for records that are written, and queues them again if they are not.
func (r *recorder) settle(now time.Time, batch []*recording, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.failed.IsZero() && !errors.Is(err, context.Canceled) {
			r.node.Log.Warn("origins of streams can't be written to the store", zap.Int("Records", len(batch)), zap.Error(err))
		}
		r.failed = now
		r.pending = append(batch, r.pending...)
		return
	}
	r.failed = time.Time{}
	r.node.Meters.Add("StreamsRecorded", int64(len(batch)))
	for _, p := range batch {
		close(p.done)
		r.written = append(r.written, written{p.Record, now})
	}
	expired := max(len(r.written)-maxWritten, 0)
	for expired < len(r.written) && now.Sub(r.written[expired].at) > r.node.streamLife() {
		expired++
	}
	r.written = r.written[expired:]
}
