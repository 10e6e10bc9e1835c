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
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// savedKey is the key of the store's object with the counts of processes that stopped without a
// collector.
const savedKey = dutiesName + "/counts"

// minSaveRetry is the pause after counts could not be saved at the end of the process.
const minSaveRetry = 20 * time.Millisecond

// save saves the counts that this process holds, its own and those of others, to the store.
func (a *accounting) save(ctx context.Context, now time.Time) {
	for _, m := range a.counter.Flush(now, []string{a.node.Name}) {
		a.send(now, m, nil)
	}
	retry := backoff.ExponentialBackOff{InitialInterval: minSaveRetry, Multiplier: 2, MaxInterval: maxReportRetry}
	retry.Reset()
	err := a.saveOnce(ctx, now)
	for err != nil && timer.Wait(ctx, retry.NextBackOff()) {
		err = a.saveOnce(ctx, now)
	}
	if err != nil {
		a.node.Log.Warn("usage counts could not be saved", zap.Error(err))
		return
	}
	a.node.Log.Info("usage counts saved, no process is left to take them")
}

// saveOnce merges the counts with those in the store.
func (a *accounting) saveOnce(ctx context.Context, now time.Time) error {
	object, err := a.get(ctx, savedKey)
	if err != nil {
		return err
	}
	// An object of an earlier era is replaced.
	if saved, err := report.ParseSaved(object.Value); err == nil && saved.Era == a.node.Duties.era() {
		a.collector.Restore(now, saved)
	}
	value, omitted := a.collector.Save(a.node.Duties.era()).Encode()
	_, err = a.node.Store.Put(ctx, store.Object{Key: savedKey, Value: value, Version: versionOf(object)})
	if err == nil && len(omitted) > 0 {
		a.node.Log.Warn("usage counts of the oldest windows are lost, they are too many to be saved", zap.Int64s("Windows", omitted))
	}
	return err
}

// get reads an object. One that is absent has revision 0.
func (a *accounting) get(ctx context.Context, key string) (store.Object, error) {
	object, err := a.node.Store.Get(ctx, key)
	if errors.Is(err, store.ErrAbsent) {
		return store.Object{Version: store.Version(a.node.Duties.era(), 0)}, nil
	}
	if err != nil {
		return object, fmt.Errorf("read usage counts: %w", err)
	}
	return object, nil
}

// versionOf returns the version that a write replaces.
func versionOf(o store.Object) uint64 {
	if store.Revision(o.Version) == 0 {
		return 0
	}
	return o.Version
}
