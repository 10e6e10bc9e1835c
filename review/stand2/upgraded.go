package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeOutage is how long the store is down, upgradeRounds how often.
	upgradeOutage = 4500 * time.Millisecond
	upgradeRounds = 3
	// downTime is how long a runner is down after it has crashed.
	downTime = 500 * time.Millisecond
	// firstCrash is when a runner crashes after the beginning of an outage, secondCrash when two
	// others do.
	firstCrash  = 300 * time.Millisecond
	secondCrash = 2500 * time.Millisecond
	// maxMixed is how many streams may hold events of two versions.
	maxMixed = 2
)

// playUpgraded plays runners that crash and come back at once under the ID that they had, with
// a newer version of their software, while the store is down. A stream goes on only at the
// version that began it.
func playUpgraded(w *world) ([]string, error) {
	const count, events = 9, 30
	w.store.put("config", "main", engineConfig(7))
	for i := range count {
		s := &runner{service: "lm", role: "Decode", slots: 6, id: fmt.Sprintf("i-%04x", 0x3000+i), version: "v1", stream: streamShape{events, 100 * time.Millisecond}}
		if err := w.addRunner(s); err != nil {
			return nil, err
		}
	}
	if err := w.startProcesses(3); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	var mixed []string
	var group sync.WaitGroup
	group.Go(func() {
		every(70*time.Millisecond, upgradeRounds*(upgradeOutage+2*contact), func(n int) {
			id := w.nextID()
			got := w.send(w.processes[n%len(w.processes)], "POST", "/ask/q", id, 15*time.Second, askFields(id, events), "question")
			if strings.Contains(got.body, " v1\n") && strings.Contains(got.body, " v2\n") {
				mu.Lock()
				defer mu.Unlock()
				mixed = append(mixed, id)
				w.record.add("answer %s has events of two versions", id)
			}
		})
	})
	for i := range upgradeRounds {
		began := time.Now()
		if w.trouble {
			w.store.setSilent(true)
		}
		group.Go(func() { upgrade(w, w.runners[3*i], began.Add(firstCrash)) })
		group.Go(func() { upgrade(w, w.runners[3*i+1], began.Add(secondCrash)) })
		group.Go(func() { upgrade(w, w.runners[3*i+2], began.Add(secondCrash)) })
		time.Sleep(upgradeOutage)
		if w.trouble {
			w.store.setSilent(false)
		}
		time.Sleep(2 * contact)
	}
	group.Wait()
	sort.Strings(mixed)
	if len(mixed) <= maxMixed {
		return nil, nil
	}
	var violations []string
	for _, id := range mixed {
		violations = append(violations, fmt.Sprintf("ORDER the stream %s holds events of runners of two versions", id))
	}
	return violations, nil
}

// upgrade crashes a runner at a time, and starts it again with the next version.
func upgrade(w *world, s *runner, at time.Time) {
	time.Sleep(time.Until(at))
	w.record.add("runner %s crashes", s.id)
	s.end()
	time.Sleep(downTime)
	s.mu.Lock()
	s.version = "v2"
	s.mu.Unlock()
	if err := s.start(""); err != nil {
		w.record.add("runner %s does not start: %v", s.id, err)
		return
	}
	w.record.add("runner %s is back with version v2", s.id)
}
