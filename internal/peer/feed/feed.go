// Package feed reads the objects of the store for all processes of the system with few calls
// to the store.
//
// In each availability zone a few processes, the relays, watch the store. Each of them keeps
// a history of each kind: its objects and the changes of the last 20 s. The other processes
// read from a relay by one long poll for all kinds and keep the same histories. A Feed gives
// the objects of its history to the followers of its process. It calls the store itself
// whenever the history may not be current: no relay is known or responds, or the relay has
// not confirmed its own watch for 1.5 s.
//
// Nothing depends on which processes are relays: they decide nothing and write nothing, and
// two processes that disagree about it only make more calls.
//
// # Usage
//
//	f := &feed.Feed{Direct: store, Caller: client, Choose: choose, Kinds: kinds, Meters: set, Log: log}
//	go f.Run(ctx)
//	follower := &follow.Follower{Kind: "servers", Feed: f, ...}
//
// and in the RPC service of the process:
//
//	answer := f.Answer(ctx, query)
package feed

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/follow"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Caller calls other processes over RPC. It must be safe for concurrent use.
type Caller interface {
	// Changes reads objects of the store, or their changes, from the process at the address.
	Changes(ctx context.Context, address netip.AddrPort, q *wire.FeedQuery) (*wire.FeedAnswer, error)
}

// Kind is a kind of objects that a relay watches.
type Kind struct {
	Name string
	// Strict is set if a response of the store that is lost must not delay a change: each
	// watch is then confirmed within a second. Watches of other kinds last longer and rely on
	// the strict ones to detect a lost connection to the store. At least one kind is strict.
	Strict bool
	// First is set for the kind from which the relays are known. It is listed from the store
	// when the process starts.
	First bool
}

// Names of the metrics.
const (
	FromRelay   = "FeedFromRelay"
	FromStore   = "FeedFromStore"
	RelayFailed = "FeedRelayFailed"
	Served      = "FeedServed"
)

// Feed implements follow.Feed. The exported fields are set before use. All methods are safe
// for concurrent use.
type Feed struct {
	// Direct is the store.
	Direct follow.Feed
	Caller Caller
	// Choose says from where to read now. It is called several times a second.
	Choose func() Choice
	Kinds  []Kind
	// Health records failed calls of this process's own watches and outages that a relay
	// reports.
	Health *follow.Health
	Meters *meter.Set
	Log    *zap.Logger

	// mu guards the fields below.
	mu    sync.Mutex
	views map[string]*view
	// news is closed and replaced when a history changes or may no longer be current.
	news chan struct{}
	// started is when the Feed was first used.
	started time.Time
	// active is set if relays are in use, relaying while this process watches the store for
	// others.
	active, relaying bool
	// source names where the histories come from.
	source string
	// avoided has until when a relay is not asked.
	avoided map[string]time.Time
	// failing has what relays reported of their failing calls to the store, by name.
	failing map[string]report
	shared  map[string]*sharedList
	breaker breaker
}

// view is the history of a kind and what is known of its age.
type view struct {
	Kind
	history
	// validUntil is until when the history counts as current for this process's followers,
	// servedUntil until when it may be given to others: this process's own watch has confirmed
	// it. confirmed is a time at which it was current.
	validUntil, servedUntil, confirmed time.Time
	// outage is the last outage of the store that this process's own watch has seen.
	outage follow.Outage
	// steady is set while this process's own watch of the kind does not fail, restart ends the
	// call in progress.
	steady  bool
	restart context.CancelFunc
	// failingSince is when the first call of that watch failed since the last success.
	failingSince time.Time
	// floor is the highest revision that a follower of this process was given.
	floor uint64
	// reader names the source from which the followers last read.
	reader string
}

// current reports whether this process's followers may read the history.
func (v *view) current(now time.Time) bool { return v.listed && now.Before(v.validUntil) }

// serves reports whether the history may be given to other processes.
func (v *view) serves(now time.Time) bool { return v.listed && now.Before(v.servedUntil) }

// maxStale is how long after the last confirmation of a watch its history is given to
// others. A backend server that leaves must get no requests after 3 s.
const maxStale = 1500 * time.Millisecond

var (
	// errStale means that the history may not be current.
	errStale = errors.New("no current view")
	// errCurrent is the cause of a call to the store that ends as the history is current.
	errCurrent = errors.New("the view is current again")
)

// view returns that of a kind, nil if the kind isn't watched. The caller must hold mu.
func (f *Feed) view(kind string) *view {
	if f.views == nil {
		f.views, f.news = map[string]*view{}, make(chan struct{})
		f.avoided, f.failing, f.shared = map[string]time.Time{}, map[string]report{}, map[string]*sharedList{}
		for _, k := range f.Kinds {
			f.views[k.Name] = &view{Kind: k}
		}
	}
	return f.views[kind]
}

// announce wakes all goroutines that wait for changes. The caller must hold mu.
func (f *Feed) announce() {
	close(f.news)
	f.news = make(chan struct{})
}

// List implements follow.Feed.
func (f *Feed) List(ctx context.Context, kind, after string) (store.Page, error) {
	f.mu.Lock()
	v := f.view(kind)
	f.mu.Unlock()
	if after != "" {
		// The page before came from the store.
		return f.listDirect(ctx, kind, after)
	}
	if v == nil {
		return f.listOnce(ctx, kind)
	}
	if err := f.awaitStart(ctx, v, false); err != nil {
		return store.Page{}, err
	}
	f.mu.Lock()
	if v.current(time.Now()) && v.revision >= v.floor {
		page := v.list()
		f.read(v, page)
		f.mu.Unlock()
		return page, nil
	}
	f.mu.Unlock()
	page, err := f.listDirect(ctx, kind, "")
	f.readDirect(v, page, err)
	return page, err
}

// listDirect lists a page from the store.
func (f *Feed) listDirect(ctx context.Context, kind, after string) (store.Page, error) {
	return callStore(ctx, f, true, func() (store.Page, error) { return f.Direct.List(ctx, kind, after) })
}

// Changes implements follow.Feed.
func (f *Feed) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	f.mu.Lock()
	v := f.view(kind)
	f.mu.Unlock()
	deadline := time.Now().Add(wait)
	for v != nil {
		if err := f.awaitStart(ctx, v, true); err != nil {
			return store.Page{}, err
		}
		page, err := f.await(ctx, v, after, deadline)
		if !errors.Is(err, errStale) && !errors.Is(err, errBehind) {
			return page, err
		}
		page, err = f.changesDirect(ctx, v, after, time.Until(deadline))
		if !errors.Is(err, errCurrent) {
			return page, err
		}
	}
	return callStore(ctx, f, false, func() (store.Page, error) { return f.Direct.Changes(ctx, kind, after, wait) })
}

// await waits for a change of the history.
func (f *Feed) await(ctx context.Context, v *view, after uint64, deadline time.Time) (store.Page, error) {
	for {
		now := time.Now()
		f.mu.Lock()
		if !v.current(now) {
			f.mu.Unlock()
			return store.Page{}, errStale
		}
		page, err := v.since(after)
		if err != nil || len(page.Objects) > 0 || !now.Before(deadline) {
			if err == nil {
				f.read(v, page)
			}
			f.mu.Unlock()
			return page, err
		}
		news, until := f.news, earlier(v.validUntil, deadline)
		f.mu.Unlock()
		if err := waitFor(ctx, news, until.Sub(now)); err != nil {
			return store.Page{}, err
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// waitFor waits until news is closed, but at most for the time wait. The error is that of ctx.
func waitFor(ctx context.Context, news <-chan struct{}, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// minDirect is how long a call to the store goes on at least when the history is current
// again, so that a relay that comes and goes does not cause a call each time.
const minDirect = time.Second

// changesDirect waits for changes at the store until the history is current again. The error
// is errCurrent then.
func (f *Feed) changesDirect(ctx context.Context, v *view, after uint64, wait time.Duration) (store.Page, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cancelOnceCurrent(callCtx, cancel, v, store.Era(after))
	page, err := callStore(callCtx, f, false, func() (store.Page, error) { return f.Direct.Changes(callCtx, v.Name, after, wait) })
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(callCtx), errCurrent) {
		return store.Page{}, errCurrent
	}
	f.readDirect(v, page, err)
	return page, err
}

// cancelOnceCurrent ends a call to the store once the history is current in the era.
func (f *Feed) cancelOnceCurrent(ctx context.Context, cancel context.CancelCauseFunc, v *view, era uint64) {
	if waitFor(ctx, nil, minDirect) != nil {
		return
	}
	for {
		f.mu.Lock()
		news, current := f.news, v.current(time.Now()) && store.Era(v.revision) >= era
		f.mu.Unlock()
		if current {
			cancel(errCurrent)
			return
		}
		select {
		case <-news:
		case <-ctx.Done():
			return
		}
	}
}

// read records what a follower was given from the history. The caller must hold mu.
func (f *Feed) read(v *view, page store.Page) {
	v.floor = max(v.floor, page.Revision)
	if f.source != ownSource {
		f.Meters.Add(FromRelay, 1)
	}
	f.setReader(v, f.source)
}

// readDirect records what a follower was given by the store.
func (f *Feed) readDirect(v *view, page store.Page, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if !errors.Is(err, store.ErrForgotten) && !errors.Is(err, context.Canceled) {
			f.confirmOutage(time.Now(), v)
		}
		return
	}
	v.floor = max(v.floor, page.Revision)
	f.setReader(v, storeSource)
}

const (
	// storeSource and ownSource are the names of the store and of this process's own watch as
	// a relay. Another source has the name of a relay.
	storeSource = "Store"
	ownSource   = "OwnWatch"
)

// setReader records the source of a kind, and logs a change of it. The caller must hold mu.
func (f *Feed) setReader(v *view, source string) {
	if v.reader == source || v.reader == "" && !f.active {
		return
	}
	f.Log.Info("source of the store's objects changed", zap.String("Kind", v.Name), zap.String("Source", source), zap.String("Before", v.reader))
	v.reader = source
}

// Relayed reports whether the kind is read from the history now, so that reading it costs no
// call to the store.
func (f *Feed) Relayed(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view(kind)
	return v != nil && v.current(time.Now())
}

// Find returns an object of the history and a time at which it was in the store. It returns
// false if the object is not there or the history may not be current.
func (f *Feed) Find(kind, key string) (store.Object, time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view(kind)
	if v == nil || !v.current(time.Now()) {
		return store.Object{}, time.Time{}, false
	}
	o, ok := v.objects[key]
	return o, v.confirmed, ok
}
