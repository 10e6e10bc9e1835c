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

// Keeper takes and renews a lease for as long as it runs. The exported fields
// are set before Run.
type Keeper struct {
	Name   string
	Holder string
	Store  store.Writer
	Trace  *trace.Line
	// Margin is handed to the Lease.
	Margin func(time.Duration) time.Duration

	mu    sync.Mutex
	lease Lease
}

// Key returns the key of the lease's object.
func (k *Keeper) Key() string { return "lease/" + k.Name }

// Grant returns the authority at this moment, or false.
func (k *Keeper) Grant() (Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Grant(time.Now())
}

// Record returns the lease's record as last seen.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.Record()
}

// Run keeps the lease until ctx ends, and gives it back then.
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

func (k *Keeper) interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.Held() {
		return RenewInterval
	}
	return PollInterval
}

// Step renews the lease if it is held, or looks at it and takes it if it is
// free.
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

func (k *Keeper) write(ctx context.Context, make func(*Lease, string, string) (store.Object, Record)) {
	asked := time.Now()
	k.mu.Lock()
	was := k.lease.Held()
	object, record := make(&k.lease, k.Key(), uuid.NewString())
	k.mu.Unlock()
	own := func(value []byte) bool {
		var found Record
		return json.Unmarshal(value, &found) == nil && found.Write == record.Write
	}
	version, err := store.Settle(ctx, k.Store, object, own)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.lease.RecordWrite(asked, time.Now(), record, version)
		k.traceWrite(was, record)
		return
	}
	if errors.Is(err, store.ErrConflict) || !store.Certain(err) {
		// Another write came first, or this one may have taken effect: what
		// the object holds has to be read before the next write.
		k.lease.MarkLost()
		if was {
			k.Trace.Add(trace.Event{Kind: trace.LeaseLost, Detail: k.Name})
		}
	}
}

func (k *Keeper) traceWrite(was bool, record Record) {
	switch {
	case record.Released:
		k.Trace.Add(trace.Event{Kind: trace.LeaseReleased, Detail: k.Name})
	case !was:
		k.Trace.Add(trace.Event{Kind: trace.LeaseTaken, Detail: fmt.Sprintf("%s fence %d", k.Name, record.Fence)})
	}
}

// releaseTimeout bounds the giving back of a lease at the end.
const releaseTimeout = 2 * time.Second

func (k *Keeper) release() {
	if !k.held() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	k.write(ctx, (*Lease).ReleaseWrite)
}
