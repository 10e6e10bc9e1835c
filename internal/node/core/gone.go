package core

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/gone"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// removalKey is the key by which the process is chosen that removes entries.
var removalKey = xxhash.Sum64String("members")

// removeGone is the task that removes the entries of processes that have ended for good.
func (n *Node) removeGone(ctx context.Context) error {
	var watch gone.Watch
	for timer.Wait(ctx, gone.Interval) {
		n.observeSilent(ctx, &watch)
	}
	return ctx.Err()
}

// observeSilent looks at the entries of the silent processes once, and does what is due.
func (n *Node) observeSilent(ctx context.Context, watch *gone.Watch) {
	if !n.removes() {
		watch.Reset()
		return
	}
	silent := n.peers.Quiet()
	watch.Keep(silent)
	for name, heard := range silent {
		object, err := n.Store.Get(ctx, n.memberKey(name))
		if errors.Is(err, store.ErrAbsent) {
			continue
		}
		if err != nil {
			n.Log.Info("entry of a silent process could not be read", zap.String("Peer", name), zap.Error(err))
			watch.Reset()
			return
		}
		n.settleEntry(ctx, watch, object, name, heard)
	}
}

// removes reports whether this process removes entries: one of those that are live does, if
// half of all are. A smaller part of the processes may be what is cut off.
func (n *Node) removes() bool {
	chosen := n.peers.Chosen(removalKey, n.stopping.Load()) == n.Name
	return chosen && n.announced.Load() && !n.stopping.Load() && n.peers.Half() && !n.health.Outage(time.Now())
}

// settleEntry marks or removes the entry of a silent process if that is due.
func (n *Node) settleEntry(ctx context.Context, watch *gone.Watch, object store.Object, name string, heard time.Time) {
	m, err := peers.Parse(object.Value)
	if err != nil {
		return
	}
	step := watch.See(time.Now(), gone.Sight{Name: name, Version: object.Version, Doubted: m.Doubted, Heard: heard})
	switch step {
	case gone.Wait:
		return
	case gone.Doubt:
		m.Doubted = true
		// A Member that was decoded can be encoded.
		object.Value, _ = json.Marshal(m)
	case gone.Remove:
		object.Value = nil
	}
	_, err = n.Store.Put(ctx, object)
	n.Log.Info("entry of a silent process", zap.String("Peer", name), zap.Bool("Removed", step == gone.Remove),
		zap.Time("Heard", heard), zap.Uint64("Revision", store.Revision(object.Version)), zap.Error(err))
}
