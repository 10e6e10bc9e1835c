package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent"] = playSilent }

const (
	// silence is how long the store answers nothing, killedAfter when all processes are
	// killed within that.
	silence     = 4 * time.Second
	killedAfter = 2 * time.Second
)

// playSilent has runners of two software versions side by side; the store falls silent, and
// all processes are killed meanwhile. Without the disruption the store answers.
func playSilent(w *world) {
	chat := route("chat", "/chat/", "Stream", "chat", 15000, 2)
	chat["Resumable"], chat["GapMs"] = true, 300
	w.configure(1, chat)
	for i, version := range []string{"v1", "v1", "v1", "v2", "v2"} {
		r := &runner{id: fmt.Sprintf("i-%d", i+1), service: "chat", version: version, address: "127.0.0.1:0", born: time.Now().UnixMilli()}
		r.answer = func(a http.ResponseWriter, n run) { r.streamOf(a, n, 60) }
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
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var all []seen
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			clients.Go(func() {
				s := followOf(machines, i, "/chat/1", 60)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			})
		}
	})
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.store.setSilent(true)
	}
	w.log("the store is silent: %t", w.trouble)
	time.Sleep(killedAfter)
	close(stop)
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
	time.Sleep(silence - killedAfter - 300*time.Millisecond)
	if w.trouble {
		w.store.setSilent(false)
		w.log("the store answers again")
	}
	clients.Wait()
	mixed, complete, resumed := 0, 0, 0
	for _, s := range all {
		w.detail("stream %s: tries %d, answers %v, complete %t, events of %v", s.first, s.tries, s.statuses, s.complete, s.versions)
		if s.complete {
			complete++
		}
		if s.tries > 1 {
			resumed++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	w.log("%d streams, %d taken up again, %d complete, %d with events of two software versions", len(all), resumed, complete, mixed)
	if mixed > 2 {
		w.breaks("ORDER: %d streams hold events of two software versions", mixed)
	}
}
