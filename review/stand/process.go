package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a process of the product, started with the command of the deploy file.
type process struct {
	name, callers, readiness, settings, folder string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	starts  int
}

var (
	processesMu sync.Mutex
	processes   []*process
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for range 100 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			cannot("no free port: %v", err)
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp4", address)
		listener.Close()
		if err != nil {
			continue
		}
		packets.Close()
		return address
	}
	cannot("no free port")
	return ""
}

// newProcess writes the settings of a process, those of deploy/settings.ini with the figures
// of a small deployment.
func newProcess(folder, name, store string) *process {
	p := &process{name: name, callers: freeAddress(), readiness: freeAddress(), folder: folder}
	p.settings = filepath.Join(folder, name+".ini")
	text := fmt.Sprintf(`[Node]
Name = %s
AvailabilityZone = north

[Addresses]
Callers = %s
Readiness = %s
Peers = %s
Metrics = %s

[Store]
Address = %s
WritesPerSecond = 400

[Machine]
MemoryMB = %d
Descriptors = 4100
Cores = 0.4

[Bounds]
StopGrace = 8s
RetryShare = 0.2
RetryWindow = 10s
RetrySlack = 52
LeaveWithin = 2000ms

[Log]
Level = Info
`, name, p.callers, p.readiness, freeAddress(), freeAddress(), store, memoryMB)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		cannot("settings: %v", err)
	}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	return p
}

// memoryMB is the memory of a machine.
const memoryMB = 284

// start starts the process.
func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command("target/ebonyscale", "entry", "-settings", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := command.Start(); err != nil {
		cannot("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	p.starts++
	go func() {
		_ = command.Wait()
		log.Close()
		close(done)
	}()
}

// awaitReady waits until the process says that it is ready.
func (p *process) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.ready() {
			return
		}
	}
	cannot("%s did not become ready", p.name)
}

var probes = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *process) ready() bool {
	response, err := probes.Get("http://" + p.readiness + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// residentMB returns the memory that the process has in use, without what waits in sockets,
// in MB of a million bytes.
func (p *process) residentMB() float64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := strings.CutPrefix(string(line), "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, " kB")), 64)
			return kb * 1024 / 1e6
		}
	}
	return 0
}

// endAll ends all processes.
func endAll() {
	processesMu.Lock()
	list := append([]*process(nil), processes...)
	processesMu.Unlock()
	for _, p := range list {
		if p.command != nil {
			p.kill()
		}
	}
}
