package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Keeper acquires and renews a lease while it runs. The exported fields, except
// Margin, must be set before Run. Its methods are safe for concurrent use.
type Keeper struct {
	// Name is the name of the lease, Holder the name of this process.
	Name   string
	Holder string
	Store  store.Writer
	Trace  *trace.Timeline
	// Margin becomes Lease.Margin.
	Margin func(time.Duration) time.Duration

	mu    sync.Mutex
	lease Lease
}

// Key returns the key of the lease's object.
func (k *Keeper) Key() string { return "lease/" + k.Name }

// Grant returns the current grant, or false if this process doesn't hold a valid
// lease.
func (k *Keeper) Grant() (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Grant(time.Now())
}

// Record returns the lease's record as last read or written.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Record()
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.lease.Holder, k.lease.Margin = k.Holder, k.Margin
	k.mu.Unlock()
	for {
		k.Step(ctx)
		if !timer.Wait(ctx, k.interval()) {
			k.release()
			return
		}
	}
}

// interval returns the pause until the next step.
func (k *Keeper) interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.Held() {
		return RenewInterval
	}
	return PollInterval
}

// Step renews the lease if it is held, else reads the object and acquires the
// lease if it is free. Errors of the store are not returned, since the next step
// tries again.
func (k *Keeper) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, RenewInterval)
	defer cancel()
	if !k.held() {
		object, err := k.Store.Get(ctx, k.Key())
		if errors.Is(err, store.ErrAbsent) {
			object, err = store.Object{Key: k.Key()}, nil
		}
		if err != nil {
			return
		}
		k.mu.Lock()
		k.lease.Observe(time.Now(), object)
		free := k.lease.Free(time.Now())
		k.mu.Unlock()
		if !free {
			return
		}
	}
	k.write(ctx, (*Lease).AcquireWrite)
}

func (k *Keeper) held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Held()
}

// write writes the object that prepare returns and records the outcome.
func (k *Keeper) write(ctx context.Context, prepare func(*Lease, string, string) (store.Object, Record)) {
	sent := time.Now()
	k.mu.Lock()
	wasHeld := k.lease.Held()
	object, record := prepare(&k.lease, k.Key(), uuid.NewString())
	k.mu.Unlock()
	isOwn := func(value []byte) bool {
		var found Record
		return json.Unmarshal(value, &found) == nil && found.Write == record.Write
	}
	version, err := store.Settle(ctx, k.Store, object, isOwn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.lease.RecordWrite(sent, time.Now(), record, version)
		k.traceWrite(wasHeld, record)
		return
	}
	if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
		// Another write came first, or this one may have taken effect. The
		// object has to be read before the next write.
		k.lease.MarkLost()
		if wasHeld {
			k.Trace.Add(trace.Event{Kind: trace.LeaseLost, Detail: k.Name})
		}
	}
}

// traceWrite traces an acquisition or a release; renewals are not traced. The
// caller must hold mu.
func (k *Keeper) traceWrite(wasHeld bool, record Record) {
	switch {
	case record.Released:
		k.Trace.Add(trace.Event{Kind: trace.LeaseReleased, Detail: k.Name})
	case !wasHeld:
		k.Trace.Add(trace.Event{Kind: trace.LeaseTaken, Detail: fmt.Sprintf("%s fence %d", k.Name, record.Fence)})
	}
}

// releaseTimeout bounds the release of the lease at the end of Run.
const releaseTimeout = 2 * time.Second

// release releases the lease if it is held. Run calls it after its context has
// ended, so it has a context of its own.
func (k *Keeper) release() {
	if !k.held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	k.write(ctx, (*Lease).ReleaseWrite)
}
