package core

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// membersView applies the processes' store entries to the node's peers. It
// implements follow.View.
type membersView struct{ node *Node }

// Replace implements follow.View.
func (v *membersView) Replace(page store.Page, _ bool) {
	members := make([]peers.Member, 0, len(page.Objects))
	for _, o := range page.Objects {
		if m, ok := v.node.parseMember(o); ok {
			members = append(members, m)
		}
	}
	v.node.peers.Replace(members)
	if v.node.announced.Load() && !slices.ContainsFunc(members, func(m peers.Member) bool { return m.Name == v.node.Name && !m.Doubted }) {
		v.node.announceAgain()
	}
	v.node.Log.Info("processes listed", zap.Int("Members", len(members)), zap.Uint64("Revision", store.Revision(page.Revision)))
}

// Change implements follow.View.
func (v *membersView) Change(page store.Page) {
	for _, o := range page.Objects {
		if o.Removed {
			v.removed(o)
			continue
		}
		if m, ok := v.node.parseMember(o); ok {
			v.node.peers.Set(m)
			v.node.Log.Info("process announced", zap.String("Peer", m.Name), zap.Stringer("Address", m.Address),
				zap.Uint64("Incarnation", m.Incarnation), zap.Bool("Doubted", m.Doubted), zap.Uint64("Revision", store.Revision(o.Version)))
			if m.Name == v.node.Name && m.Doubted {
				v.node.announceAgain()
			}
		} else if objectName(o) == v.node.Name && v.node.announced.Load() {
			v.node.announceAgain()
		}
	}
}

// removed handles that an entry was removed, maybe this process's own by mistake.
func (v *membersView) removed(o store.Object) {
	name := objectName(o)
	v.node.peers.Remove(name)
	v.node.Log.Info("process removed", zap.String("Peer", name), zap.Uint64("Revision", store.Revision(o.Version)))
	if name == v.node.Name && v.node.announced.Load() {
		v.node.announceAgain()
	}
}

// parseMember decodes a process's entry, and logs and rejects an invalid one.
func (n *Node) parseMember(o store.Object) (peers.Member, bool) {
	m, err := peers.Parse(o.Value)
	if err == nil && m.Name != objectName(o) {
		err = peers.ErrInvalidEntry
	}
	if err != nil {
		n.logInvalid(o, err)
	}
	return m, err == nil
}

const (
	// announceRetry is the pause after the entry could not be read or written,
	// announceInterval the time between two checks that it is still in the store.
	announceRetry    = 300 * time.Millisecond
	announceInterval = time.Minute
	// announcer is the task's name as a caller of the store.
	announcer = "Announce"
)

// announce is the task that keeps this process's entry in the store.
func (n *Node) announce(ctx context.Context) error {
	for ctx.Err() == nil {
		called := time.Now()
		err := n.announceOnce(ctx)
		wait := announceInterval
		if err == nil || store.Answered(err) {
			n.health.RecordSuccess(time.Now(), announcer)
		} else {
			n.health.RecordFailure(called, time.Now(), announcer)
		}
		if err != nil {
			n.Log.Info("process could not be announced", zap.Error(err))
			wait = announceRetry
		} else {
			n.announced.Store(true)
		}
		n.awaitAnnounce(ctx, wait)
	}
	return ctx.Err()
}

// announceAgain makes the task announce this process, whose entry the store has lost.
func (n *Node) announceAgain() {
	select {
	case n.announceNow <- struct{}{}:
	default:
	}
}

// maxAnnounceDelay spreads the calls of processes whose entries were lost together.
const maxAnnounceDelay = 200 * time.Millisecond

// awaitAnnounce waits for a time, or less if this process has to be announced again.
func (n *Node) awaitAnnounce(ctx context.Context, wait time.Duration) {
	pause := time.NewTimer(wait)
	defer pause.Stop()
	select {
	case <-n.announceNow:
		timer.Wait(ctx, rand.N(maxAnnounceDelay))
	case <-pause.C:
	case <-ctx.Done():
	}
}

// announceOnce writes this process's entry unless the store already has an equal
// one. An entry that another process has marked as doubted is not equal.
func (n *Node) announceOnce(ctx context.Context) error {
	began, key := time.Now(), n.memberKey(n.Name)
	own := peers.Member{Name: n.Name, AvailabilityZone: n.Zone, Address: n.Address, Incarnation: n.incarnation, Cores: n.Cores}
	if n.confirmRelayed(own) {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return fmt.Errorf("encode own entry: %w", err)
	}
	object, err := n.Store.Get(ctx, key)
	switch {
	case errors.Is(err, store.ErrAbsent):
		object = store.Object{Key: key}
	case err != nil:
		return fmt.Errorf("read own entry: %w", err)
	default:
		if m, err := peers.Parse(object.Value); err == nil && m == own {
			n.peers.Confirm(began)
			return nil
		}
	}
	object.Value = value
	if _, err := n.Store.Put(ctx, object); err != nil {
		return fmt.Errorf("write own entry: %w", err)
	}
	n.peers.Confirm(began)
	return nil
}

// memberKey returns the store key of a process's entry.
func (n *Node) memberKey(name string) string { return n.Keys.MembersKind + "/" + name }
