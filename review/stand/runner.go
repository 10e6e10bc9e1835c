package main

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner has received and not rejected.
type run struct {
	at      time.Time
	runner  string
	attempt string
	method  string
	path    string
	header  http.Header
	body    []byte
}

// runner is a sound runner of a plain service, but for what its answer does.
type runner struct {
	id, service, version string
	address              string
	born                 int64
	// role is that of an engine, slots how many requests it serves at once, 8 if it is 0.
	role   string
	slots  int
	server *http.Server
	// answer, if set, answers a request that the runner runs.
	answer func(w http.ResponseWriter, q run)

	mu       sync.Mutex
	sequence int
	runs     []run
}

func newRunner(id, service string) *runner {
	r := &runner{id: id, service: service, version: "v1", address: "127.0.0.1:0", born: time.Now().UnixMilli()}
	r.listen()
	return r
}

// listen begins to accept connections at the runner's address.
func (r *runner) listen() {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		cannot("listen: %v", err)
	}
	r.address, r.server = listener.Addr().String(), &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
}

// end ends the runner as a crash does: its connections are closed, and new ones refused.
func (r *runner) end() { _ = r.server.Close() }

// entry returns the runner's entry in the store.
func (r *runner) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e := map[string]any{
		"Service": r.service, "Address": r.address, "AvailabilityZone": "north", "Version": r.version, "Slots": cmp.Or(r.slots, 8),
		"State": state, "ColdLeftMs": 0, "Sequence": r.sequence, "born": r.born,
	}
	if r.role != "" {
		e["Role"], e["Models"] = r.role, []any{map[string]any{"Name": "m", "Version": 1, "adapters": []any{}}}
	}
	return e
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("x-attempt-id")
	h := w.Header()
	if attempt != "" {
		h["x-attempt-id"] = []string{attempt}
	}
	if expected := q.Header.Get("x-expect-instance"); expected != "" && expected != r.id {
		h["x-instance"] = []string{r.id}
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		h["x-instance"] = []string{r.id}
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	n := run{time.Now(), r.id, attempt, q.Method, q.RequestURI, q.Header.Clone(), body}
	r.mu.Lock()
	r.runs = append(r.runs, n)
	respond := r.answer
	r.mu.Unlock()
	if respond != nil {
		respond(w, n)
		return
	}
	answer(w, 200, "done by "+r.id+" for "+attempt)
}

// answer sends a runner's own answer to a request that it has run.
func answer(w http.ResponseWriter, status int, body string) {
	h := w.Header()
	h["x-server-seal"] = []string{"seal"}
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// all returns what the runner has run so far.
func (r *runner) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
