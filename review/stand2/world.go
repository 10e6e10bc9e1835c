package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world has the stand-ins and the processes of one case.
type world struct {
	record *recorder
	// trouble is set if the disruption is played.
	trouble bool
	// prefix begins the loopback addresses of the case.
	prefix string
	folder string
	store  *store
	// processes are those of the system, runners the backend servers.
	processes []*process
	runners   []*runner

	mu       sync.Mutex
	requests int
}

func newWorld(r *recorder, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w := &world{record: r, trouble: trouble, folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))}
	if w.store, err = newStore(r, w.prefix+"1"); err != nil {
		return nil, err
	}
	r.add("trouble: %t", trouble)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	for _, s := range w.runners {
		s.end()
	}
	w.store.close()
	_ = os.RemoveAll(w.folder)
}

// addRunner starts a runner.
func (w *world) addRunner(s *runner) error {
	s.world = w
	if err := s.start(w.prefix + "200"); err != nil {
		return err
	}
	w.runners = append(w.runners, s)
	return nil
}

// process is one process of the system.
type process struct {
	name, ip, settings string
	log                string
	command            *exec.Cmd
	ended              chan struct{}
}

// Ports of a process, each on an address of its own.
const (
	frontPort     = 8144
	readinessPort = 8140
	firstPort     = 7660
)

func (p *process) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// startProcesses starts so many processes and waits until all are ready and know each other.
func (w *world) startProcesses(count int) error {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return fmt.Errorf("read the template: %w", err)
	}
	for i := range count {
		p := &process{name: fmt.Sprintf("edge-z1-%d", i+1), ip: fmt.Sprintf("%s%d", w.prefix, 11+i)}
		p.settings, p.log = filepath.Join(w.folder, p.name+".ini"), filepath.Join(w.folder, p.name+".log")
		if err := os.WriteFile(p.settings, []byte(w.render(string(template), p)), 0o600); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := p.start(); err != nil {
			return err
		}
		w.processes = append(w.processes, p)
		w.record.add("process %s started", p.name)
	}
	return w.awaitReady(count)
}

// awaitReady waits until all processes are ready.
func (w *world) awaitReady(count int) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range w.processes {
			if p.ready() {
				ready++
			}
		}
		if ready == count && w.store.count("members") >= count {
			return nil
		}
	}
	return errors.New("the processes are not ready")
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.Create(p.log)
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer log.Close()
	p.command = exec.Command("target/ebonyscale", "entry", "-settings", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.ended = make(chan struct{})
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	return nil
}

// kill ends the process.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// ready asks the process whether it is ready.
func (p *process) ready() bool {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, readinessPort))
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// render fills in the template of the settings. Sections without a value are left out.
func (w *world) render(template string, p *process) string {
	for {
		begin := strings.Index(template, "{{#")
		if begin < 0 {
			break
		}
		name, _, _ := strings.Cut(template[begin+3:], "}}")
		end := "{{/" + name + "}}"
		template = template[:begin] + template[strings.Index(template, end)+len(end):]
	}
	values := map[string]string{
		"NodeName": p.name, "AvailabilityZone": "z1", "ip": p.ip,
		"listen.front": p.front(), "listen.readiness": fmt.Sprintf("%s:%d", p.ip, readinessPort), "port-range.0": fmt.Sprint(firstPort),
		"platform.Address": w.store.address, "platform.writes-per-s": "400",
		"Limits.memory-mb": "284", "Limits.max-fds": "4100", "Limits.cpu-share": "0.4",
		"bounds.grace-s": "8", "bounds.retry-ratio": "0.2", "bounds.retry-window-s": "10", "bounds.retry-slack": "52", "bounds.drain-ms": "2000",
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// reply is what a client got.
type reply struct {
	status int
	body   string
	// err is set if the answer is missing or incomplete.
	err error
}

// nextID returns the ID of the next request.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return fmt.Sprintf("%012x%04x", w.record.start.UnixMilli(), w.requests)
}

// send sends a request to a process on a connection of its own and returns the answer.
func (w *world) send(p *process, method, path, id string, deadline time.Duration, fields map[string]string, body string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.front()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = "app.example"
	r.Header[idField] = []string{id}
	r.Header[deadlineField] = []string{fmt.Sprint(deadline.Milliseconds())}
	for name, value := range fields {
		r.Header[name] = []string{value}
	}
	w.record.add("send %s %s to %s", id, path, p.name)
	got := perform(r)
	w.record.add("answer %s status %d bytes %d error %v", id, got.status, len(got.body), got.err)
	return got
}

// perform sends the request on a new connection.
func perform(r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			got := reply{status: answer.StatusCode, body: text.String()}
			if err.Error() != "EOF" {
				got.err = err
			}
			return got
		}
	}
}

// every calls do in a goroutine of its own at regular intervals for a time, and returns once
// all calls have returned.
func every(interval, length time.Duration, do func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		calls.Go(func() { do(n) })
		<-ticker.C
	}
	calls.Wait()
}

// bounds of the pages.
const contact = 3 * time.Second

// engineConfig returns a configuration with a service of model engines and one of a plain
// service.
func engineConfig(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{
				"Name": "ask", "Host": "app.example", "Prefix": "/ask/", "Kind": "Stream", "TimeoutMs": 15000, "AimMs": 200, "Priority": 1, "Service": "lm",
				"Attempts": 2, "Prompted": true, "Resumable": true, "GapMs": 150,
			},
			map[string]any{
				"Name": "change", "Host": "app.example", "Prefix": "/change/", "Kind": "AtMostOnce", "TimeoutMs": 2000, "AimMs": 300, "Priority": 2, "Service": "app", "Attempts": 1,
			},
			map[string]any{
				"Name": "list", "Host": "app.example", "Prefix": "/list/", "Kind": "Idempotent", "TimeoutMs": 2000, "AimMs": 300, "Priority": 2, "Service": "app", "Attempts": 2,
			},
		},
		"Services": []any{
			map[string]any{
				"Name": "lm", "HealthPath": "/healthz", "MaxConnections": 120, "protocol": "h1", "tls": false,
				"Engine": map[string]any{
					"Slots": 6, "CacheTokens": 1400000, "TokenBytes": 35136, "link-mbps": 4400000.0, "moves": true, "backups": true, "stride": 69, "most": 12,
					"HandleSeconds": 5.0, "SwitchSeconds": 3.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "Models": []any{map[string]any{"Name": "m"}},
				},
			},
			map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 96, "protocol": "h1", "tls": false},
		},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// askFields returns the header fields of a request with a small prompt.
func askFields(id string, events int) map[string]string {
	return map[string]string{modelField: "m", tokensField: fmt.Sprintf("140,%d", events), prefixField: "5c1e07a2:48,91bd3f06:32," + id[8:] + ":60"}
}
