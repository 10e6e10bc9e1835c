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

// recall reads the recorded origins of streams from the store: all of them when the process
// starts, and again when a client resumes a stream that no process remembers. One list
// serves all requests that wait for it. It is safe for concurrent use.
type recall struct {
	node *Node
	wake chan struct{}

	// mu guards waiting, the requests that wait for the next list, recorded, which has the
	// streams of the latest list and is not changed, and listed.
	mu       sync.Mutex
	waiting  []chan error
	recorded map[uint64]origin.Record
	// listed is when the latest list began.
	listed time.Time
	// seen has the entries by key and since when each has had its version. Only the task
	// uses it.
	seen map[string]sighting
}

// sighting is an entry's version and when it was first seen.
type sighting struct {
	version uint64
	at      time.Time
}

const (
	// maxRecalled bounds the records that are read. If there are more, nothing is known.
	maxRecalled = 1 << 18
	// recallTimeout bounds the wait of a request for the records in the store.
	recallTimeout = time.Second
	// recallPause is the least pause between two lists, recallPerProcess that for each
	// process of the system: all may list at once after a mass restart, a megabyte each.
	recallPause      = 100 * time.Millisecond
	recallPerProcess = 8 * time.Millisecond
	// recallRetry is the mean pause after a list that failed before the first succeeded.
	recallRetry = 150 * time.Millisecond
	// sweepPerLife is how many times within the life of a stream one process looks for
	// entries that are too old.
	sweepPerLife = 2
)

// errStoreBack means that records may have been lost since the defaults were heard of.
var errStoreBack = errors.New("the store has come back from an older copy")

// errManyRecords means that the records can't all be remembered.
var errManyRecords = errors.New("the store has too many records of streams")

func newRecall(n *Node) *recall {
	return &recall{node: n, wake: make(chan struct{}, 1), seen: map[string]sighting{}}
}

// pause returns the pause between two lists.
func (r *recall) pause() time.Duration {
	return max(recallPause, recallPerProcess*time.Duration(r.node.peers.Members()))
}

// await waits for a list that begins after the call. In a large system the latest one
// counts until the next may begin, if peers were asked: what has been recorded since is
// remembered by those that were told. An error means that there is no list.
func (r *recall) await(ctx context.Context, peersAsked bool) error {
	done := make(chan error, 1)
	pause := r.pause()
	r.mu.Lock()
	if peersAsked && pause > recallTimeout/2 && time.Since(r.listed) < pause {
		r.mu.Unlock()
		return nil
	}
	r.waiting = append(r.waiting, done)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for the records of streams: %w", ctx.Err())
	}
}

// Run lists the records until ctx ends and returns its error.
func (r *recall) Run(ctx context.Context) error {
	for !r.node.streamsListed.Load() {
		if err := r.list(ctx); err == nil || errors.Is(err, errManyRecords) {
			r.node.streamsListed.Store(true)
			break
		}
		if !timer.Wait(ctx, recallRetry/2+rand.N(recallRetry)) {
			return ctx.Err()
		}
	}
	sweep := time.NewTimer(r.node.streamLife() / sweepPerLife)
	defer sweep.Stop()
	for ctx.Err() == nil {
		select {
		case <-r.wake:
			r.serve(ctx)
			timer.Wait(ctx, r.pause())
		case <-sweep.C:
			r.sweep(ctx)
			sweep.Reset(r.node.streamLife() / sweepPerLife)
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// serve lists the records for the requests that wait.
func (r *recall) serve(ctx context.Context) {
	r.mu.Lock()
	waiting := r.waiting
	r.waiting = nil
	r.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	err := r.list(ctx)
	for _, done := range waiting {
		done <- err
	}
}

// list reads all records.
func (r *recall) list(ctx context.Context) error {
	began := time.Now()
	err := r.node.origins.defaults.refresh(ctx)
	var chunks []store.Object
	if err == nil {
		chunks, err = r.read(ctx)
	}
	if err != nil {
		r.node.Log.Info("records of streams can't be read", zap.Error(err))
		return err
	}
	var all []origin.Record
	for _, o := range chunks {
		records, err := origin.ParseRecords(o.Value)
		if err != nil {
			r.node.logInvalid(o, err)
			continue
		}
		all = append(all, records...)
		if len(all) > maxRecalled {
			return errManyRecords
		}
	}
	latest := origin.Latest(all)
	r.mu.Lock()
	r.recorded, r.listed = latest, began
	r.mu.Unlock()
	r.node.Meters.Add("StreamsRecalled", int64(len(latest)))
	return nil
}

// find returns the recorded origin of a stream, as of the latest list. It is where the
// request was sent: if a process remembers where the stream began, that counts instead.
func (r *recall) find(key uint64) (origin.Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.recorded[key]
	return record.Origin, known
}

// only reports whether all streams that are recorded of a service began at its version.
func (r *recall) only(o origin.Origin) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.recorded {
		if other.Service == o.Service && other.Origin != o {
			return false
		}
	}
	return true
}

// read returns all entries with records.
func (r *recall) read(ctx context.Context) ([]store.Object, error) {
	var all []store.Object
	for after := ""; ; {
		page, err := r.node.Feed.List(ctx, r.node.Keys.StreamsKind, after)
		if err != nil {
			return nil, fmt.Errorf("list records of streams: %w", err)
		}
		if r.node.origins.defaults.precedes(page) {
			return nil, errStoreBack
		}
		all = append(all, page.Objects...)
		if after = page.Next; after == "" {
			break
		}
	}
	return all, nil
}

// sweep removes the entries to which nothing has been added for the life of a stream. One
// process does so for all, and serves the requests that wait meanwhile.
func (r *recall) sweep(ctx context.Context) {
	if !r.node.keepsOrigins() {
		clear(r.seen)
		return
	}
	chunks, err := r.read(ctx)
	if err != nil {
		return
	}
	now, present := time.Now(), map[string]sighting{}
	served := now
	for _, o := range chunks {
		if time.Since(served) > recallPause {
			r.serve(ctx)
			served = time.Now()
		}
		s, known := r.seen[o.Key]
		if !known || s.version != o.Version {
			s = sighting{o.Version, now}
		}
		if now.Sub(s.at) < r.node.streamLife() {
			present[o.Key] = s
			continue
		}
		if _, err := r.node.Store.Put(ctx, store.Object{Key: o.Key, Version: o.Version}); err != nil && !errors.Is(err, store.ErrConflict) {
			present[o.Key] = s
			r.node.Log.Info("old records of streams can't be removed", zap.String("Key", o.Key), zap.Error(err))
		}
	}
	r.seen = present
}
