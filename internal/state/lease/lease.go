// Package lease gives one process at a time the authority for a chore, by an
// object in the platform.
//
// The object names its holder and carries a fencing number, which each taking
// raises. Takings and renewals are conditional updates, so that of two
// processes that take at the same time one fails. No clock is compared with
// another VM's: a process that wants the lease watches the object, and may take
// it once the object has not changed for the lease's duration as measured by
// its own monotonic clock, stretched by the worst drift between clocks. The
// holder counts from the moment before it asked for its last renewal, shrinks
// the duration by the same drift, and subtracts the time that an order may
// take to be sent. The holder therefore stops before anyone can follow it.
//
// # Usage
//
//	keeper := &lease.Keeper{Name: "planner/calicut", Holder: "entry-3", Store: platform}
//	go keeper.Run(ctx)
//	if grant, ok := keeper.Grant(); ok {
//		send(order, grant.Fence, grant.Until)
//	}
//
// Lease holds the decisions and is pure; Keeper drives it.
package lease

import (
	"encoding/json"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Timing of a lease.
const (
	// Duration is how long a lease lasts after its last renewal.
	Duration = 9 * time.Second
	// MaxSendDelay is how long an order may take from the check of the lease to
	// the engine. The holder stops this much before the lease ends.
	MaxSendDelay = time.Second
	// MaxDriftPerMille is the worst difference of the rates of two VMs' clocks.
	MaxDriftPerMille = 5
	// RenewInterval is the time between two renewals.
	RenewInterval = 3 * time.Second
	// PollInterval is the time between two looks at a lease held by another.
	PollInterval = 3 * time.Second
)

// Record is the value of a lease's object.
type Record struct {
	Holder string
	Fence  uint64
	// Write is different for each write, by which a writer knows its own.
	Write string
	// Released is set by a holder that has stopped and will not go on.
	Released bool
}

// Grant is the authority of a holder.
type Grant struct {
	Fence uint64
	// Until is the last moment to begin to send an order.
	Until time.Time
}

// Lease is what one process knows of a lease. Holder must be set.
type Lease struct {
	Holder string
	// Margin, if set, replaces the margin that the holder keeps. It is a
	// variant for tests that show what the margin is for.
	Margin func(time.Duration) time.Duration

	record  Record
	version uint64
	// observedAt is when this version was first seen. The version was written
	// before, so that waiting from seen on is on the safe side.
	observedAt  time.Time
	observed bool
	grant Grant
	held  bool
}

// Observe takes in the object as read by now.
func (l *Lease) Observe(now time.Time, object store.Object) {
	if l.observed && object.Version <= l.version {
		return
	}
	var record Record
	if len(object.Value) > 0 && json.Unmarshal(object.Value, &record) != nil {
		record = Record{}
	}
	l.record, l.version, l.observedAt, l.observed = record, object.Version, now, true
	if record.Holder != l.Holder || record.Released {
		l.held = false
	}
}

// Free reports whether the lease may be taken.
func (l *Lease) Free(now time.Time) bool {
	if !l.observed {
		return false
	}
	if l.version == 0 || l.record.Released || l.record.Holder == "" {
		return true
	}
	return now.Sub(l.observedAt) >= extendForDrift(Duration)
}

// AcquireWrite returns the write that takes or renews the lease. The record's fence
// is raised unless the lease is held already.
func (l *Lease) AcquireWrite(key, write string) (store.Object, Record) {
	next := Record{Holder: l.Holder, Fence: l.record.Fence, Write: write}
	if !l.held {
		next.Fence++
	}
	return object(key, next, l.version), next
}

// ReleaseWrite returns the write that gives the lease back.
func (l *Lease) ReleaseWrite(key, write string) (store.Object, Record) {
	next := Record{Holder: l.Holder, Fence: l.record.Fence, Write: write, Released: true}
	return object(key, next, l.version), next
}

func object(key string, record Record, version uint64) store.Object {
	value, _ := json.Marshal(record)
	return store.Object{Key: key, Value: value, Version: version}
}

// RecordWrite takes in that the write took effect which was asked for at asked.
func (l *Lease) RecordWrite(asked, now time.Time, record Record, version uint64) {
	l.record, l.version, l.observedAt, l.observed = record, version, now, true
	l.held = !record.Released
	margin := usableDuration
	if l.Margin != nil {
		margin = l.Margin
	}
	l.grant = Grant{Fence: record.Fence, Until: asked.Add(margin(Duration))}
}

// MarkLost takes in that another write came first.
func (l *Lease) MarkLost() {
	l.held, l.observed = false, false
}

// Held reports whether the lease is held as far as is known, valid or not.
func (l *Lease) Held() bool { return l.held }

// Grant returns the authority at now, or false.
func (l *Lease) Grant(now time.Time) (Grant, bool) {
	if !l.held || !now.Before(l.grant.Until) {
		return Grant{}, false
	}
	return l.grant, true
}

// Record returns the object's value as last seen.
func (l *Lease) Record() Record { return l.record }

// extendForDrift is how long to wait by a clock that may run fast.
func extendForDrift(d time.Duration) time.Duration {
	return d + d*MaxDriftPerMille/1000
}

// usableDuration is how long to trust by a clock that may run slow, less the time to
// send an order.
func usableDuration(d time.Duration) time.Duration {
	return d - d*MaxDriftPerMille/1000 - MaxSendDelay
}
