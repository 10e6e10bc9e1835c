package core

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"ebonyscale.example/ebonyscale/internal/base/task"
	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/orders"
)

// Duties are the calls to the platform that one process makes for all. Without a valid
// Address there are none, and the other fields are not used.
type Duties struct {
	// Address is where the platform accepts the calls.
	Address netip.AddrPort
	// Reports sends usage reports; nil if it is not a duty.
	Reports UsageReporter
	// Orders sends orders for backend servers; nil if that is not a duty.
	Orders orders.Orderer
	// Era returns the latest known era of the store.
	Era func() uint64
	// Lease is the time within which no two other holders may follow each other.
	Lease time.Duration
	// Window is the length of the windows of usage reports, ReportWithin the time after
	// the end of a window within which its report is due.
	Window, ReportWithin time.Duration
}

// enabled reports whether there are duties.
func (d *Duties) enabled() bool {
	return d.Address.IsValid() && (d.Reports != nil || d.Orders != nil)
}

// era returns the latest known era of the store.
func (d *Duties) era() uint64 {
	if d.Era == nil {
		return 0
	}
	return d.Era()
}

// UsageReporter sends usage reports to the platform.
type UsageReporter interface {
	// ReportUsage sends a report under a grant. After an error it may have arrived.
	ReportUsage(ctx context.Context, grant lease.Grant, r report.Report) error
}

// dutyTiming is that of the lease of the duties. A renewal costs a call to the store, and
// after the end of its holder a lease can be acquired after Duration.
var dutyTiming = lease.Timing{Duration: 4 * time.Second, RenewInterval: 1250 * time.Millisecond, SendDelay: 800 * time.Millisecond}

// dutiesName is the name of the lease of all duties; dutiesKey is the hash that chooses the
// process that holds it.
const dutiesName = "duties"

var dutiesKey = xxhash.Sum64String(dutiesName)

// newHolder returns the holder of the lease of the duties.
func newHolder(n *Node) *duty.Holder {
	keeper := &lease.Keeper{Name: dutiesName, Holder: fmt.Sprintf("%s/%d", n.Name, n.incarnation), Store: n.Store, Timing: dutyTiming, Era: n.Duties.Era}
	h := &duty.Holder{Keeper: keeper, Eligible: n.hasDuties, Span: n.Duties.Lease, Log: n.Log}
	n.Meters.Gauge("DutyHolder", func() int64 {
		if _, ok := h.Grant(); ok {
			return 1
		}
		return 0
	})
	n.Meters.Gauge("DutyFence", func() int64 {
		grant, _ := h.Grant()
		return int64(grant.Fence)
	})
	return h
}

// hasDuties reports whether this process is the one that all with the same live peers choose
// for the duties. One that is no member is not, as others do not know of it.
func (n *Node) hasDuties() bool {
	stopping := n.stopping.Load()
	first := n.peers.Coordinators(dutiesKey, stopping, 1)
	return !stopping && len(first) > 0 && first[0] == n.Name
}

// dutyTasks returns the tasks of the duties.
func (n *Node) dutyTasks() []task.Task {
	if !n.Duties.enabled() {
		return nil
	}
	tasks := []task.Task{{Name: "Hold", Do: n.holder.Run}}
	if n.accounting != nil {
		tasks = append(tasks, task.Task{Name: "Count", Do: n.accounting.Count}, task.Task{Name: "Report", Do: n.duringDuty(n.accounting.Report)})
	}
	if n.Duties.Orders != nil {
		tasks = append(tasks, task.Task{Name: "Scale", Do: n.scaling().Run})
	}
	return tasks
}

// duringDuty returns a task that calls do while this process holds the lease of the duties,
// with a context that ends with the lease.
func (n *Node) duringDuty(do func(ctx context.Context, fence uint64) error) func(context.Context) error {
	return func(ctx context.Context) error { return duty.While(ctx, n.holder, do) }
}
