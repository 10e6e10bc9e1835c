package core

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/origin"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// recorder writes the origins of streams to the store, so that they outlive all
// processes. One call writes all records that wait, and a few processes, the writers, write
// those of all. A process that gets no response from its writer writes by itself, which
// does no harm if both do. It is safe for concurrent use.
//
// A record is delegated to the writer, or pending here until a task takes it into a batch;
// a batch is added to the task's current chunk. It is then written, and its client gets
// the first event.
type recorder struct {
	node *Node
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	pending []*recording
	// delegated are the records that the writer has been asked to write.
	delegated map[recordKey]*recording
	// written are the latest records in the store, oldest first; they are written again if
	// the store has lost them.
	written []written
	// failed is when the last write failed, zero if it did not, failingSince when the first
	// one did since a write succeeded.
	failed, failingSince time.Time
	// writing has when the calls in progress began.
	writing map[*chunk]time.Time

	// lastChunk is the number of the latest chunk.
	lastChunk int64
	allowance allowance
}

// recording is a record that waits to be written.
type recording struct {
	origin.Record
	added time.Time
	// done is closed once the record is in the store. It is nil if the record is that of a
	// peer, which is told.
	done chan struct{}
	peer string
}

// recordKey identifies a record.
type recordKey struct {
	stream  uint64
	attempt uint8
}

func (r *recording) key() recordKey { return recordKey{r.Stream, r.Attempt} }

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
	chunkRecords = 512
	// recordPatience is how long a record waits to be written. Its client has its events
	// by then.
	recordPatience = 2 * time.Second
	// recordWriteShare is the share of the store's writing calls per second that all
	// processes together may use for records, recordBurst how many calls of one process
	// may follow each other at once.
	recordWriteShare = 0.5
	recordBurst      = 4
	// recordTasks is the number of calls that one process makes at the same time.
	recordTasks = 16
	// recordSpacing is the least mean time between two calls of one process. Calls are
	// paid for, and an engine needs longer until the first event.
	recordSpacing = 15 * time.Millisecond
	// processesPerWriter is the number of processes for which one writes records.
	processesPerWriter = 64
	// writerTimeout is how long a process waits for its writer before it writes a record by
	// itself.
	writerTimeout = 60 * time.Millisecond
	// maxRecordsTold bounds the records in one message, so that it fits one packet.
	maxRecordsTold = 40
	// minRecordRate is the least number of calls per second of one process.
	minRecordRate = 0.5
	// recordBackoff is the mean pause after a failed write. For recordPause after it no
	// stream begins where it has to be recorded, if it can begin elsewhere.
	recordBackoff = 40 * time.Millisecond
	recordPause   = 500 * time.Millisecond
	// recordTimeout is how long a client waits for its first event until the origin is
	// recorded.
	recordTimeout = 400 * time.Millisecond
	// recordLate is how long a write may take until records are taken not to reach the store.
	// It is shorter than recordTimeout, so that a stream whose record is in that write does
	// not begin without it.
	recordLate = 300 * time.Millisecond
)

func newRecorder(n *Node) *recorder {
	return &recorder{node: n, wake: make(chan struct{}, 1), delegated: map[recordKey]*recording{}, writing: map[*chunk]time.Time{}}
}

// writers returns the processes that write the records of all.
func (r *recorder) writers() []string {
	return r.node.peers.Coordinators(originsKey, r.node.stopping.Load(), 1+r.node.peers.Live()/processesPerWriter)
}

// writer returns the process that writes the records of this one.
func (r *recorder) writer() string {
	writers := r.writers()
	if len(writers) == 0 || slices.Contains(writers, r.node.Name) {
		return r.node.Name
	}
	return writers[xxhash.Sum64String(r.node.Name)%uint64(len(writers))]
}

// record has a record written and returns a channel that is closed once it is in the store.
// If too many wait, it is not written, and the channel is never closed.
func (r *recorder) record(now time.Time, record origin.Record) <-chan struct{} {
	own := &recording{Record: record, added: now, done: make(chan struct{})}
	writer := r.writer()
	r.mu.Lock()
	defer r.mu.Unlock()
	if writer == r.node.Name || len(r.delegated) >= maxPending {
		r.add(own)
		return own.done
	}
	r.delegated[own.key()] = own
	time.AfterFunc(writerTimeout, func() { r.takeBack(own) })
	r.node.coordination.push(writer, &wire.News{Records: []*wire.StreamRecord{{
		Stream: record.Stream, Service: record.Service, Version: record.Version, Attempt: uint32(record.Attempt),
	}}})
	return own.done
}

// takeBack queues a record here that the writer has not written in time.
func (r *recorder) takeBack(own *recording) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delegated[own.key()] == own {
		delete(r.delegated, own.key())
		r.add(own)
	}
}

// handle handles the records of a peer, and what it says of those that it has written.
func (r *recorder) handle(now time.Time, message *wire.News) {
	if len(message.Records)+len(message.Recorded) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range message.Records {
		o := origin.Origin{Service: m.Service, Version: m.Version}
		if o.Valid() && m.Attempt <= math.MaxUint8 {
			r.add(&recording{Record: origin.Record{Stream: m.Stream, Origin: o, Attempt: uint8(m.Attempt)}, added: now, peer: message.From})
		}
	}
	for _, m := range message.Recorded {
		key := recordKey{m.Stream, uint8(m.Attempt)}
		if own, waits := r.delegated[key]; waits {
			delete(r.delegated, key)
			r.finish(now, own)
		}
	}
}

// add queues a record. r.mu must be held.
func (r *recorder) add(record *recording) {
	if len(r.pending) >= maxPending {
		r.node.Meters.Add("StreamsNotRecorded", 1)
		return
	}
	r.pending = append(r.pending, record)
	r.wakeUp()
}

// finish ends the wait for a record that is in the store. r.mu must be held.
func (r *recorder) finish(now time.Time, record *recording) {
	if record.done != nil {
		close(record.done)
	}
	r.written = append(r.written, written{record.Record, now})
	r.trim(now)
}

// trim forgets the records that need not be written again. r.mu must be held.
func (r *recorder) trim(now time.Time) {
	life, expired := r.node.streamLife(), max(len(r.written)-maxWritten, 0)
	for expired < len(r.written) && now.Sub(r.written[expired].at) > life {
		expired++
	}
	r.written = r.written[expired:]
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
	for _, began := range r.writing {
		late = late || now.Sub(began) > recordLate
	}
	return !late && (r.failed.IsZero() || now.Sub(r.failed) > recordPause)
}

// fails reports whether no write has succeeded for longer than a client waits for one.
func (r *recorder) fails(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failingSince.IsZero() && now.Sub(r.failingSince) > recordTimeout
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
	var again []*recording
	room := max(maxPending-len(r.pending), 0)
	for _, w := range r.written[max(len(r.written)-room, 0):] {
		if now.Sub(w.at) < r.node.streamLife() {
			again = append(again, &recording{Record: w.Record, added: now})
		}
	}
	r.pending, r.written = append(again, r.pending...), nil
	r.wakeUp()
}

// Run writes records until ctx ends and returns its error. Several tasks may run it, so
// that records do not wait for the end of a slow call.
func (r *recorder) Run(ctx context.Context) error {
	current := &chunk{}
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for r.waiting() && timer.Wait(ctx, r.nextCall(time.Now())) {
			current = r.writeBatch(ctx, current)
		}
	}
}

// nextCall takes a call from the allowance and returns how long to wait before it.
func (r *recorder) nextCall(now time.Time) time.Duration {
	interval := r.interval()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowance.take(now, interval)
}

// returnCall gives a call of the allowance back.
func (r *recorder) returnCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowance.saved++
}

// writeBatch writes the records that wait and returns the chunk for the next ones.
func (r *recorder) writeBatch(ctx context.Context, current *chunk) *chunk {
	batch := r.take(time.Now())
	if len(batch) == 0 {
		// Another task has been faster.
		r.returnCall()
		return current
	}
	next, err := r.write(ctx, current, batch)
	r.settle(time.Now(), batch, err)
	if err != nil {
		timer.Wait(ctx, recordBackoff/2+rand.N(recordBackoff))
	}
	return next
}

// interval returns the mean time between two calls of this process. Those that are not
// writers have their share as well, for the case that they get no response from one.
func (r *recorder) interval() time.Duration {
	share := recordWriteShare * r.node.StoreWrites / float64(r.node.peers.Members())
	if writers := r.writers(); slices.Contains(writers, r.node.Name) {
		share = recordWriteShare * r.node.StoreWrites / float64(len(writers))
	}
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
	r.noteWriting(c, time.Now())
	version, err := r.node.Store.Put(ctx, store.Object{Key: c.key, Value: origin.EncodeRecords(c.records), Version: c.version})
	r.noteWriting(c, time.Time{})
	if err != nil {
		return &chunk{}, fmt.Errorf("record streams: %w", err)
	}
	c.version = version
	return c, nil
}

// noteWriting records when a call began, or with the zero time that it has ended.
func (r *recorder) noteWriting(c *chunk, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began.IsZero() {
		delete(r.writing, c)
		return
	}
	r.writing[c] = began
}

// nextChunk returns the number of the next chunk. It grows also if the time of day goes
// back, so that no number comes twice.
func (r *recorder) nextChunk(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
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
		if r.failed.IsZero() {
			r.failingSince = now
		}
		r.failed = now
		r.pending = append(batch, r.pending...)
		return
	}
	r.failed, r.failingSince = time.Time{}, time.Time{}
	r.node.Meters.Add("StreamsRecorded", int64(len(batch)))
	told := map[string][]*wire.StreamRecord{}
	for _, p := range batch {
		r.finish(now, p)
		if p.peer != "" {
			told[p.peer] = append(told[p.peer], &wire.StreamRecord{Stream: p.Stream, Attempt: uint32(p.Attempt)})
		}
	}
	for peer, list := range told {
		for part := range slices.Chunk(list, maxRecordsTold) {
			r.node.coordination.push(peer, &wire.News{Recorded: part})
		}
	}
}
