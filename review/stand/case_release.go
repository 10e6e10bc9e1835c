package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["release"] = playRelease }

// inTouch is contact-ms: that long after its restart a machine is in touch.
const inTouch = 3 * time.Second

// playRelease has runners of another software version come, so that most have that, and all
// processes are killed once. Clients take their streams up again once the machines are in
// touch. Without the disruption no process is killed, and the clients close their connections.
func playRelease(w *world) {
	chat := route("chat", "/chat/", "Stream", "chat", 15000, 2)
	chat["Resumable"], chat["GapMs"] = true, 300
	w.configure(1, chat)
	var mu sync.Mutex
	broken := make(chan struct{})
	add := func(id, version string) {
		r := &runner{id: id, service: "chat", version: version, address: "127.0.0.1:0", born: time.Now().UnixMilli()}
		r.answer = func(a http.ResponseWriter, n run) {
			w.detail("%s of %s runs %s after %q", r.id, r.version, n.attempt, n.header.Get("last-event-id"))
			r.streamOf(a, n, 100)
		}
		r.listen()
		w.list(r)
	}
	for i := range 3 {
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
	var takenUp, goneOn, begun, asked int
	resume := make(chan struct{})
	for i := range 20 {
		clients.Go(func() {
			p := machines[i%2]
			first := newAttempt()
			last := readEvents(p.callers, head("GET", "/chat/1", first, 15000), broken)
			<-resume
			if last == 0 {
				return
			}
			attempt := newAttempt()
			p = machines[(i+1)%2]
			upTo := readEvents(p.callers, head("GET", "/chat/1", attempt, 7000, fmt.Sprintf("last-event-id: %d", last), "resumes: "+first), nil)
			w.detail("stream %s had events up to %d, taken up as %s, events up to %d", first, last, attempt, upTo)
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if upTo > last {
				goneOn++
			}
		})
	}
	time.Sleep(time.Second)
	for i := range 4 {
		add(fmt.Sprintf("i-%d", i+4), "v2")
	}
	w.log("four runners of v2 have come")
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
	close(broken)
	time.Sleep(inTouch + time.Second)
	w.log("clients take their streams up again, others begin new ones")
	close(resume)
	for i := range 20 {
		clients.Go(func() {
			upTo := readEvents(machines[i%2].callers, head("GET", "/chat/1", newAttempt(), 8000), nil)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if upTo > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	w.log("of %d streams that were taken up again %d go on; of %d new ones %d begin; three runners of v1 serve", takenUp, goneOn, asked, begun)
	if takenUp >= 12 && 2*goneOn*asked < begun*takenUp {
		w.breaks("LOST: %d of %d streams that clients take up again go on, %d of %d new ones begin", goneOn, takenUp, begun, asked)
	}
}
