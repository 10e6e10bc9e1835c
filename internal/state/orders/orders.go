// Package orders sends the orders for backend servers that package scale decides on,
// while this process holds the grant to do so.
//
// Only the process with a grant observes the services and sends orders. When it gets a
// grant, it reads from the store what the last holder had ordered, and starts to observe
// the load. Before it sends an order, it writes the numbers that are then ordered to the
// store. So whatever becomes of a holder, the next one knows at least the orders that had
// an effect. The write is conditional on what this holder read or wrote last: after
// another's write nothing is sent, and the object is read again.
//
// # Usage
//
//	task := &orders.Task{
//		Authority: holder, Orderer: duties, Store: store, Observe: observe, Meters: meters, Log: log,
//	}
//	err := task.Run(ctx)
//
// Run is the only method that a Task needs; the gauges that it sets are safe for
// concurrent use.
package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/plan/scale"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Authority says whether this process may send orders.
type Authority interface {
	// Grant returns the present grant, or false if there is none.
	Grant() (lease.Grant, bool)
}

// Orderer sends orders to the platform.
type Orderer interface {
	// Order sends an order under the grant. The errors for which the order had no effect
	// are those of package duty.
	Order(ctx context.Context, g lease.Grant, o scale.Order) error
}

const (
	// Key is the key of the object with the numbers ordered last.
	Key = "duties/scale"
	// Interval is the time between two observations: several within the span over which
	// loads are averaged, and short beside the 2.5 s notice of a reclaim.
	Interval = 250 * time.Millisecond
	// sendTimeout bounds the sending of an order. Its outcome is unknown after it.
	sendTimeout = 2 * time.Second
	// storeTimeout bounds a read or write of the object.
	storeTimeout = time.Second
)

// Task observes services and orders backend servers for them. All fields must be set
// before Run.
type Task struct {
	Authority Authority
	Orderer   Orderer
	Store     store.Writer
	// Observe returns the observations of the services that may be scaled; false if there
	// are none now, for example because the entries of backend servers are not known.
	Observe func(now time.Time) ([]scale.Observation, bool)
	Meters  *meter.Set
	Log     *zap.Logger

	state scale.State
	// fence is that of the grant under which the state was built up, 0 if there is none.
	fence uint64
	// object is the saved state as last read or written.
	object store.Object
	totals totals
}

// Run observes and orders until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	for timer.Wait(ctx, Interval) {
		t.step(ctx)
	}
	return ctx.Err()
}

// step observes the services once and sends the orders that are due.
func (t *Task) step(ctx context.Context) {
	grant, ok := t.Authority.Grant()
	if !ok {
		t.reset()
		return
	}
	now := time.Now()
	observations, ok := t.Observe(now)
	if !ok || len(observations) == 0 && t.fence == 0 {
		// Without a service that may be scaled there is no call.
		return
	}
	ctx, cancel := context.WithDeadline(ctx, grant.Until)
	defer cancel()
	if grant.Fence != t.fence && !t.begin(ctx, grant) {
		return
	}
	t.state.Observe(now, observations)
	list := scale.Decide(now, &t.state)
	t.totals.set(t.Meters, &t.state, observations)
	if len(list) > 0 {
		t.send(ctx, grant, list)
	}
}

// reset discards the state of the last grant.
func (t *Task) reset() {
	if t.fence != 0 {
		t.fence, t.state = 0, scale.State{}
		t.totals.clear()
	}
}

// begin reads what the last holder had ordered. It returns false if that failed; nothing
// is ordered then.
func (t *Task) begin(ctx context.Context, grant lease.Grant) bool {
	t.reset()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := t.Store.Get(ctx, Key)
	if errors.Is(err, store.ErrAbsent) {
		object, err = store.Object{Key: Key}, nil
	}
	if err != nil {
		t.Log.Info("last orders cannot be read", zap.Error(err))
		return false
	}
	var saved scale.Saved
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &saved); err != nil {
			// The servers present are then taken as ordered.
			t.Log.Warn("last orders are not valid", zap.String("Key", Key), zap.Error(err))
			saved = scale.Saved{}
		}
	}
	t.object, t.fence = object, grant.Fence
	t.state.Start(time.Now(), saved)
	return true
}

// send sends the orders, all at once, if they can be recorded before.
func (t *Task) send(ctx context.Context, grant lease.Grant, list []scale.Order) {
	outcomes := make([]scale.Outcome, len(list))
	failures := make([]error, len(list))
	if err := t.save(ctx, grant); err != nil {
		t.Log.Warn("orders cannot be recorded and are not sent", zap.Int("Orders", len(list)), zap.Error(err))
		for _, o := range list {
			t.state.Record(time.Now(), o, scale.NotSent)
		}
		return
	}
	ctx, release := duty.Bind(ctx, t.Authority, grant.Fence)
	defer release()
	var sending sync.WaitGroup
	for i, o := range list {
		sending.Go(func() { outcomes[i], failures[i] = t.sendOne(ctx, grant, o) })
	}
	sending.Wait()
	for i, o := range list {
		t.state.Record(time.Now(), o, outcomes[i])
		t.report(grant, o, outcomes[i], failures[i])
	}
}

// sendOne sends an order if the grant still holds.
func (t *Task) sendOne(ctx context.Context, grant lease.Grant, o scale.Order) (scale.Outcome, error) {
	if current, ok := t.Authority.Grant(); !ok || current.Fence != grant.Fence {
		return scale.NotSent, nil
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := t.Orderer.Order(ctx, grant, o)
	return outcomeOf(err), err
}

// report counts and logs an order.
func (t *Task) report(grant lease.Grant, o scale.Order, outcome scale.Outcome, err error) {
	if outcome == scale.NotSent {
		return
	}
	t.Meters.Add("ScaleOrders", 1)
	if outcome == scale.NoneLeft || outcome == scale.RateLimited || outcome == scale.Refused {
		t.Meters.Add("ScaleOrdersRefused", 1)
	}
	t.Log.Info("scale order", zap.String("Service", o.Service), zap.String("AvailabilityZone", o.AvailabilityZone), zap.Bool("Spot", o.Spot),
		zap.Int("Desired", o.Desired), zap.String("Reason", o.Reason), zap.Uint64("Fence", grant.Fence), zap.String("Outcome", string(outcome)), zap.Error(err))
}

// record is the value of the object.
type record struct {
	scale.Saved
	// Fence and Write say which write this is.
	Fence uint64
	Write string
}

// save writes the state to the store, unless the numbers are those that it has: then the
// orders are repetitions. After a conflict, or if the outcome is unknown, the object is
// read again before the next order.
func (t *Task) save(ctx context.Context, grant lease.Grant) error {
	saved := t.state.Saved(time.Now())
	var last record
	if len(t.object.Value) > 0 && json.Unmarshal(t.object.Value, &last) == nil && sameNumbers(last.Saved, saved) {
		return nil
	}
	next := record{saved, grant.Fence, fmt.Sprintf("%d/%d", grant.Fence, time.Now().UnixNano())}
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode orders: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object := store.Object{Key: Key, Value: value, Version: t.object.Version}
	version, err := store.Settle(ctx, t.Store, object, func(value []byte) bool {
		var found record
		return json.Unmarshal(value, &found) == nil && found.Write == next.Write
	})
	if err == nil {
		t.object = store.Object{Key: Key, Value: value, Version: version}
		return nil
	}
	if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
		t.fence = 0
	}
	return fmt.Errorf("record orders: %w", err)
}

// sameNumbers reports whether two saved states order the same.
func sameNumbers(a, b scale.Saved) bool {
	if len(a.Entries) != len(b.Entries) {
		return false
	}
	for i, e := range a.Entries {
		if e.Subject != b.Entries[i].Subject || e.Desired != b.Entries[i].Desired {
			return false
		}
	}
	return true
}
