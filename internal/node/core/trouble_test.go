package core

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"ebonyscale.example/ebonyscale/internal/state/store"
)

// outageMode is what the store does during an outage.
type outageMode string

// The modes.
const (
	// silent leaves calls without a response, also those that are open as it begins.
	silent outageMode = "silent"
	// busy refuses calls, open watches go on; refusing cuts these off.
	busy     outageMode = "busy"
	refusing outageMode = "refusing"
	// stalled leaves calls open, and answers those that are open at the end: the store has no
	// processor.
	stalled outageMode = "stalled"
	// forgetting is no outage: the store answers, but has discarded the changes that a watch
	// asks for.
	forgetting outageMode = "forgetting"
	// partial is none either: calls of one kind fail, all others are answered.
	partial outageMode = "partial"
	// conflicting is none either: reads are answered, and each write with a conflict.
	conflicting outageMode = "conflicting"
)

// troubledStore is a store with outages. It bounds calls as platform.Store does.
type troubledStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]store.Object
	history  []store.Object
	mode     outageMode
	// broken counts the outages that open calls don't survive, cut those in which they end
	// with an error at once.
	broken, cut int
	changed     chan struct{}
}

const (
	// callTimeout bounds a call to the store, callTime is how long one takes.
	callTimeout = time.Second
	callTime    = 4 * time.Millisecond
)

var errReset = errors.New("connection reset")

func newTroubledStore() *troubledStore {
	return &troubledStore{revision: 100, objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// wake wakes the watches. s.mu must be held.
func (s *troubledStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin begins an outage, end ends it.
func (s *troubledStore) begin(mode outageMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	switch mode {
	case silent:
		s.broken++
	case refusing:
		s.cut++
	}
	s.wake()
}

func (s *troubledStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = ""
	s.wake()
}

// write writes an object, also during an outage, or removes it if it has no value.
func (s *troubledStore) write(o store.Object) store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Version, o.Removed = s.revision, len(o.Value) == 0
	if s.objects[o.Key] = o; o.Removed {
		delete(s.objects, o.Key)
	}
	s.history = append(s.history, o)
	s.wake()
	return o
}

// partlyFailing is the kind whose calls fail while the mode is partial.
const partlyFailing = "quarantine"

// enter begins a call for objects of a kind.
func (s *troubledStore) enter(ctx context.Context, kind string) error {
	time.Sleep(callTime)
	s.mu.Lock()
	for s.mode == stalled {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
	}
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case busy, refusing:
		return store.ErrRefused
	case partial:
		if kind == partlyFailing {
			return store.ErrRefused
		}
	}
	return nil
}

func (s *troubledStore) List(ctx context.Context, kind, _ string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, kind); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (s *troubledStore) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if err := s.enter(ctx, kind); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == forgetting {
		return store.Page{}, store.ErrForgotten
	}
	broken, cut, end := s.broken, s.cut, time.NewTimer(wait)
	defer end.Stop()
	for ended := false; ; {
		p := store.Page{Revision: s.revision}
		for _, o := range s.history {
			if strings.HasPrefix(o.Key, kind+"/") && o.Version > after {
				p.Objects = append(p.Objects, o)
			}
		}
		// During an outage nobody gets a response.
		if (s.mode == "" || s.mode == partial || s.mode == conflicting) && (ended || len(p.Objects) > 0) {
			return p, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			ended = true
			end.Reset(callTimeout)
		case <-ctx.Done():
		}
		s.mu.Lock()
		switch {
		case ctx.Err() != nil:
			return store.Page{}, ctx.Err()
		case s.cut != cut:
			return store.Page{}, errReset
		case s.broken != broken:
			s.mu.Unlock()
			<-ctx.Done()
			s.mu.Lock()
			return store.Page{}, ctx.Err()
		}
	}
}

func (s *troubledStore) Get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, ""); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrAbsent
	}
	return o, nil
}

func (s *troubledStore) Put(ctx context.Context, o store.Object) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.enter(ctx, ""); err != nil {
		return 0, err
	}
	s.mu.Lock()
	conflict := s.mode == conflicting
	s.mu.Unlock()
	if conflict {
		return 0, store.ErrConflict
	}
	return s.write(o).Version, nil
}

// laggingStore is a store whose answers take a time to arrive.
type laggingStore struct {
	*troubledStore
	answering time.Duration
}

func (s laggingStore) List(ctx context.Context, kind, after string) (store.Page, error) {
	p, err := s.troubledStore.List(ctx, kind, after)
	time.Sleep(s.answering)
	return p, err
}

func (s laggingStore) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) (store.Page, error) {
	p, err := s.troubledStore.Changes(ctx, kind, after, wait)
	time.Sleep(s.answering)
	return p, err
}
