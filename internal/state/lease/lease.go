// Package lease elects one process at a time to perform a task, by means of an
// object in the platform's store.
//
// The object names the lease holder and carries a fencing token, which is
// incremented at each acquisition. Acquisitions and renewals are conditional
// writes, so that one of two processes that acquire the lease at the same time
// fails.
//
// Clocks of different VMs are never compared. A process that does not hold the
// lease polls the object, and may acquire the lease once the object has not changed
// for the lease's duration, measured by its own monotonic clock and extended by
// the worst drift between clocks. The holder measures from the moment before it
// sent its last renewal, shortens the duration by the same drift, and subtracts
// the time that sending an order may take. It therefore stops before any other
// process can acquire the lease.
//
// The store may be restored from an older copy, and then has lost its latest leases.
// The fencing token contains the store's era, which increases each time, so that no
// token is used twice. A lease that is absent or released in a later era than its token
// may have been acquired since that copy, so it is acquired only after its duration.
//
// # Usage
//
//	keeper := &lease.Keeper{Name: "planner/calicut", Holder: "entry-3", Store: platform, Trace: timeline}
//	go keeper.Run(ctx)
//	if grant, ok := keeper.Grant(); ok {
//		send(order, grant.Fence, grant.Until)
//	}
//
// Lease is the state machine, without clock or I/O; Keeper runs it.
package lease

import (
	"cmp"
	"encoding/json"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Default timing of a lease.
const (
	// Duration is how long a lease lasts after its last renewal.
	Duration = 9 * time.Second
	// MaxSendDelay is the longest time from the check of the lease until an
	// order reaches the engine. The holder stops this long before the lease
	// expires.
	MaxSendDelay = time.Second
	// MaxDriftPerMille is the largest difference between the rates of two VMs'
	// clocks, in thousandths.
	MaxDriftPerMille = 5
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval = 3 * time.Second
	// PollInterval is the time between two reads of a lease that another
	// process holds.
	PollInterval = 3 * time.Second
)

// eraBits is the number of bits of a fencing token below the store's era. The counter
// in them increases with each acquisition.
const eraBits = 32

// Timing has the durations of a lease. All processes that use a lease need the same
// ones. A zero field means the default, the constant of that name.
type Timing struct {
	// Duration is how long the lease lasts after its last renewal, RenewInterval the
	// time between two renewals. Other processes read the lease as often.
	Duration, RenewInterval time.Duration
	// SendDelay replaces MaxSendDelay.
	SendDelay time.Duration
}

func (t Timing) duration() time.Duration      { return cmp.Or(t.Duration, Duration) }
func (t Timing) renewInterval() time.Duration { return cmp.Or(t.RenewInterval, RenewInterval) }
func (t Timing) pollInterval() time.Duration  { return cmp.Or(t.RenewInterval, PollInterval) }

// Delay returns the longest time from the check of the lease until an order arrives.
func (t Timing) Delay() time.Duration { return cmp.Or(t.SendDelay, MaxSendDelay) }

// Record is the value of a lease's object.
type Record struct {
	Holder string
	// Fence is the fencing token.
	Fence uint64
	// Write is a unique ID of each write, by which a writer recognises its own.
	Write string
	// Released is set by a holder that released the lease.
	Released bool
}

// Grant is the holder's permission to send orders.
type Grant struct {
	// Fence is the fencing token to send with each order.
	Fence uint64
	// Until is the latest time to begin to send an order.
	Until time.Time
}

// Lease is one process's view of a lease. Holder must be set; it is a name that the
// process does not have again after a restart. A Lease is not safe for concurrent use.
type Lease struct {
	Holder string
	Timing
	// Margin, if set, replaces the function that shortens the holder's duration.
	// Experiments set it to run a holder without the safety margin.
	Margin func(time.Duration) time.Duration

	record Record
	// version is that of the object; its revision is 0 if there is none.
	version uint64
	// observedAt is when this version was first read. It was written earlier,
	// so that a wait from observedAt on is never too short.
	observedAt time.Time
	observed   bool
	grant      Grant
	held       bool
}

// Observe records the object as read at now. The version of an object that does not
// exist consists of the store's era and revision 0.
func (l *Lease) Observe(now time.Time, object store.Object) {
	if l.observed && object.Version <= l.version {
		return
	}
	var record Record
	if len(object.Value) > 0 && json.Unmarshal(object.Value, &record) != nil {
		record = Record{}
	}
	if record.Fence < l.record.Fence {
		// A delayed write, or another writer, has replaced a later record. The token never
		// goes back, and what the earlier record says does not apply to the later one: its
		// holder may still have a grant.
		record = Record{Fence: l.record.Fence}
	}
	l.record, l.version, l.observedAt, l.observed = record, object.Version, now, true
	if record.Holder != l.Holder || record.Released {
		l.held = false
	}
}

// Free reports whether the lease may be acquired at now.
func (l *Lease) Free(now time.Time) bool {
	if !l.observed {
		return false
	}
	// In a later era than that of the token, another process may have acquired the
	// lease and the store has lost it.
	sameEra := l.record.Fence>>eraBits >= store.Era(l.version)
	if sameEra && (store.Revision(l.version) == 0 || l.record.Released) {
		return true
	}
	return now.Sub(l.observedAt) >= extendForDrift(l.duration())
}

// Own reports whether the object has an acquisition or renewal by this process that is
// not known to be lost to another one. It can be renewed with its token, although its
// write was thought to be lost.
func (l *Lease) Own() bool {
	return l.observed && l.record.Holder == l.Holder && !l.record.Released && l.record.Fence>>eraBits == store.Era(l.version)
}

// poll returns the time until the lease should be read again: the poll interval, less
// if the lease is free before.
func (l *Lease) poll(now time.Time) time.Duration {
	interval := l.pollInterval()
	if !l.observed || l.Free(now) {
		return interval
	}
	return min(interval, l.observedAt.Add(extendForDrift(l.duration())).Sub(now))
}

// nextFence returns the fencing token of the next acquisition.
func (l *Lease) nextFence() uint64 {
	era := store.Era(l.version)
	if era == 0 {
		return l.record.Fence + 1
	}
	// A write that was sent before the store was restored can replace the record of a
	// later acquisition by one with an older token. The revision of the replaced object
	// increases with each acquisition in spite of that.
	return max(l.record.Fence, era<<eraBits+min(store.Revision(l.version), 1<<eraBits-2)) + 1
}

// AcquireWrite returns the object to write, and its record, to acquire or renew
// the lease. The fencing token is incremented unless the object is this process's own.
// write is a unique ID of the write. The caller reports success to RecordWrite.
func (l *Lease) AcquireWrite(key, write string) (store.Object, Record) {
	next := Record{Holder: l.Holder, Fence: l.record.Fence, Write: write}
	if !l.held && !l.Own() {
		next.Fence = l.nextFence()
	}
	return object(key, next, l.version), next
}

// ReleaseWrite is AcquireWrite for the release of the lease.
func (l *Lease) ReleaseWrite(key, write string) (store.Object, Record) {
	next := Record{Holder: l.Holder, Fence: l.record.Fence, Write: write, Released: true}
	return object(key, next, l.version), next
}

// object returns the object to write the record as the successor of the version.
func object(key string, record Record, version uint64) store.Object {
	value, _ := json.Marshal(record)
	if store.Revision(version) == 0 {
		version = 0
	}
	return store.Object{Key: key, Value: value, Version: version}
}

// RecordWrite records that a write, which began at sent and ended at now, took
// effect as the given version. A write that took effect in a later era than that of its
// token grants nothing: the store was restored in between, and another process may hold
// the lease.
func (l *Lease) RecordWrite(sent, now time.Time, record Record, version uint64) {
	if store.Era(version) > record.Fence>>eraBits {
		l.MarkLost()
		return
	}
	l.record, l.version, l.observedAt, l.observed = record, version, now, true
	l.held = !record.Released
	margin := l.usableDuration
	if l.Margin != nil {
		margin = l.Margin
	}
	l.grant = Grant{Fence: record.Fence, Until: sent.Add(margin(l.duration()))}
}

// MarkLost records that the lease may be lost: another process's write came
// first, or the outcome of this one's is unknown.
func (l *Lease) MarkLost() {
	l.held, l.observed = false, false
}

// Held reports whether this process acquired the lease and has not seen it lost
// or released. It does not check that the lease is still valid.
func (l *Lease) Held() bool { return l.held }

// Grant returns the holder's grant, or false if the lease is not held or no
// longer valid at now.
func (l *Lease) Grant(now time.Time) (Grant, bool) {
	if !l.held || !now.Before(l.grant.Until) {
		return Grant{}, false
	}
	return l.grant, true
}

// Record returns the object's value as last read or written.
func (l *Lease) Record() Record { return l.record }

// extendForDrift returns how long to wait for d to have passed, by a clock that
// may run fast.
func extendForDrift(d time.Duration) time.Duration {
	return d + d*MaxDriftPerMille/1000
}

// usableDuration returns how long a lease of duration d may be used, by a clock
// that may run slow, less the time for sending an order.
func (t Timing) usableDuration(d time.Duration) time.Duration {
	return d - d*MaxDriftPerMille/1000 - t.Delay()
}
