package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["common"] = playCommon }

// playCommon has the two runners of a service end under any request for some seconds, for a
// reason of their own, and serve well after that. All prompts share their first part. Without
// the disruption they do not end.
func playCommon(w *world) {
	w.configure(1, route("notes", "/notes/", "AtMostOnce", "llm", 1500, 1))
	var mu sync.Mutex
	ends := 0
	bad := false
	var play func(r *runner) func(a http.ResponseWriter, n run)
	play = func(r *runner) func(a http.ResponseWriter, n run) {
		var once sync.Once
		return func(a http.ResponseWriter, n run) {
			time.Sleep(30 * time.Millisecond)
			mu.Lock()
			ill := bad
			if ill {
				ends++
			}
			mu.Unlock()
			if !ill {
				answer(a, 200, "done")
				return
			}
			w.detail("%s ends", r.id)
			go once.Do(func() {
				r.end()
				time.Sleep(1500 * time.Millisecond)
				again := &runner{id: r.id, service: r.service, version: "v1", address: r.address, born: time.Now().UnixMilli()}
				again.answer = play(again)
				again.listen()
				w.list(again)
			})
			panic(http.ErrAbortHandler)
		}
	}
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("i-%d", i+1), service: "llm", version: "v1", address: "127.0.0.1:0", born: time.Now().UnixMilli()}
		r.answer = play(r)
		r.listen()
		w.list(r)
	}
	var machines []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		p := newProcess(w.folder, name, w.store.address)
		p.start()
		p.awaitReady()
		machines = append(machines, p)
	}
	ask := func(length time.Duration) (served, all int) {
		end := time.Now().Add(length)
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				for time.Now().Before(end) {
					attempt := newAttempt()
					r := send(machines[i%2].callers, attempt, head("POST", "/notes/1", attempt, 1500, "x-prefix-hash: aa:1000,"+attempt+":200", "content-length: 16")+attempt, 3*time.Second)
					mu.Lock()
					all++
					if r.status == 200 {
						served++
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		group.Wait()
		return served, all
	}
	served, all := ask(4 * time.Second)
	w.log("before: %d of %d served", served, all)
	mu.Lock()
	bad = w.trouble
	mu.Unlock()
	served, all = ask(8 * time.Second)
	mu.Lock()
	bad = false
	n := ends
	mu.Unlock()
	w.log("while the runners end: %d of %d served", served, all)
	w.log("requests under which runners ended: %d", n)
	time.Sleep(4 * time.Second)
	served, all = ask(20 * time.Second)
	w.log("from 4 s after the last end on: %d of %d served", served, all)
	if 4*served < all {
		w.breaks("%d of %d served, though all runners serve", served, all)
	}
}
