package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

const (
	streamEvents = 30
	eventGap     = 60 * time.Millisecond
	// upFor is how long the runner serves after its upgrade, less than heartbeat-ms.
	upFor = 900 * time.Millisecond
	// restarts is how often it starts with the new version, downAfterCrash the pause before.
	restarts       = 6
	downAfterCrash = 2 * time.Second
)

// stream answers with a stream, each of whose events names the software version that made
// it, and goes on after the event that the request names.
func (r *runner) stream(a http.ResponseWriter, n run) { r.streamOf(a, n, streamEvents) }

// streamOf is stream with so many events.
func (r *runner) streamOf(a http.ResponseWriter, n run, events int) {
	after, _ := strconv.Atoi(n.header.Get("Last-Event-Id"))
	a.Header()["x-server-seal"] = []string{"seal"}
	a.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= events; i++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(a, "id: %d\ndata: %s\n\n", i, r.version); err != nil {
			return
		}
		a.(http.Flusher).Flush()
	}
}

// seen is what a client has got of a stream, over all its tries.
type seen struct {
	first    string
	versions []string
	tries    int
	complete bool
	statuses []int
}

// follow begins a stream and takes it up again, at the next machine, if it breaks off.
func follow(machines []*process, at int) seen { return followOf(machines, at, "/chat/1", streamEvents) }

// followOf is follow for a path whose streams have so many events.
func followOf(machines []*process, at int, path string, events int) seen {
	var s seen
	last := 0
	for s.tries < 24 && !s.complete {
		attempt := newAttempt()
		var fields []string
		if last > 0 {
			fields = []string{fmt.Sprintf("last-event-id: %d", last), "resumes: " + s.first}
		} else {
			s.first = attempt
		}
		p := machines[(at+s.tries)%len(machines)]
		s.tries++
		conn, reader, err := connect(p.callers)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(16 * time.Second))
		_, _ = conn.Write([]byte(head("GET", path, attempt, 15000, fields...)))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.statuses = append(s.statuses, 0)
			conn.Close()
			continue
		}
		s.statuses = append(s.statuses, response.StatusCode)
		if response.StatusCode == 200 {
			lines := bufio.NewScanner(response.Body)
			id := 0
			for lines.Scan() {
				if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
					id, _ = strconv.Atoi(text)
				}
				if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
					last = id
					if len(s.versions) == 0 || s.versions[len(s.versions)-1] != text {
						s.versions = append(s.versions, text)
					}
				}
			}
			s.complete = lines.Err() == nil && last == events
		}
		conn.Close()
		time.Sleep(400 * time.Millisecond)
	}
	return s
}

// playUpgrade has a runner end and start again under its id with another software version,
// and crash soon after, before its first heartbeat, a few times. Without the disruption it
// writes its entry before it accepts connections, and crashes likewise.
func playUpgrade(w *world) {
	chat := route("chat", "/chat/", "Stream", "chat", 7000, 2)
	chat["Resumable"], chat["GapMs"] = true, 300
	w.configure(1, chat)
	for i := range 3 {
		r := w.addRunner(fmt.Sprintf("i-%d", i+1), "chat")
		r.answer = r.stream
	}
	before := &runner{id: "i-4", service: "chat", version: "v1", address: "127.0.0.1:0", born: time.Now().UnixMilli()}
	before.answer = before.stream
	before.listen()
	w.list(before)
	var machines []*process
	for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
		p := newProcess(w.folder, name, w.store.address)
		p.start()
		p.awaitReady()
		machines = append(machines, p)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var all []seen
	for i := range 48 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				s := follow(machines, i)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	w.log("%s ends; %d requests have run there", before.id, len(before.all()))
	before.end()
	for range restarts {
		time.Sleep(downAfterCrash)
		after := &runner{id: before.id, service: "chat", version: "v2", address: before.address, born: time.Now().UnixMilli()}
		after.answer = after.stream
		if !w.trouble {
			// The entry comes first.
			w.list(after)
			time.Sleep(500 * time.Millisecond)
		}
		after.listen()
		w.log("%s has started again with v2", after.id)
		time.Sleep(upFor)
		w.log("%s crashes; %d requests have run there", after.id, len(after.all()))
		for _, n := range after.all() {
			w.detail("%s with v2 has run %s", after.id, n.attempt)
		}
		after.end()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	complete, mixed := 0, 0
	for _, s := range all {
		if s.complete {
			complete++
		}
		w.detail("stream %s: tries %d, answers %v, complete %t, events of %v", s.first, s.tries, s.statuses, s.complete, s.versions)
		if len(s.versions) > 1 {
			mixed++
		}
	}
	w.log("%d streams, %d complete, %d with events of two software versions", len(all), complete, mixed)
	if mixed > 2 {
		w.breaks("ORDER: %d streams hold events of two software versions", mixed)
	}
}
