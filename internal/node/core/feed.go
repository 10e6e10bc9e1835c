package core

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/table"
	"ebonyscale.example/ebonyscale/internal/fleet/peers"
	"ebonyscale.example/ebonyscale/internal/peer/feed"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// prepareRelays makes the followers read through relays if these are configured.
func (n *Node) prepareRelays() {
	if n.Relays <= 0 || n.RelayCalls == nil {
		return
	}
	started := time.Now()
	n.relayed = &feed.Feed{
		Direct: keylessFeed{n.Feed, n.Keys.TableKind}, Caller: n.RelayCalls, Health: &n.health, Meters: n.Meters, Log: n.Log,
		Choose: func() feed.Choice { return n.chooseRelays(time.Since(started) < feed.Young) },
		Kinds: []feed.Kind{
			{Name: n.Keys.TableKind, Strict: true},
			{Name: n.Keys.ServersKind, Strict: true},
			{Name: n.Keys.MembersKind, First: true},
			{Name: n.Keys.QuarantineKind},
			{Name: n.Keys.OriginsKind},
		},
	}
	n.Feed = n.relayed
}

// observeStore has Health know of the calls that the store answers, and measures how long the
// answers take.
func (n *Node) observeStore() { n.Feed = answeredFeed{n.Feed, &n.health, &n.storeDelay} }

// delay is how long the store's answers have taken of late. The zero value is none.
type delay struct {
	mu    sync.Mutex
	worst time.Duration
}

// delayShare is the part of the longest delay that is left after a shorter one.
const delayShare = 0.75

// record records how long an answer took.
func (d *delay) record(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.worst = max(took, time.Duration(delayShare*float64(d.worst)))
}

// last returns how long an answer may take now.
func (d *delay) last() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.worst
}

// answeredFeed reads from the store itself, and records what that answers and how long it takes.
type answeredFeed struct {
	follow.Feed
	health *follow.Health
	delay  *delay
}

// List implements follow.Feed.
func (f answeredFeed) List(ctx context.Context, kind, after string) (store.Page, error) {
	called := time.Now()
	page, err := f.Feed.List(ctx, kind, after)
	f.record(called, kind, err)
	if err == nil {
		f.delay.record(time.Since(called))
	}
	return page, err
}

// Changes implements follow.Feed.
func (f answeredFeed) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	called := time.Now()
	page, err := f.Feed.Changes(ctx, kind, after, wait)
	f.record(called, kind, err)
	if err == nil && len(page.Objects) == 0 {
		f.delay.record(max(time.Since(called)-wait, 0))
	}
	return page, err
}

// record records a call that the store has answered, if it has.
func (f answeredFeed) record(called time.Time, kind string, err error) {
	if err == nil || errors.Is(err, store.ErrForgotten) {
		f.health.RecordAnswer(called, time.Now(), kind)
	}
}

// keylessFeed reads the configuration with digests in place of the clients' keys, as relays
// send what they have read to other processes.
type keylessFeed struct {
	follow.Feed
	tableKind string
}

// List implements follow.Feed.
func (f keylessFeed) List(ctx context.Context, kind, after string) (store.Page, error) {
	page, err := f.Feed.List(ctx, kind, after)
	return f.withoutKeys(kind, page), err
}

// Changes implements follow.Feed.
func (f keylessFeed) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	page, err := f.Feed.Changes(ctx, kind, after, wait)
	return f.withoutKeys(kind, page), err
}

// withoutKeys removes the keys from a page of configurations. One that can't be parsed
// becomes an empty object, which can't be parsed either, since its keys are not known.
func (f keylessFeed) withoutKeys(kind string, page store.Page) store.Page {
	if kind != f.tableKind {
		return page
	}
	objects := slices.Clone(page.Objects)
	for i, o := range objects {
		if o.Removed {
			continue
		}
		t, err := table.Parse(o.Value)
		if err == nil {
			objects[i].Value, err = table.WithoutKeys(t, o.Value)
		}
		if err != nil {
			objects[i].Value = []byte("{}")
		}
	}
	page.Objects = objects
	return page
}

// chooseRelays chooses from where this process reads the store's objects now.
func (n *Node) chooseRelays(young bool) feed.Choice {
	if n.peers.Members() < feed.MinProcesses {
		return feed.Choice{}
	}
	own := peers.Member{Name: n.Name, AvailabilityZone: n.Zone, Cores: n.Cores}
	return feed.Choose(n.Name, processes(n.peers.Standings(own, n.stopping.Load())), n.Relays, young)
}

// processes returns the members in the form that feed.Choose takes.
func processes(standings []peers.Standing) []feed.Process {
	list := make([]feed.Process, len(standings))
	for i, s := range standings {
		list[i] = feed.Process{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, Address: s.Address, Cores: s.Cores,
			Live: s.Live, Heard: s.Heard, Stopping: s.Stopping,
		}
	}
	return list
}

// startDebounce is the pause after changes of the processes while this one starts, when many
// may start with it. The relays are known from these changes.
const startDebounce = 100 * time.Millisecond

// debounceRelayed returns the pause after changes of a kind. There is none while the kind is
// read through a relay: that costs no call, and the relay and the poll of it pause already.
func (n *Node) debounceRelayed(kind string, debounce func() time.Duration) func() time.Duration {
	if n.relayed == nil || debounce == nil {
		return debounce
	}
	return func() time.Duration {
		pause := debounce()
		switch {
		case n.relayed.Relayed(kind):
			return 0
		case kind == n.Keys.MembersKind && !n.Ready() && !n.stopping.Load():
			return min(pause, startDebounce)
		}
		return pause
	}
}

// confirmRelayed reports whether this process's entry, read through a relay, was recently in
// the store with its current content.
func (n *Node) confirmRelayed(own peers.Member) bool {
	if n.relayed == nil {
		return false
	}
	object, at, ok := n.relayed.Find(n.Keys.MembersKind, n.memberKey(n.Name))
	if !ok {
		return false
	}
	m, err := peers.Parse(object.Value)
	if err != nil || m != own {
		return false
	}
	n.peers.Confirm(at)
	return true
}

// Changes implements wire.DRPCEntryServer. It returns objects of the store, or their
// changes, if this process is a relay.
func (n *Node) Changes(ctx context.Context, q *wire.FeedQuery) (*wire.FeedAnswer, error) {
	if n.relayed == nil {
		return &wire.FeedAnswer{Refused: true}, nil
	}
	return n.relayed.Answer(ctx, q), nil
}
