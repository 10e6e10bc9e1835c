package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["odd"] = playOdd }

const (
	// oddEvery is how often another writer writes its entry: heartbeat-ms.
	oddEvery = 1200 * time.Millisecond
	// settle is the time before the first runner leaves, leaveEvery that between two.
	settle     = 15 * time.Second
	leaveEvery = 8 * time.Second
	leaving    = 10
	// drainTime is drain-ms.
	drainTime = 2 * time.Second
)

// playOdd has runners leave, one after the other, whose entries are removed and which go on
// serving. Meanwhile another writer writes an entry at each heartbeat whose bytes break off,
// or, without the disruption, one that is empty.
func playOdd(w *world) {
	w.configure(1, route("records", "/records/", "Idempotent", "jobs", 1500, 2))
	var runners []*runner
	for i := range leaving + 3 {
		runners = append(runners, w.addRunner(fmt.Sprintf("i-%02d", i+1), "jobs"))
	}
	var machines []*process
	for i := range 2 {
		p := newProcess(w.folder, fmt.Sprintf("entry-%d", i+1), w.store.address)
		p.start()
		p.awaitReady()
		machines = append(machines, p)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	sent := map[string]time.Time{}
	for _, p := range machines {
		for range 4 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
					}
					attempt := newAttempt()
					mu.Lock()
					sent[attempt] = time.Now()
					mu.Unlock()
					r := send(p.callers, attempt, head("GET", "/records/1", attempt, 1500), 3*time.Second)
					mu.Lock()
					statuses[r.status]++
					mu.Unlock()
				}
			})
		}
	}
	clients.Go(func() {
		for i := 0; ; i++ {
			text := fmt.Sprintf(`{"Service":"jobs","Sequence":%d,"Addr`, i)
			if !w.trouble {
				text = fmt.Sprintf(`{"Sequence":%d}`, i)
			}
			w.store.mu.Lock()
			w.store.write("servers", "z-agent", json.RawMessage(text))
			w.store.mu.Unlock()
			w.detail("another writer has written the entry z-agent: %s", text)
			select {
			case <-stop:
				return
			case <-time.After(oddEvery):
			}
		}
	})
	time.Sleep(settle)
	removed := map[string]time.Time{}
	for i := range leaving {
		r := runners[i]
		removed[r.id] = w.store.remove("servers", r.id)
		w.log("the store has acknowledged the removal of %s", r.id)
		time.Sleep(leaveEvery)
	}
	close(stop)
	clients.Wait()
	w.log("answers by status: %v", statuses)
	for i := range leaving {
		r := runners[i]
		late, last := 0, time.Duration(0)
		for _, n := range r.all() {
			after := n.at.Sub(removed[r.id])
			last = max(last, after)
			if after > drainTime {
				late++
				w.detail("%s reached %s %.3f s after its removal, sent %.3f s after it", n.attempt, r.id, after.Seconds(), sent[n.attempt].Sub(removed[r.id]).Seconds())
			}
		}
		w.log("%s: last request %.3f s after its removal, %d later than drain-ms", r.id, last.Seconds(), late)
		if late > 0 {
			w.breaks("DRAIN: %d requests reached %s later than drain-ms after its removal", late, r.id)
		}
	}
}
