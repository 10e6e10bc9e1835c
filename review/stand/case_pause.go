package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["pause"] = playPause }

const (
	// downTime is how long the runner is down, registersAfter how long after its start it
	// writes its entry, less than heartbeat-ms (1,200).
	downTime       = 2 * time.Second
	registersAfter = time.Second
	// turnsAway is how long it turns requests away, pauseTime the time that it wants nothing
	// for, in seconds.
	turnsAway    = 300 * time.Millisecond
	pauseSeconds = 6
)

// playPause has a runner crash and start again under its id. It begins to accept connections
// and turns requests away for a moment, with the time for which it wants none; then it writes
// its entry. Without the disruption it turns requests away without a crash.
func playPause(w *world) {
	w.configure(1, route("records", "/records/", "Idempotent", "jobs", 1500, 2))
	w.addRunner("i-1", "jobs")
	b := w.addRunner("i-2", "jobs")
	var machines []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		p := newProcess(w.folder, name, w.store.address)
		p.start()
		p.awaitReady()
		machines = append(machines, p)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses, machineOf := map[int]int{}, map[string]string{}
	for _, p := range machines {
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					attempt := newAttempt()
					mu.Lock()
					machineOf[attempt] = p.name
					mu.Unlock()
					r := send(p.callers, attempt, head("GET", "/records/1", attempt, 1500), 3*time.Second)
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	// asked is when the runner first told a machine to pause, until when the last such
	// answer was.
	asked, reached := map[string]time.Time{}, map[string]int{}
	var begun time.Time
	respond := func(a http.ResponseWriter, n run) {
		mu.Lock()
		machine := machineOf[n.attempt]
		first, known := asked[machine]
		away := n.at.Sub(begun) < turnsAway
		if away && !known {
			asked[machine] = n.at
		}
		if known && n.at.After(first.Add(500*time.Millisecond)) && n.at.Before(first.Add(pauseSeconds*time.Second)) {
			reached[machine]++
		}
		mu.Unlock()
		if away {
			a.Header()["x-not-executed"] = []string{"1"}
			a.Header()["retry-after"] = []string{"6"}
			a.WriteHeader(503)
			w.detail("%s turns %s of %s away for %d s", n.runner, n.attempt, machine, pauseSeconds)
			return
		}
		w.detail("%s runs %s of %s", n.runner, n.attempt, machine)
		answer(a, 200, "done")
	}
	if w.trouble {
		w.log("%s crashes", b.id)
		b.end()
		time.Sleep(downTime)
		mu.Lock()
		begun = time.Now()
		mu.Unlock()
		again := &runner{id: b.id, service: b.service, version: b.version, address: b.address, born: time.Now().UnixMilli(), answer: respond}
		again.listen()
		w.log("%s has started again and accepts connections", b.id)
		time.Sleep(registersAfter)
		w.list(again)
		w.log("%s has written its entry", b.id)
		time.Sleep((pauseSeconds - 1) * time.Second)
	} else {
		mu.Lock()
		begun = time.Now()
		mu.Unlock()
		b.mu.Lock()
		b.answer = respond
		b.mu.Unlock()
		w.log("%s turns requests away", b.id)
		time.Sleep(pauseSeconds * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.log("answers by status: %v", statuses)
	if len(asked) == 0 {
		cannot("the runner has turned nothing away")
	}
	for _, p := range machines {
		at, known := asked[p.name]
		if !known {
			w.log("%s was not told to pause", p.name)
			continue
		}
		w.log("%s was told to pause at %.3f; %d requests reached the runner from it between 0.5 s later and the end of the pause", p.name, at.Sub(w.began).Seconds(), reached[p.name])
		if reached[p.name] > 2 {
			w.breaks("BUDGET: %d requests from %s within the pause", reached[p.name], p.name)
		}
	}
}
