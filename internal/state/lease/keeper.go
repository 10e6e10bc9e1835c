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

// Keeper acquires and renews a lease while it runs. Name, Holder and Store must be set
// before the first call of Run or Step. Its methods are safe for concurrent use.
type Keeper struct {
	// Name is the name of the lease, Holder the name of this process.
	Name   string
	Holder string
	Store  store.Writer
	// Trace, if set, gets the acquisitions, losses and releases.
	Trace *trace.Timeline
	Timing
	// Era returns the latest era of the store that is known. It is needed if the store
	// has eras, since the response for an absent object has no version.
	Era func() uint64
	// Margin becomes Lease.Margin.
	Margin func(time.Duration) time.Duration

	mu    sync.Mutex
	lease Lease
	// notBefore is the earliest time of the next acquisition.
	notBefore time.Time
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
	for {
		k.Step(ctx)
		if !timer.Wait(ctx, k.Interval()) {
			k.Release()
			return
		}
	}
}

// Interval returns the pause until the next step. It ends when the lease may be acquired
// again at the latest.
func (k *Keeper) Interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.Held() {
		return k.renewInterval()
	}
	now := time.Now()
	interval := k.lease.poll(now)
	if deferred := k.notBefore.Sub(now); deferred > 0 {
		interval = min(interval, deferred)
	}
	return interval
}

// Step renews the lease if it is held, else reads the object and acquires the
// lease if it is free. Errors of the store are not returned, since the next step
// tries again.
func (k *Keeper) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.renewInterval())
	defer cancel()
	k.mu.Lock()
	k.lease.Holder, k.lease.Margin, k.lease.Timing = k.Holder, k.Margin, k.Timing
	k.mu.Unlock()
	if !k.Held() {
		object, err := k.Store.Get(ctx, k.Key())
		if errors.Is(err, store.ErrAbsent) {
			object, err = store.Object{Key: k.Key(), Version: store.Version(k.era(), 0)}, nil
		}
		if err != nil {
			return
		}
		k.mu.Lock()
		k.lease.Observe(time.Now(), object)
		free := k.lease.Own() || k.lease.Free(time.Now()) && !time.Now().Before(k.notBefore)
		k.mu.Unlock()
		if !free {
			return
		}
	}
	k.write(ctx, (*Lease).AcquireWrite)
}

// Defer sets the earliest time of the next acquisition. A lease that this process still
// has in the store is renewed before that.
func (k *Keeper) Defer(until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notBefore = until
}

// era returns the era of the store.
func (k *Keeper) era() uint64 {
	if k.Era == nil {
		return 0
	}
	return k.Era()
}

// Held reports whether this process acquired the lease and has not seen it lost or
// released, even if its grant has ended.
func (k *Keeper) Held() bool {
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
			k.event(trace.LeaseLost, k.Name)
		}
	}
}

// traceWrite traces an acquisition or a release; renewals are not traced. The
// caller must hold mu.
func (k *Keeper) traceWrite(wasHeld bool, record Record) {
	switch {
	case record.Released:
		k.event(trace.LeaseReleased, k.Name)
	case !wasHeld && k.lease.Held():
		k.event(trace.LeaseTaken, fmt.Sprintf("%s fence %d", k.Name, record.Fence))
	}
}

func (k *Keeper) event(kind trace.Kind, detail string) {
	if k.Trace != nil {
		k.Trace.Add(trace.Event{Kind: kind, Detail: detail})
	}
}

// releaseTimeout bounds the release of the lease.
const releaseTimeout = 2 * time.Second

// Release releases the lease if it is held. Run calls it after its context has
// ended, so it has a context of its own.
func (k *Keeper) Release() {
	if !k.Held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	k.write(ctx, (*Lease).ReleaseWrite)
}
