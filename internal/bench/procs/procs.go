// Package procs runs a whole fleet as separate processes on loopback: the
// stand-ins and one process for each entry VM.
//
// # Usage
//
//	c := &procs.Cluster{Product: "bin/ebonyscale", Bench: "bin/ebonybench", Directory: dir, Deployment: "examples/malabar", ...}
//	if err := c.Start(ctx); err != nil { ... }
//	defer c.Close()
//	c.Signal(2, syscall.SIGKILL)
//
// A cluster ends only processes that it started, by their ids.
package procs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the processes; each has an address of its own.
const (
	CallersPort  = 8180
	OperatorPort = 8181
	PeersPort    = 8182
)

// Node is one process of the system.
type Node struct {
	Name string
	Zone string
	Addr netip.Addr

	command *exec.Cmd
	exited  chan struct{}
	paused  bool
}

// Callers returns the address for callers.
func (n *Node) Callers() netip.AddrPort { return netip.AddrPortFrom(n.Addr, CallersPort) }

// Peers returns the address for peers.
func (n *Node) Peers() netip.AddrPort { return netip.AddrPortFrom(n.Addr, PeersPort) }

// Operators returns the address for operators.
func (n *Node) Operators() netip.AddrPort { return netip.AddrPortFrom(n.Addr, OperatorPort) }

// Running reports whether the process runs and is not paused.
func (n *Node) Running() bool {
	if n.command == nil || n.paused {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Pid returns the id of the process, 0 if it does not run.
func (n *Node) Pid() int {
	if n.command == nil || n.command.Process == nil {
		return 0
	}
	return n.command.Process.Pid
}

// Cluster is a fleet of processes. The exported fields are set before Start.
type Cluster struct {
	// Product and Bench are the programs.
	Product, Bench string
	// Directory gets the settings and the logs.
	Directory string
	// Deployment is the directory of the deployment, and Name its name.
	Deployment, Name string
	Platform         netip.AddrPort
	Nodes            []*Node
	// Stand is added to the [Stand] section of the stand-ins' file.
	Stand string
	// Environment is added to each process's environment.
	Environment []string
	// Settings is added to each process's settings.
	Settings string

	stands []*exec.Cmd
}

// Start starts the stand-ins, applies the deployment and starts the nodes. It
// returns when every node is ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.writeStand(); err != nil {
		return err
	}
	for _, part := range []string{"Platform", "Engines", "Plains"} {
		command, err := c.start("stand-"+part, c.Bench, "stand", "-file", filepath.Join(c.Directory, "stand.ini"), "-only", part)
		if err != nil {
			return fmt.Errorf("start stand-ins: %w", err)
		}
		c.stands = append(c.stands, command)
	}
	if err := c.apply(ctx); err != nil {
		return err
	}
	for i := range c.Nodes {
		if err := c.StartNode(i); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx, readyWithin)
}

// readyWithin is how long the nodes may take to be ready.
const readyWithin = 60 * time.Second

func (c *Cluster) writeStand() error {
	var text strings.Builder
	fmt.Fprintf(&text, "[Stand]\nDeployment = %s\nPlatform = %s\n%s\n", c.Deployment, c.Platform, c.Stand)
	for _, n := range c.Nodes {
		fmt.Fprintf(&text, "\n[EntryVM %s]\nAddress = %s\nAvailabilityZone = %s\n", n.Name, n.Addr, n.Zone)
	}
	if err := os.WriteFile(filepath.Join(c.Directory, "stand.ini"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("write stand-ins' file: %w", err)
	}
	return nil
}

// apply applies the deployment, trying until the platform is up.
func (c *Cluster) apply(ctx context.Context) error {
	var err error
	for range 50 {
		var output []byte
		output, err = exec.CommandContext(ctx, c.Product, "apply", "-platform", c.Platform.String(), "-base", "0", c.Deployment).CombinedOutput()
		if err == nil {
			return nil
		}
		err = fmt.Errorf("apply: %w: %s", err, output)
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// start starts a program whose output goes to a log file.
func (c *Cluster) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(c.Directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	if program == c.Product {
		command.Env = append(os.Environ(), c.Environment...)
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return command, nil
}

// StartNode starts a node, or starts it again.
func (c *Cluster) StartNode(i int) error {
	n := c.Nodes[i]
	path := filepath.Join(c.Directory, n.Name+".ini")
	text := fmt.Sprintf("[Node]\nName = %s\nAvailabilityZone = %s\nDeployment = %s\n\n[Addresses]\nCallers = %s\nOperators = %s\nPeers = %s\n\n[Platform]\nAddress = %s\n\n%s\n",
		n.Name, n.Zone, c.Name, n.Callers(), n.Operators(), n.Peers(), c.Platform, c.Settings)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	command, err := c.start(n.Name, c.Product, "serve", "-settings", path)
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	n.command, n.exited, n.paused = command, exited, false
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Ready asks a node whether it is ready.
func (c *Cluster) Ready(i int) bool {
	body, status, err := c.Get(i, "/readyz")
	return err == nil && status == http.StatusOK && len(body) > 0
}

// AwaitReady waits until every running node is ready.
func (c *Cluster) AwaitReady(ctx context.Context, within time.Duration) error {
	end := time.Now().Add(within)
	for i, n := range c.Nodes {
		for n.Running() && !c.Ready(i) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %v", n.Name, within)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if !n.Running() {
			return fmt.Errorf("%s has ended; its log is in %s", n.Name, c.Directory)
		}
	}
	return nil
}

// operatorTimeout bounds a question to a node.
const operatorTimeout = 2 * time.Second

// Get reads a path of a node's operators' address.
func (c *Cluster) Get(i int, path string) ([]byte, int, error) {
	return get(c.Nodes[i].Operators(), path)
}

// Read reads a path of a stand-in.
func Read(address netip.AddrPort, path string) ([]byte, error) {
	body, status, err := get(address, path)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("read %s: status %d", path, status)
	}
	return body, err
}

func get(address netip.AddrPort, path string) ([]byte, int, error) {
	client := http.Client{Timeout: operatorTimeout}
	response, err := client.Get("http://" + address.String() + path)
	if err != nil {
		return nil, 0, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return body, response.StatusCode, err
}

// Put sends a body to an address of the experiment, such as a stand-in's
// switch for faults.
func Put(address netip.AddrPort, path string, body []byte) error {
	client := http.Client{Timeout: operatorTimeout}
	request, err := http.NewRequest(http.MethodPut, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("put %s: %w", path, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("put %s: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("put %s: status %d", path, response.StatusCode)
	}
	return nil
}

// Signal sends a signal to a node that this cluster started.
func (c *Cluster) Signal(i int, s syscall.Signal) error {
	n := c.Nodes[i]
	if n.command == nil {
		return errors.New("the node does not run")
	}
	if err := n.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", n.Name, err)
	}
	switch s {
	case syscall.SIGSTOP:
		n.paused = true
	case syscall.SIGCONT:
		n.paused = false
	}
	return nil
}

// Await waits for a node to exit and returns its exit code.
func (c *Cluster) Await(i int, within time.Duration) (int, error) {
	n := c.Nodes[i]
	select {
	case <-n.exited:
		return n.command.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, fmt.Errorf("%s has not ended after %v", n.Name, within)
	}
}

// Close ends every process that this cluster started.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n.command == nil {
			continue
		}
		_ = n.command.Process.Kill()
		<-n.exited
	}
	for _, s := range c.stands {
		_ = s.Process.Kill()
		_ = s.Wait()
	}
}
