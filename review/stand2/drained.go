package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// outageLength is how long the store is down.
	outageLength = 4600 * time.Millisecond
	// drainBound is the time after which a runner that is gone must get no request.
	drainBound = 2 * time.Second
	// stable is how long after an outage of the store a runner leaves: the core has been stable
	// for a moment then.
	stable = contact + 50*time.Millisecond
	// linger is how long after drainBound a runner that leaves still serves.
	linger = 150 * time.Millisecond
	// drainRounds is how many runners leave.
	drainRounds = 9
)

// departure is a runner whose entry was removed.
type departure struct {
	runner *runner
	// removed is when the store had accepted the removal.
	removed time.Time
}

// playDrained plays outages of the store, each followed by a runner that leaves when the store
// is stable again. The runner gets no request later than drainBound after that.
func playDrained(w *world) ([]string, error) {
	const count = 4
	w.store.put("config", "main", engineConfig(7))
	add := func(n int) error {
		return w.addRunner(&runner{service: "app", slots: 6, id: fmt.Sprintf("i-%04x", 0x2000+n), version: "v1", work: 60 * time.Millisecond})
	}
	for i := range count {
		if err := add(i); err != nil {
			return nil, err
		}
	}
	if err := w.startProcesses(3); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		every(6*time.Millisecond, drainRounds*(outageLength+stable+drainBound+time.Second), func(n int) {
			p, path, method := w.processes[n%len(w.processes)], "/list/q", "GET"
			if n%2 == 0 {
				path, method = "/change/q", "POST"
			}
			w.send(p, method, path, w.nextID(), 1500*time.Millisecond, nil, "")
		})
	})
	var departures []departure
	for i := range drainRounds {
		if w.trouble {
			w.store.setSilent(true)
		}
		time.Sleep(outageLength)
		if w.trouble {
			w.store.setSilent(false)
		}
		ended := time.Now()
		time.Sleep(500 * time.Millisecond)
		if err := add(count + i); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(ended.Add(stable)))
		departures = append(departures, leave(w, w.runners[i]))
		time.Sleep(time.Second - linger)
	}
	group.Wait()
	return judgeDrained(w, departures), nil
}

// leave removes a runner's entry, and ends the runner some time later.
func leave(w *world, s *runner) departure {
	s.unlist()
	d := departure{s, time.Now()}
	w.record.add("entry of %s is removed", s.id)
	time.Sleep(drainBound + linger)
	s.end()
	w.record.add("runner %s ends", s.id)
	return d
}

// judgeDrained returns the requests that reached a runner too late.
func judgeDrained(w *world, departures []departure) []string {
	var violations []string
	for _, d := range departures {
		for _, x := range d.runner.executions() {
			if late := x.began.Sub(d.removed); late > drainBound {
				violations = append(violations, fmt.Sprintf("DRAIN %s reaches %s at %.3f, %v after its entry was removed, complete %t",
					x.request, x.runner, w.record.since(x.began), late.Round(time.Millisecond), x.complete))
			}
		}
	}
	return violations
}
