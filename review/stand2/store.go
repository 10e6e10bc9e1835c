package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fields and limits of the store's answers, in the project's names.
const (
	itemsField  = "items"
	eventsField = "events"
	listPage    = 50
)

// meta identifies an object and its version.
type meta struct {
	Name     string
	Revision uint64
}

// object is an object of the store.
type object struct {
	Metadata meta
	Spec     json.RawMessage
}

// change is an event of the store's history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a stand-in for the platform's store.
type store struct {
	record  *recorder
	address string
	server  *http.Server

	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	objects  map[string]object
	history  []change
	// silent is set while the store is down and silent: it reads calls and answers none, also
	// later. outages counts them, so that a call that was open in one gets no answer.
	silent  bool
	outages int
}

func newStore(r *recorder, ip string) (*store, error) {
	s := &store{record: r, revision: 100, objects: map[string]object{}}
	s.changed = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object as an operator or a runner does. While the store is silent it returns
// false and writes nothing.
func (s *store) put(kind, name string, spec any) bool {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.write(kind, name, data)
	return true
}

// write stores an object at the next revision. s.mu must be held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{meta{name, s.revision}, spec}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, change{kind, s.revision, o, false})
	s.changed.Broadcast()
	return o
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// delete is remove with s.mu held.
func (s *store) delete(kind, name string) {
	o, exists := s.objects[kind+"/"+name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.history = append(s.history, change{kind, s.revision, o, true})
	s.changed.Broadcast()
}

// setSilent begins or ends an outage.
func (s *store) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if on {
		s.outages++
	}
	s.changed.Broadcast()
	s.record.add("store silent: %t", on)
}

// count returns the number of objects of a kind.
func (s *store) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			n++
		}
	}
	return n
}

// ServeHTTP implements http.Handler. A call that is open while the store is silent gets no
// answer and keeps its connection until the caller closes it.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	outages := s.outages
	status, body := http.StatusServiceUnavailable, any(nil)
	if !s.silent {
		status, body = s.answer(r)
	}
	lost := s.silent || s.outages != outages
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// answer executes a call. s.mu must be held; it is released while a watch waits.
func (s *store) answer(r *http.Request) (int, any) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(kind, query.Get("watch"), query.Get("wait-ms"))
	case r.Method == http.MethodGet && !named:
		return s.list(kind, query.Get("after"))
	case r.Method == http.MethodGet:
		o, exists := s.objects[kind+"/"+name]
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, o
	}
	return s.change(r, kind, name, query.Get("Revision"))
}

// list returns a page of the objects of a kind.
func (s *store) list(kind, after string) (int, any) {
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names[:min(len(names), listPage)] {
		items = append(items, s.objects[kind+"/"+name])
	}
	return http.StatusOK, map[string]any{itemsField: items, "HasMore": len(names) > listPage, "AsOf": s.revision}
}

// watch returns the changes of a kind after a revision, and waits for the first.
func (s *store) watch(kind, from, wait string) (int, any) {
	after, err := strconv.ParseUint(from, 10, 64)
	ms, err2 := strconv.Atoi(wait)
	if err != nil || err2 != nil || after > s.revision {
		return http.StatusGone, nil
	}
	end, outages := time.Now().Add(time.Duration(ms)*time.Millisecond), s.outages
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	for {
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"Object": c.object, "Deleted": c.deleted})
			}
		}
		if len(events) > 0 || !time.Now().Before(end) || s.outages != outages {
			return http.StatusOK, map[string]any{eventsField: events, "AsOf": s.revision}
		}
		s.changed.Wait()
	}
}

// change creates, replaces or removes an object.
func (s *store) change(r *http.Request, kind, name, revision string) (int, any) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	before, exists := s.objects[kind+"/"+name]
	expected := o.Metadata.Revision
	if revision != "" {
		expected, _ = strconv.ParseUint(revision, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != before.Metadata.Revision:
		return http.StatusConflict, before
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		return http.StatusOK, nil
	}
	return http.StatusOK, s.write(kind, name, o.Spec)
}
