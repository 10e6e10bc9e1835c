package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	name     string
	revision uint64
	spec     json.RawMessage
}

// change is an entry of the history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a sound platform store: linearizable, with lists, watches and conditional
// writes, and with the whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]object
	history  []change
	address  string
	// silent, if set, is closed when the store answers again.
	silent chan struct{}
}

// setSilent begins or ends a time in which the store answers nothing.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.silent = make(chan struct{})
		return
	}
	close(s.silent)
	s.silent = nil
}

// await waits while the store is silent. What was asked meanwhile is lost.
func (s *store) await(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return
	}
	select {
	case <-silent:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func newStore() *store {
	s := &store{revision: 100, objects: map[string]object{}, changed: make(chan struct{})}
	s.address = serve(s)
	return s
}

// serve serves HTTP on a free loopback port.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// put writes an object, as the operator or a runner does, and returns the time of the
// acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		cannot("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return time.Now()
}

// remove removes an object and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
	return time.Now()
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{name, s.revision, spec}
	s.objects[kind+"/"+name] = o
	s.record(change{kind, s.revision, o, false})
	return o
}

func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.record(change{kind, s.revision, o, true})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (o object) encode() string {
	return fmt.Sprintf(`{"Metadata":{"Name":%q,"Revision":%d,"Created":1,"Finalizers":[],"Deleting":false},"Spec":%s,"Status":null}`, o.name, o.revision, o.spec)
}

func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.await(r)
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, "{}")
			return
		}
		reply(w, 200, o.encode())
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for key := range s.objects {
		if k, name, _ := strings.Cut(key, "/"); k == kind && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	names = names[:min(len(names), 500)]
	items := make([]string, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind+"/"+name].encode())
	}
	body := fmt.Sprintf(`{"items":[%s],"HasMore":%t,"AsOf":%d}`, strings.Join(items, ","), more, s.revision)
	s.mu.Unlock()
	reply(w, 200, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		reply(w, 400, "{}")
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	ended := false
	for {
		s.mu.Lock()
		var events []string
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, fmt.Sprintf(`{"Object":%s,"Deleted":%t}`, c.object.encode(), c.deleted))
			}
		}
		body, changed := fmt.Sprintf(`{"events":[%s],"AsOf":%d}`, strings.Join(events, ","), s.revision), s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			s.await(r)
			reply(w, 200, body)
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Metadata struct {
			Name     string
			Revision uint64
		}
		Spec json.RawMessage
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) > 0 && json.Unmarshal(data, &in) != nil {
		reply(w, 400, "{}")
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != before.revision:
		reply(w, 409, before.encode())
	case r.Method != http.MethodPost && !exists:
		reply(w, 404, "{}")
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, 200, before.encode())
	default:
		reply(w, 200, s.write(kind, name, in.Spec).encode())
	}
}
