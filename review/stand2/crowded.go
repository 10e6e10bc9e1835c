package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// crowdRate is how many clients come a second, crowdTime for how long.
	crowdRate = 328
	crowdTime = 24 * time.Second
	// crowdLoss is when all processes but one are killed.
	crowdLoss = 500 * time.Millisecond
	// clientPatience is how long a client waits for the answer.
	clientPatience = 1500 * time.Millisecond
	// clientKeeps is how long a client keeps its connection after the answer, unless the process
	// closes it: longer than a connection may be idle.
	clientKeeps = 20 * time.Second
	// manyClients is how many clients must have tried without success.
	manyClients = 7
)

// crowdTry is one client's first request on a connection of its own.
type crowdTry struct {
	process *process
	at      time.Time
	served  bool
}

// playCrowded plays clients that keep their connections open after their requests, while all
// processes but one are lost. That one must go on to take new connections.
func playCrowded(w *world) ([]string, error) {
	w.store.put("config", "main", engineConfig(7))
	for i := range 4 {
		s := &runner{service: "app", slots: 6, id: fmt.Sprintf("i-%04x", 0x5000+i), version: "v1", work: 20 * time.Millisecond}
		if err := w.addRunner(s); err != nil {
			return nil, err
		}
	}
	if err := w.startProcesses(6); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	var tries []crowdTry
	var unready []time.Time
	alive := w.processes
	left := w.processes[0]
	time.AfterFunc(crowdLoss, func() {
		if !w.trouble {
			return
		}
		mu.Lock()
		alive = alive[:1]
		mu.Unlock()
		for _, p := range w.processes[1:] {
			p.kill()
		}
		w.record.add("all processes but %s are killed", left.name)
	})
	go every(time.Second, crowdTime, func(int) {
		if !left.ready() {
			mu.Lock()
			defer mu.Unlock()
			unready = append(unready, time.Now())
			w.record.add("%s is not ready", left.name)
		}
	})
	every(time.Second/crowdRate, crowdTime, func(n int) {
		mu.Lock()
		p := alive[n%len(alive)]
		mu.Unlock()
		t := crowdTry{process: p, at: time.Now()}
		conn, err := w.visit(p)
		t.served = err == nil
		mu.Lock()
		tries = append(tries, t)
		mu.Unlock()
		if conn != nil {
			// The client stays until the process closes the connection.
			_ = conn.SetReadDeadline(time.Now().Add(clientKeeps))
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if len(unready) > 0 {
		w.record.add("%s was not ready %d times", left.name, len(unready))
	}
	return judgeCrowded(w, left, tries, unready), nil
}

// visit sends a request on a new connection, which stays open after the answer.
func (w *world) visit(p *process) (net.Conn, error) {
	id := w.nextID()
	w.record.add("send %s to %s on a new connection", id, p.name)
	conn, err := net.DialTimeout("tcp4", p.front(), time.Second)
	if err != nil {
		w.record.add("no connection for %s: %v", id, err)
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(clientPatience))
	_, err = fmt.Fprintf(conn, "GET /list/q HTTP/1.1\r\nHost: app.example\r\n%s: %s\r\n%s: %d\r\n\r\n", idField, id, deadlineField, clientPatience.Milliseconds())
	if err == nil {
		var answer *http.Response
		if answer, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			w.record.add("answer %s status %d", id, answer.StatusCode)
		}
	}
	if err != nil {
		w.record.add("no answer for %s: %v", id, err)
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// judgeCrowded returns the spans of contact and longer in which the process took no new
// connection, though it said that it was ready and manyClients or more tried.
func judgeCrowded(w *world, left *process, tries []crowdTry, unready []time.Time) []string {
	var own []crowdTry
	for _, t := range tries {
		if t.process == left {
			own = append(own, t)
		}
	}
	sortTries(own)
	var violations []string
	for i := 0; i < len(own); {
		if own[i].served {
			i++
			continue
		}
		begin := i
		for i < len(own) && !own[i].served {
			i++
		}
		first, last := own[begin].at, own[i-1].at
		ready := true
		for _, at := range unready {
			ready = ready && (at.Before(first) || at.After(last))
		}
		if ready && last.Sub(first) >= contact && i-begin >= manyClients {
			violations = append(violations, fmt.Sprintf("RECOVER %s takes no new connection from %.3f to %.3f, while %d clients try and it is ready",
				left.name, w.record.since(first), w.record.since(last), i-begin))
		}
	}
	return violations
}

// sortTries sorts tries by time.
func sortTries(tries []crowdTry) {
	sort.Slice(tries, func(i, k int) bool { return tries[i].at.Before(tries[k].at) })
}
