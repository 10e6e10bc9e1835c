package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/plan/report"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/internal/state/lease"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// usageKey is the key of the store's object with the usage report that was fixed last.
const usageKey = dutiesName + "/usage"

const (
	// reportInterval is the period at which the holder looks for a report to be fixed.
	reportInterval = 100 * time.Millisecond
	// minReportRetry and maxReportRetry bound the pause after a failed call.
	minReportRetry = 100 * time.Millisecond
	maxReportRetry = time.Second
)

// Report reports the usage of all processes while ctx lasts, which ends with the grant of the
// token.
func (a *accounting) Report(ctx context.Context, fence uint64) error {
	for !a.clock.Settled(time.Now()) {
		if !timer.Wait(ctx, reportInterval) {
			return nil
		}
	}
	a.countEarly(time.Now())
	a.observe(time.Now())
	if a.machine.First == 0 {
		a.machine.First = report.WindowAt(a.clock.Time(a.started), a.node.Duties.Window)
	}
	a.machine.Begin(a.clock.Time(time.Now()))
	retry := backoff.ExponentialBackOff{InitialInterval: minReportRetry, Multiplier: 2, MaxInterval: maxReportRetry}
	retry.Reset()
	pause := time.Duration(0)
	for timer.Wait(ctx, pause) {
		grant, ok := a.node.holder.Grant()
		if !ok || grant.Fence != fence {
			return nil
		}
		action := a.decide(time.Now())
		if action.Kind == report.Wait {
			pause = reportInterval
			continue
		}
		if err := a.act(ctx, a.clock.Time(time.Now()), grant, action); err != nil {
			pause = retry.NextBackOff()
			continue
		}
		pause = 0
		retry.Reset()
	}
	return nil
}

// liveIncarnations returns the live members, this process included if it is one, with their
// latest known incarnations.
func (a *accounting) liveIncarnations() map[string]uint64 {
	live := a.node.peers.LiveMembers()
	if _, member := live[a.node.Name]; member {
		live[a.node.Name] = a.node.incarnation
	}
	return live
}

// silent returns the members that have recently become silent without a planned end. They may be
// partitioned from this process and still serve clients.
func (a *accounting) silent(at time.Time) []report.Process {
	var list []report.Process
	for name, heard := range a.node.peers.Quiet() {
		member, _ := a.node.peers.Member(name)
		p := report.Process{Name: name, Incarnation: member.Incarnation}
		if !a.collector.Ended(p) && !heard.IsZero() && at.Sub(heard) < a.node.Duties.Window+a.node.Duties.ReportWithin {
			list = append(list, p)
		}
	}
	return list
}

// decide returns the next action of the machine. A report waits for the counts of live and silent
// processes.
func (a *accounting) decide(at time.Time) report.Action {
	now, live, silent := a.clock.Time(at), a.liveIncarnations(), a.silent(at)
	a.machine.RereadSaved(now, &a.collector, silent, live)
	for name, incarnation := range live {
		silent = append(silent, report.Process{Name: name, Incarnation: incarnation})
	}
	action := a.machine.Decide(now, a.node.Duties.era(), &a.collector, silent)
	a.reported.Store(a.machine.Reported())
	a.countSkipped()
	return action
}

// countSkipped updates the metric of skipped windows.
func (a *accounting) countSkipped() {
	if skipped := a.machine.Skipped(); skipped != a.tracked {
		a.node.Meters.Add("UsageWindowsSkipped", skipped-a.tracked)
		a.node.Log.Warn("windows are not reported, as their counts or reports may be lost", zap.Int64("Windows", skipped-a.tracked))
		a.tracked = skipped
	}
}

// act does what the machine wants. After an error it is to be asked again after a pause.
func (a *accounting) act(ctx context.Context, now time.Time, grant lease.Grant, action report.Action) error {
	switch action.Kind {
	case report.Read:
		return a.read(ctx, now)
	case report.Fix:
		return a.fix(ctx, grant, action)
	case report.Send:
		return a.deliver(ctx, grant, action.Report)
	case report.ReadSaved:
		return a.readSaved(ctx, now)
	case report.RemoveSaved:
		return a.removeSaved(ctx, action.Version)
	}
	return nil
}

// read reads the store's object.
func (a *accounting) read(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, usageKey)
	if err != nil {
		return err
	}
	if err := a.machine.Read(now, object.Version, object.Value, &a.collector); err != nil {
		a.node.Log.Error("record of usage reports can't be used and is replaced", zap.Error(err))
	}
	return nil
}

// readSaved reads the counts that stopped processes have saved.
func (a *accounting) readSaved(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, savedKey)
	if err != nil {
		return err
	}
	if err := a.machine.ReadSaved(now, object.Version, object.Value, &a.collector); err != nil {
		a.node.Log.Error("saved usage counts can't be used and are removed", zap.Error(err))
	}
	return nil
}

// removeSaved removes the saved counts once their windows are reported.
func (a *accounting) removeSaved(ctx context.Context, version uint64) error {
	_, err := a.node.Store.Put(ctx, store.Object{Key: savedKey, Version: version})
	if err == nil {
		a.machine.RemovedSaved()
		return nil
	}
	if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
		a.machine.UnsettledSaved()
	}
	return fmt.Errorf("remove usage counts: %w", err)
}

// fix writes a report to the store.
func (a *accounting) fix(ctx context.Context, grant lease.Grant, action report.Action) error {
	version, err := a.node.Store.Put(ctx, store.Object{Key: usageKey, Value: action.Record.Encode(), Version: action.Version})
	if err != nil {
		if errors.Is(err, store.ErrConflict) || !store.NotWritten(err) {
			a.machine.Unsettled()
		}
		a.node.Log.Info("usage report could not be fixed", zap.Int64("Window", action.Record.Report.Window), zap.Error(err))
		return fmt.Errorf("fix usage report: %w", err)
	}
	a.machine.Fixed(version, action)
	a.node.Log.Info("usage report fixed", zap.Int64("Window", action.Record.Report.Window), zap.Uint64("Fence", grant.Fence))
	return nil
}

// deliver sends a report that is fixed.
func (a *accounting) deliver(ctx context.Context, grant lease.Grant, r report.Report) error {
	err := a.node.Duties.Reports.ReportUsage(ctx, grant, r)
	now := a.clock.Time(time.Now())
	late := now.After(report.EndOf(r.Window, a.node.Duties.Window).Add(a.node.Duties.ReportWithin))
	fields := []zap.Field{zap.Int64("Window", r.Window), zap.Uint64("Fence", grant.Fence), zap.Bool("Late", late)}
	if err != nil {
		a.node.Meters.Add("UsageReportsFailed", 1)
		a.node.Log.Info("usage report was not delivered", append(fields, zap.Error(err))...)
		if !errors.Is(err, duty.ErrRefused) && !errors.Is(err, duty.ErrNoneLeft) {
			a.machine.Failed()
		} else if a.machine.Refused(r) {
			a.node.Log.Error("usage report is given up, the platform refuses it", fields...)
		}
		return err
	}
	a.machine.Delivered(r)
	a.node.Meters.Add("UsageReportsSent", 1)
	if late {
		a.node.Meters.Add("UsageReportsLate", 1)
	}
	a.node.Log.Info("usage report delivered", fields...)
	return nil
}
