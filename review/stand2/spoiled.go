package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"
)

const (
	// spoiledShare is the share of the runners that hand out wrong bytes, spoiledPart the part
	// of their answers that has some, spoiledFor how long they do so at a time. spoiledPause
	// is the time until they do so again, spoiledTimes how often they do.
	spoiledShare = 0.6
	spoiledPart  = 0.03
	spoiledFor   = 5 * time.Second
	spoiledPause = 3 * time.Second
	spoiledTimes = 8
	// maxOverlap is how long a runner may go on with a request once another one has taken it
	// up.
	maxOverlap = 400 * time.Millisecond
)

// playSpoiled plays runners that put wrong bytes into some of their streams and go on with
// them. A stream that goes on at another runner must have ended at the one before.
func playSpoiled(w *world) ([]string, error) {
	const count, events = 9, 30
	var spoiling atomic.Bool
	w.store.put("config", "main", engineConfig(7))
	for i := range count {
		s := &runner{service: "lm", role: "Decode", slots: 6, id: fmt.Sprintf("i-%04x", 0x1000+i), version: "v1", stream: streamShape{events, 80 * time.Millisecond}}
		if w.trouble && float64(i+1) <= spoiledShare*count {
			s.spoils = func() bool { return spoiling.Load() && rand.Float64() < spoiledPart }
		}
		if err := w.addRunner(s); err != nil {
			return nil, err
		}
	}
	if err := w.startProcesses(3); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	go func() {
		for range spoiledTimes {
			spoiling.Store(true)
			time.Sleep(spoiledFor)
			spoiling.Store(false)
			time.Sleep(spoiledPause)
		}
	}()
	every(60*time.Millisecond, spoiledTimes*(spoiledFor+spoiledPause), func(n int) {
		id := w.nextID()
		w.send(w.processes[n%len(w.processes)], "POST", "/ask/q", id, 15*time.Second, askFields(id, events), "question")
	})
	return judgeOverlap(w), nil
}

// judgeOverlap returns the requests that went on at another runner while the one before still
// worked on it maxOverlap later.
func judgeOverlap(w *world) []string {
	byRequest := map[string][]execution{}
	for _, s := range w.runners {
		for _, x := range s.executions() {
			byRequest[x.request] = append(byRequest[x.request], x)
		}
	}
	var violations []string
	for request, runs := range byRequest {
		sort.Slice(runs, func(i, k int) bool { return runs[i].began.Before(runs[k].began) })
		for i, x := range runs[1:] {
			before := runs[i]
			if overlap := before.ended.Sub(x.began); overlap > maxOverlap {
				violations = append(violations, fmt.Sprintf("TWICE %s goes on at %s at %.3f, and %s works on it until %.3f, %v later",
					request, x.runner, w.record.since(x.began), before.runner, w.record.since(before.ended), overlap.Round(time.Millisecond)))
			}
		}
	}
	sort.Strings(violations)
	return violations
}
