package feed

import (
	"context"
	"errors"
	"time"

	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// sharedList lists the objects of a kind that nobody watches for several callers together. Each
// gets a list that began after its call.
type sharedList struct {
	running bool
	next    *listing
}

// listing is a list that has not begun, or one that is in progress.
type listing struct {
	done chan struct{}
	page store.Page
	err  error
}

// onceTimeout bounds the wait for a relay's list of a kind that it does not watch.
const onceTimeout = 400 * time.Millisecond

// errNoRelay means that there is no relay to ask.
var errNoRelay = errors.New("no relay to ask")

// listOnce lists the objects of a kind that is not watched: while the process starts from a
// relay, which lists for all, else the first page from the store.
func (f *Feed) listOnce(ctx context.Context, kind string) (store.Page, error) {
	if err := f.awaitStart(ctx, f.anyView(), false); err != nil {
		return store.Page{}, err
	}
	f.mu.Lock()
	early := time.Since(f.started) < 2*startWith
	f.mu.Unlock()
	if early {
		if page, err := f.listRelayed(ctx, kind); err == nil {
			f.Meters.Add(FromRelay, 1)
			return page, nil
		}
	}
	return f.listDirect(ctx, kind, "")
}

// anyView returns the view of a kind that is read from relays when the process starts.
func (f *Feed) anyView() *view {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.views {
		if !v.First {
			return v
		}
	}
	return &view{}
}

// listRelayed lists the objects of a kind from the first relay.
func (f *Feed) listRelayed(ctx context.Context, kind string) (store.Page, error) {
	choice := f.Choose()
	if !choice.Active || choice.Relay || len(choice.Relays) == 0 {
		return store.Page{}, errNoRelay
	}
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	answer, err := f.Caller.Changes(ctx, choice.Relays[0].Address, &wire.FeedQuery{Kind: kind, List: true})
	switch {
	case err != nil:
		return store.Page{}, err
	case answer.Refused || answer.Revision == 0:
		return store.Page{}, errStale
	case store.Era(answer.Revision) < f.era():
		return store.Page{}, errOlder
	}
	return store.Page{Revision: answer.Revision, Objects: decodeObjects(answer.Objects)}, nil
}

// era returns the latest era of the store that is known.
func (f *Feed) era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var era uint64
	for _, v := range f.views {
		era = max(era, store.Era(v.revision), store.Era(v.floor))
	}
	return era
}

// listShared lists all objects of a kind from the store, in one list for all callers that
// wait for the next one to begin.
func (f *Feed) listShared(ctx context.Context, kind string) (store.Page, error) {
	f.mu.Lock()
	f.view(kind)
	o := f.shared[kind]
	if o == nil {
		o = &sharedList{}
		f.shared[kind] = o
	}
	if o.next == nil {
		o.next = &listing{done: make(chan struct{})}
	}
	mine := o.next
	if !o.running {
		o.running = true
		go f.listAll(kind, o)
	}
	f.mu.Unlock()
	select {
	case <-mine.done:
		return mine.page, mine.err
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	}
}

// maxShared is the largest list of objects that is handed on, in bytes.
const maxShared = 2 << 20

// errLarge means that a list is too large for one message.
var errLarge = errors.New("too large to hand on")

// listAll lists the objects as often as callers wait.
func (f *Feed) listAll(kind string, o *sharedList) {
	for {
		f.mu.Lock()
		l := o.next
		o.next = nil
		if l == nil {
			o.running = false
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
		// The callers may go while others wait.
		ctx, cancel := context.WithTimeout(context.Background(), onceTimeout)
		l.page, l.err = f.listPages(ctx, kind)
		cancel()
		size := 0
		for _, object := range l.page.Objects {
			size += len(object.Key) + len(object.Value)
		}
		if l.err == nil && size > maxShared {
			l.page, l.err = store.Page{}, errLarge
		}
		close(l.done)
	}
}

// listPages lists all objects of a kind from the store. The revision is that of the first
// page.
func (f *Feed) listPages(ctx context.Context, kind string) (store.Page, error) {
	all, err := f.listDirect(ctx, kind, "")
	for err == nil && all.Next != "" {
		var page store.Page
		if page, err = f.listDirect(ctx, kind, all.Next); err == nil {
			all.Objects, all.Next = append(all.Objects, page.Objects...), page.Next
			all.Nameless += page.Nameless
			if store.Era(page.Revision) != store.Era(all.Revision) {
				err = store.ErrForgotten
			}
		}
	}
	return all, err
}
