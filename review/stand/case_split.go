package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["split"] = playSplit }

// playSplit has the operator give a part of a route a route of its own while a release is
// under way, and then all processes are killed. Without the disruption they aren't.
func playSplit(w *world) {
	chat := func(name, prefix string) map[string]any {
		r := route(name, prefix, "Stream", "chat", 15000, 2)
		r["Resumable"], r["GapMs"] = true, 300
		return r
	}
	w.configure(1, chat("chat", "/chat/"))
	add := func(id, version string) {
		r := &runner{id: id, service: "chat", version: version, address: "127.0.0.1:0", born: time.Now().UnixMilli()}
		r.answer = func(a http.ResponseWriter, n run) {
			w.detail("%s of %s runs %s after %q", r.id, r.version, n.attempt, n.header.Get("last-event-id"))
			r.streamOf(a, n, 100)
		}
		r.listen()
		w.list(r)
	}
	for i := range 2 {
		add(fmt.Sprintf("i-%d", i+1), "v1")
	}
	var machines []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		p := newProcess(w.folder, name, w.store.address)
		p.start()
		p.awaitReady()
		machines = append(machines, p)
	}
	time.Sleep(4 * time.Second)
	w.log("clients begin streams")
	var clients sync.WaitGroup
	var mu sync.Mutex
	var all []seen
	for i := range 12 {
		clients.Go(func() {
			s := followOf(machines, i, "/chat/shop/1", 100)
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
		})
	}
	time.Sleep(time.Second)
	for i := range 3 {
		add(fmt.Sprintf("i-%d", i+3), "v2")
	}
	w.log("three runners of v2 have come")
	time.Sleep(time.Second)
	w.configure(2, chat("chat", "/chat/"), chat("shop", "/chat/shop/"))
	w.log("the operator has added a route")
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		w.log("all processes are killed")
		for _, p := range machines {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range machines {
			p.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range machines {
			p.start()
		}
		for _, p := range machines {
			p.awaitReady()
		}
	}
	clients.Wait()
	mixed, complete := 0, 0
	for _, s := range all {
		w.detail("stream %s: tries %d, answers %v, complete %t, events of %v", s.first, s.tries, s.statuses, s.complete, s.versions)
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	w.log("%d streams, %d complete, %d with events of two software versions", len(all), complete, mixed)
	if mixed > 2 {
		w.breaks("ORDER: %d streams hold events of two software versions", mixed)
	}
}
