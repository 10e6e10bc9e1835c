package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["handle"] = playHandle }

const (
	// blockFor is how long the decode engine is busy, less than kv-ttl-s (5).
	blockFor = 4500 * time.Millisecond
	handles  = 6
)

// engines has the handles of all engines, by address.
type engines struct {
	mu sync.Mutex
	// handles has the attempt whose memory a handle holds, by address and handle.
	handles map[string]map[string]string
	// counts is the number of handles that a start of an engine has given.
	counts map[string]int
}

// restart forgets what an engine holds: its counts start anew.
func (e *engines) restart(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles[address], e.counts[address] = map[string]string{}, 0
}

// prefill reads a prompt and returns its handle.
func (e *engines) prefill(address, attempt string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[address]++
	handle := fmt.Sprintf("%012x", e.counts[address])
	e.handles[address][handle] = attempt
	return handle
}

// take takes a handle and returns whose it is.
func (e *engines) take(source string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address, handle, _ := strings.Cut(source, "/")
	attempt, ok := e.handles[address][handle]
	delete(e.handles[address], handle)
	return attempt, ok
}

// playHandle has a prefill engine crash and start again while requests whose prompts it has
// read wait for a decode engine, which is busy. An engine numbers its handles from its start
// on, and doesn't check whose a handle is. Without the disruption the engine doesn't crash.
func playHandle(w *world) {
	notes := route("notes", "/notes/", "Stream", "llm", 15000, 2)
	notes["Prompted"], notes["Resumable"], notes["GapMs"], notes["AimMs"] = true, true, 150, 1000
	w.store.put("config", "main", map[string]any{
		"Version": 1, "Routes": []any{notes},
		"Services": []any{map[string]any{
			"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 130, "protocol": "h1", "tls": false,
			"Engine": map[string]any{"Slots": 8, "CacheTokens": 1470480, "TokenBytes": 35136, "HandleSeconds": 5.0, "SwitchSeconds": 3.0, "Models": []any{map[string]any{"Name": "m"}}},
		}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	all := &engines{handles: map[string]map[string]string{}, counts: map[string]int{}}
	var mu sync.Mutex
	mixed := 0
	respond := func(r *runner) func(a http.ResponseWriter, n run) {
		return func(a http.ResponseWriter, n run) {
			if n.header.Get("x-phase") == "Prefill" {
				time.Sleep(10 * time.Millisecond)
				handle := all.prefill(r.address, n.attempt)
				w.log("%s has read the prompt of %s, handle %s", r.id, n.attempt, handle)
				data, _ := json.Marshal(map[string]any{"Handle": handle, "Tokens": 3000, "Version": 1})
				reply(a, 200, string(data))
				return
			}
			if source := n.header.Get("x-kv-source"); source != "" {
				whose, ok := all.take(source)
				w.log("%s runs %s from %s, which is that of %q", r.id, n.attempt, source, whose)
				if !ok {
					a.Header()["x-not-executed"] = []string{"1"}
					a.WriteHeader(503)
					return
				}
				if whose != n.attempt {
					mu.Lock()
					mixed++
					mu.Unlock()
				}
			}
			a.Header()["x-server-seal"] = []string{"seal"}
			a.Header().Set("Content-Type", "text/event-stream")
			events := 3
			if string(n.body) == "long" {
				events = int(blockFor / (100 * time.Millisecond))
			}
			for i := 1; i <= events; i++ {
				time.Sleep(100 * time.Millisecond)
				if _, err := fmt.Fprintf(a, "id: %d\ndata: token\n\n", i); err != nil {
					return
				}
				a.(http.Flusher).Flush()
			}
		}
	}
	engine := func(id, role, address string, slots int) *runner {
		r := &runner{id: id, service: "llm", version: "v1", role: role, slots: slots, address: address, born: time.Now().UnixMilli()}
		r.answer = respond(r)
		r.listen()
		all.restart(r.address)
		w.list(r)
		return r
	}
	prefill := engine("i-1", "Prefill", "127.0.0.1:0", 8)
	engine("i-2", "Decode", "127.0.0.1:0", 4)
	p := newProcess(w.folder, "entry-1", w.store.address)
	p.start()
	p.awaitReady()
	var clients sync.WaitGroup
	ask := func(kind, tokens, parts string) {
		attempt := newAttempt()
		clients.Go(func() {
			r := send(p.callers, attempt, head("POST", "/notes/1", attempt, 15000, "x-model: m", "x-token-count: "+tokens, "x-prefix-hash: "+parts, fmt.Sprintf("content-length: %d", len(kind)))+kind, 16*time.Second)
			w.log("%s %s: answered %d %v", kind, attempt, r.status, r.err)
		})
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 7 {
		ask("long", "100,60", fmt.Sprintf("a%d:100", i))
	}
	time.Sleep(300 * time.Millisecond)
	for i := range handles {
		ask("first", "3000,60", fmt.Sprintf("b:1000,c%d:2000", i))
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.log("%s crashes", prefill.id)
		prefill.end()
		time.Sleep(2 * time.Second)
		prefill = engine(prefill.id, "Prefill", prefill.address, 8)
		w.log("%s has started again", prefill.id)
	} else {
		time.Sleep(2 * time.Second)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range handles {
		ask("second", "3000,60", fmt.Sprintf("b:1000,d%d:2000", i))
	}
	clients.Wait()
	if mixed > 0 {
		w.breaks("MIXED: %d requests went on from the handle of another request", mixed)
	}
}
