package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of requests and answers. Their names have no case.
const (
	idField       = "x-attempt-id"
	sealField     = "x-server-seal"
	expectField   = "x-expect-instance"
	notRunField   = "x-not-executed"
	instanceField = "x-instance"
	afterField    = "last-event-id"
	resumesField  = "resumes"
	tokensField   = "x-token-count"
	prefixField   = "x-prefix-hash"
	modelField    = "x-model"
	deadlineField = "x-deadline-ms"
)

// beat is the time between two writes of a runner's entry.
const beat = 1200 * time.Millisecond

// execution is one run of a request at a runner.
type execution struct {
	request, runner, version string
	after                    int
	// began is when the runner began to work on it, ended when it stopped. complete is set if
	// it came to its end, spoiled if the answer has wrong bytes.
	began, ended      time.Time
	complete, spoiled bool
}

// streamShape is what the streams of a runner are like.
type streamShape struct {
	events int
	gap    time.Duration
}

// runner is a stand-in for a backend server.
type runner struct {
	world         *world
	service, role string
	slots         int
	stream        streamShape
	// work is how long a request that is no stream takes.
	work time.Duration
	// spoils decides whether the answer to a stream has wrong bytes.
	spoils func() bool
	// crashes decides whether the runner crashes as it begins to answer a prompt with the
	// parts, crash is called then; nil if it never does.
	crashes func(prefix string) bool
	crash   func()

	mu       sync.Mutex
	id       string
	version  string
	born     int64
	sequence int
	// written is the last entry that the store has accepted.
	written string
	state   string
	listed  bool
	address string
	server  *http.Server
	busy    int
	runs    []*execution
	stop    chan struct{}
}

// start makes the runner listen, at its address if it had one, and writes its entry.
func (s *runner) start(ip string) error {
	s.mu.Lock()
	address := s.address
	if address == "" {
		address = ip + ":0"
	}
	s.mu.Unlock()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("runner %s: %w", s.id, err)
	}
	server := &http.Server{Handler: s}
	s.mu.Lock()
	s.address, s.server, s.born, s.sequence, s.state, s.listed = listener.Addr().String(), server, time.Now().UnixMilli(), 0, "Ready", true
	s.stop = make(chan struct{})
	stop := s.stop
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	s.beat()
	go func() {
		ticker := time.NewTicker(beat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.beat()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// end ends the runner's process: its connections are closed and its port is free. Further calls
// do nothing.
func (s *runner) end() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server != nil {
		close(s.stop)
	}
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// beat writes the runner's entry. An entry of which only the sequence changes stays as it is.
func (s *runner) beat() {
	s.mu.Lock()
	if !s.listed {
		s.mu.Unlock()
		return
	}
	s.sequence++
	entry := map[string]any{
		"Service": s.service, "Address": s.address, "AvailabilityZone": "z1", "Version": s.version, "Slots": s.slots, "State": s.state,
		"ColdLeftMs": 0, "Role": s.role, "Models": []any{map[string]any{"Name": "m", "Version": 1, "adapters": []string{}}}, "Sequence": s.sequence, "born": s.born,
	}
	id, sign := s.id, fmt.Sprint(s.address, s.version, s.state, s.born)
	known := s.written == sign
	s.mu.Unlock()
	if !known && s.world.store.put("servers", id, entry) {
		s.mu.Lock()
		s.written = sign
		s.mu.Unlock()
	}
}

// unlist removes the runner's entry for good, without reporting that it leaves.
func (s *runner) unlist() {
	s.mu.Lock()
	s.listed = false
	s.mu.Unlock()
	s.world.store.remove("servers", s.id)
}

// ServeHTTP implements http.Handler.
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, expected := r.Header.Get(idField), r.Header.Get(expectField)
	if id != "" {
		w.Header()[idField] = []string{id}
	}
	s.mu.Lock()
	own, version := s.id, s.version
	full := s.busy >= 4*s.slots
	s.mu.Unlock()
	w.Header()[instanceField] = []string{own}
	switch {
	case r.Method == http.MethodDelete || id == "":
		w.WriteHeader(http.StatusOK)
		return
	case expected != "" && expected != own:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header()[notRunField] = []string{"1"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(afterField))
	x := &execution{request: id, runner: own, version: version, after: after, began: time.Now()}
	s.mu.Lock()
	s.busy++
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.world.record.add("run %s at %s version %s after %d", id, own, version, after)
	w.Header()[sealField] = []string{"seal-" + own}
	complete := false
	if r.Header.Get(tokensField) != "" {
		complete = s.serveStream(w, r, x)
	} else {
		complete = s.servePlain(w, r, id)
	}
	s.mu.Lock()
	s.busy--
	x.ended, x.complete = time.Now(), complete
	s.mu.Unlock()
	s.world.record.add("end of run %s at %s complete %t", id, own, complete)
}

// servePlain answers a request that is no stream. It returns false if its caller has gone.
func (s *runner) servePlain(w http.ResponseWriter, r *http.Request, id string) bool {
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return false
	}
	_, err := fmt.Fprintf(w, "answer to %s", id)
	return err == nil
}

// serveStream answers with a stream of events. It returns false if its caller has gone.
func (s *runner) serveStream(w http.ResponseWriter, r *http.Request, x *execution) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if s.crashes != nil && s.crashes(r.Header.Get(prefixField)) {
		time.Sleep(s.stream.gap)
		go s.crash()
		<-r.Context().Done()
		return false
	}
	spoiledAt := 0
	if s.spoils != nil && s.spoils() {
		spoiledAt = x.after + 5
	}
	flush := http.NewResponseController(w)
	for n := x.after + 1; n <= s.stream.events; n++ {
		select {
		case <-time.After(s.stream.gap):
		case <-r.Context().Done():
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, x.request, x.version)
		if n == spoiledAt {
			text = "\xff\xfe\x00 wrong bytes\n\n"
			s.mu.Lock()
			x.spoiled = true
			s.mu.Unlock()
			s.world.record.add("wrong bytes in %s at %s in place of event %d", x.request, x.runner, n)
		}
		if _, err := w.Write([]byte(text)); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}

// executions returns copies of the runs so far.
func (s *runner) executions() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]execution, 0, len(s.runs))
	for _, x := range s.runs {
		list = append(list, *x)
	}
	return list
}
