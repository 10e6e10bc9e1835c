package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart is the ID of the part of a prompt that crashes runners.
	deadlyPart = "dead0bad"
	// chainLength is the number of parts that a prompt shares with others, deadlyPlace the
	// place of the deadly part among them, from 0.
	chainLength = 20
	deadlyPlace = 17
	// backAfter is how long a runner is down after it has crashed.
	backAfter = 3 * time.Second
	// deadlyCrashes is the number of crashes after which requests with the part must not reach
	// runners any more, maxDeadly how many still may, later than contact after that.
	deadlyCrashes = 5
	maxDeadly     = 3
)

// playDeadly plays requests with a part in a long prompt that crashes each runner which begins
// to answer, beside sound ones with the same other parts.
func playDeadly(w *world) ([]string, error) {
	const count, events = 9, 12
	w.store.put("config", "main", engineConfig(7))
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	for i := range count {
		s := &runner{service: "lm", role: "Decode", slots: 6, id: fmt.Sprintf("i-%04x", 0x4000+i), version: "v1", stream: streamShape{events, 50 * time.Millisecond}}
		s.crashes = func(prefix string) bool {
			if !strings.Contains(prefix, deadlyPart+":") {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Now())
			return true
		}
		s.crash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.record.add("runner %s crashes", s.id)
			s.end()
			time.Sleep(backAfter)
			if err := s.start(""); err != nil {
				w.record.add("runner %s does not start: %v", s.id, err)
			}
		}
		if err := w.addRunner(s); err != nil {
			return nil, err
		}
	}
	if err := w.startProcesses(3); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	var group sync.WaitGroup
	ask := func(n int, part string) {
		id := w.nextID()
		fields := askFields(id, events)
		fields[tokensField], fields[prefixField] = fmt.Sprintf("%d,%d", 20*(chainLength+1), events), chain(id, part)
		w.send(w.processes[n%len(w.processes)], "POST", "/ask/q", id, 15*time.Second, fields, "question "+id)
	}
	group.Go(func() {
		every(50*time.Millisecond, 50*time.Second, func(n int) { ask(n, fmt.Sprintf("50ada%03x", deadlyPlace)) })
	})
	if w.trouble {
		time.Sleep(10 * time.Second)
		every(700*time.Millisecond, 35*time.Second, func(n int) { ask(n, deadlyPart) })
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeDeadly(w, arrivals, crashes), nil
}

// chain returns the parts of a prompt with the given one at deadlyPlace. All others but the
// last are the same in all prompts.
func chain(id, part string) string {
	var parts []string
	for i := range chainLength {
		name := fmt.Sprintf("50ada%03x", i)
		if i == deadlyPlace {
			name = part
		}
		parts = append(parts, name+":20")
	}
	return strings.Join(append(parts, id[8:]+":20"), ",")
}

// judgeDeadly returns the requests with the deadly part that reached runners too late, if they
// are more than may.
func judgeDeadly(w *world, arrivals, crashes []time.Time) []string {
	w.record.add("%d requests with the part reached runners, %d crashes", len(arrivals), len(crashes))
	if len(crashes) < deadlyCrashes {
		return nil
	}
	sort.Slice(crashes, func(i, k int) bool { return crashes[i].Before(crashes[k]) })
	bound := crashes[deadlyCrashes-1].Add(contact)
	var violations []string
	for _, at := range arrivals {
		if at.After(bound) {
			violations = append(violations, fmt.Sprintf("BUDGET a request with the part reaches a runner at %.3f, %.1f s after the fifth crash", w.record.since(at), at.Sub(crashes[deadlyCrashes-1]).Seconds()))
		}
	}
	if len(violations) <= maxDeadly {
		return nil
	}
	return violations
}
