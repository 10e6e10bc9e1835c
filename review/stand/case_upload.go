package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upload"] = playUpload }

const (
	// uploads is how many clients of one process send a long body at the same time, each of
	// uploadBytes in uploadTime. That is 50 MB/s, less than half of what the link of a machine carries.
	uploads     = 60
	uploadBytes = maxBodyBytes - 4096
	uploadTime  = 5 * time.Second
	// uploadRounds is how often they come.
	uploadRounds = 3
	// steadyClients is how many clients send short requests on kept connections.
	steadyClients = 12
	steadyWork    = 400 * time.Millisecond
)

// machine is a process with the memory of its machine, and what its clients have seen.
type machine struct {
	process *process
	// ends counts how often the platform has killed the process for its memory.
	ends    atomic.Int64
	highest float64
}

// watchMemory kills the process if it uses more memory than its machine has, and starts it
// again, as the platform does. Bytes that wait in sockets aren't counted.
func (m *machine) watchMemory(w *world, stop <-chan struct{}) {
	const limit = memoryMB * 1024 * 1024 / 1e6
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := m.process.residentMB()
		m.highest = max(m.highest, used)
		if used <= limit {
			continue
		}
		m.ends.Add(1)
		w.log("%s uses %.0f MB, the machine has %.0f: killed", m.process.name, used, limit)
		m.process.signal(syscall.SIGKILL)
		m.process.kill()
		time.Sleep(500 * time.Millisecond)
		m.process.start()
	}
}

// playUpload has clients send long bodies at the same time: in chunks, or, without the
// disruption, the same bodies with a length.
func playUpload(w *world) {
	w.configure(1, route("claims", "/claims/", "AtMostOnce", "jobs", 15000, 1), route("photos", "/photos/", "Idempotent", "jobs", 15000, 1))
	var runners []*runner
	for i := range 3 {
		r := w.addRunner(fmt.Sprintf("i-%d", i+1), "jobs")
		r.answer = func(a http.ResponseWriter, n run) {
			if len(n.body) < 1000 {
				time.Sleep(steadyWork)
			}
			answer(a, 200, "done")
		}
		runners = append(runners, r)
	}
	stop := make(chan struct{})
	var machines []*machine
	for i := range 2 {
		p := newProcess(w.folder, fmt.Sprintf("entry-%d", i+1), w.store.address)
		p.start()
		p.awaitReady()
		m := &machine{process: p}
		machines = append(machines, m)
		go m.watchMemory(w, stop)
	}
	var steady sync.WaitGroup
	var mu sync.Mutex
	var unanswered []result
	answered := 0
	for _, m := range machines {
		for range steadyClients {
			steady.Go(func() {
				for _, r := range m.steady(stop) {
					mu.Lock()
					if r.status == 0 {
						unanswered = append(unanswered, r)
					} else {
						answered++
						w.detail("short request %s to %s: answered %d", r.attempt, m.process.name, r.status)
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Second)
	for round := range uploadRounds {
		w.log("round %d: %d clients of each process send %d bytes each, in chunks: %t", round+1, uploads, uploadBytes, w.trouble)
		var group sync.WaitGroup
		var statuses [6]atomic.Int64
		for _, m := range machines {
			for range uploads {
				group.Go(func() {
					r := upload(m.process.callers, w.trouble)
					statuses[r.status/100].Add(1)
					w.detail("upload %s to %s: status %d %v", r.attempt, m.process.name, r.status, r.err)
				})
			}
		}
		group.Wait()
		w.log("uploads: %d with 2xx, %d with 4xx, %d with 5xx, %d without an answer", statuses[2].Load(), statuses[4].Load(), statuses[5].Load(), statuses[0].Load())
		time.Sleep(3 * time.Second)
		for _, m := range machines {
			m.process.awaitReady()
		}
	}
	close(stop)
	steady.Wait()
	ran := map[string]bool{}
	for _, r := range runners {
		for _, n := range r.all() {
			ran[n.attempt] = true
		}
	}
	lost := 0
	for _, r := range unanswered {
		w.detail("short request %s has no answer (%v), ran: %t", r.attempt, r.err, ran[r.attempt])
		if ran[r.attempt] {
			lost++
		}
	}
	ended := 0
	for _, m := range machines {
		w.log("%s: highest use %.0f MB, ended by itself %d times", m.process.name, m.highest, m.ends.Load())
		if m.ends.Load() >= 3 {
			ended++
		}
	}
	w.log("short requests on kept connections: %d answered, %d passed on to a sound runner and closed without an answer", answered, lost)
	if lost > 3 {
		w.breaks("LOST: %d requests were passed on to a sound runner and have no answer", lost)
	}
	if ended >= 2 {
		w.breaks("Fault: %d processes have ended by themselves three times", ended)
	}
}

// steady sends short requests on a kept connection, one after the other, and returns what
// became of them. After a failure it begins on a new connection.
func (m *machine) steady(stop <-chan struct{}) []result {
	var results []result
	for {
		conn, reader, err := connect(m.process.callers)
		for err == nil {
			select {
			case <-stop:
				conn.Close()
				return results
			default:
			}
			attempt := newAttempt()
			r := exchange(conn, reader, attempt, head("POST", "/claims/new", attempt, 10000, "content-length: 5")+"claim", 12*time.Second)
			results = append(results, r)
			if r.status == 0 {
				err = r.err
			}
		}
		if conn != nil {
			conn.Close()
		}
		select {
		case <-stop:
			return results
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// upload sends a long body, in chunks or with a length.
func upload(address string, chunked bool) result {
	r := result{attempt: newAttempt(), sent: time.Now()}
	conn, reader, err := connect(address)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	framing := fmt.Sprintf("content-length: %d", uploadBytes)
	if chunked {
		framing = "transfer-encoding: chunked"
	}
	if _, r.err = io.WriteString(conn, head("PUT", "/photos/new", r.attempt, 15000, "content-type: image/jpeg", framing)); r.err != nil {
		return r
	}
	const pieces = 100
	piece := make([]byte, uploadBytes/pieces)
	for i := range pieces {
		if chunked {
			_, r.err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, r.err = conn.Write(piece)
		}
		if r.err != nil {
			// The process may have answered already.
			return r.read(reader)
		}
		time.Sleep(time.Until(r.sent.Add(uploadTime * time.Duration(i+1) / pieces)))
	}
	if chunked {
		_, r.err = io.WriteString(conn, "0\r\n\r\n")
	} else {
		_, r.err = conn.Write(make([]byte, uploadBytes-pieces*len(piece)))
	}
	return r.read(reader)
}
