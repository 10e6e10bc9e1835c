// Package procs runs a whole fleet as separate processes on loopback addresses:
// the stand-ins and one process for each entry VM.
//
// # Usage
//
//	c := &procs.Cluster{Product: "bin/ebonyscale", Bench: "bin/ebonybench", Directory: dir, Deployment: "examples/malabar", ...}
//	if err := c.Start(ctx); err != nil { ... }
//	defer c.Close()
//	c.Signal(2, syscall.SIGKILL)
//
// A cluster signals only processes that it started, by their process IDs, and
// the kernel kills them if the program that started them ends.
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

	"ebonyscale.example/ebonyscale/internal/base/timer"
)

// Ports that every process listens on, each at its own IP address.
const (
	ClientPort   = 8180
	OperatorPort = 8181
	PeerPort     = 8182
)

// Node is an entry VM and its process.
type Node struct {
	Name string
	// Zone is the availability zone.
	Zone string
	// Addr is a loopback address that no other process uses.
	Addr netip.Addr

	command *exec.Cmd
	// exited is closed when command has exited.
	exited chan struct{}
	// paused is set between SIGSTOP and SIGCONT.
	paused bool
}

// ClientAddr returns the address for clients.
func (n *Node) ClientAddr() netip.AddrPort { return netip.AddrPortFrom(n.Addr, ClientPort) }

// PeerAddr returns the address for peers.
func (n *Node) PeerAddr() netip.AddrPort { return netip.AddrPortFrom(n.Addr, PeerPort) }

// OperatorAddr returns the address for operators.
func (n *Node) OperatorAddr() netip.AddrPort { return netip.AddrPortFrom(n.Addr, OperatorPort) }

// Running reports whether the process was started, has not exited and is not
// paused.
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

// Pid returns the process ID of the last process, 0 if none was started.
func (n *Node) Pid() int {
	if n.command == nil || n.command.Process == nil {
		return 0
	}
	return n.command.Process.Pid
}

// Cluster is a fleet of processes. The exported fields are set before Start. For
// the same node, StartNode and Signal with SIGSTOP or SIGCONT must not be called
// concurrently with other methods.
type Cluster struct {
	// Product and Bench are the paths of the programs ebonyscale and ebonybench.
	Product, Bench string
	// Directory is where the settings files and the logs are written.
	Directory string
	// Deployment is the directory of the deployment's files, and Name its name.
	Deployment, Name string
	// Platform is the address at which the platform's stand-in listens.
	Platform netip.AddrPort
	// Nodes are the entry VMs. The methods take indexes in Nodes.
	Nodes []*Node
	// Stand has lines for the [Stand] section of the stand-ins' settings file.
	Stand string
	// Environment has variables, as KEY=VALUE, for each node's process.
	Environment []string
	// Settings is text that is appended to the settings file of each node.
	Settings string

	standIns []*exec.Cmd
}

// Start starts the stand-ins, applies the deployment and starts the nodes. It
// returns when every node is ready. After an error, Close ends what was started.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.writeStand(); err != nil {
		return err
	}
	for _, part := range []string{"Platform", "Engines", "Plains"} {
		command, err := c.start("stand-"+part, c.Bench, "stand", "-file", filepath.Join(c.Directory, "stand.ini"), "-only", part)
		if err != nil {
			return fmt.Errorf("start stand-ins: %w", err)
		}
		c.standIns = append(c.standIns, command)
	}
	if err := c.apply(ctx); err != nil {
		return err
	}
	for i := range c.Nodes {
		if err := c.StartNode(i); err != nil {
			return err
		}
	}
	return c.AwaitReady(ctx, readyTimeout)
}

// readyTimeout is how long the nodes may take to be ready.
const readyTimeout = 60 * time.Second

// writeStand writes the settings file of the stand-ins.
func (c *Cluster) writeStand() error {
	var text strings.Builder
	fmt.Fprintf(&text, "[Stand]\nDeployment = %s\nPlatform = %s\n%s\n", c.Deployment, c.Platform, c.Stand)
	for _, n := range c.Nodes {
		fmt.Fprintf(&text, "\n[EntryVM %s]\nAddress = %s\nAvailabilityZone = %s\n", n.Name, n.Addr, n.Zone)
	}
	if err := os.WriteFile(filepath.Join(c.Directory, "stand.ini"), []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("write settings file of the stand-ins: %w", err)
	}
	return nil
}

// apply applies the deployment with the operators' command. It retries for at
// least 5 s, until the platform's stand-in listens.
func (c *Cluster) apply(ctx context.Context) error {
	var err error
	for range applyAttempts {
		var output []byte
		output, err = exec.CommandContext(ctx, c.Product, "apply", "-platform", c.Platform.String(), "-base", "0", c.Deployment).CombinedOutput()
		if err == nil {
			return nil
		}
		err = fmt.Errorf("apply: %w: %s", err, output)
		if !timer.Wait(ctx, applyPause) {
			break
		}
	}
	return err
}

const (
	// applyAttempts and applyPause bound the wait until the platform is there.
	applyAttempts = 50
	applyPause    = 100 * time.Millisecond
	// readyPause is the pause between two checks whether the nodes are ready.
	readyPause = 20 * time.Millisecond
)

// start starts a program whose output is appended to the log file name.log.
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

// StartNode starts a process of a node; an earlier one must have exited. It
// doesn't wait until the process is ready.
func (c *Cluster) StartNode(i int) error {
	n := c.Nodes[i]
	path := filepath.Join(c.Directory, n.Name+".ini")
	text := fmt.Sprintf("[Node]\nName = %s\nAvailabilityZone = %s\nDeployment = %s\n\n[Addresses]\nCallers = %s\nOperators = %s\nPeers = %s\n\n[Platform]\nAddress = %s\n\n%s\n",
		n.Name, n.Zone, c.Name, n.ClientAddr(), n.OperatorAddr(), n.PeerAddr(), c.Platform, c.Settings)
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

// Ready reports whether a node's readiness endpoint responds with success.
func (c *Cluster) Ready(i int) bool {
	body, status, err := c.Get(i, "/readyz")
	return err == nil && status == http.StatusOK && len(body) > 0
}

// AwaitReady waits until every node is ready. It fails if one isn't running.
func (c *Cluster) AwaitReady(ctx context.Context, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for i, n := range c.Nodes {
		for n.Running() && !c.Ready(i) {
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("%s is not ready after %v", n.Name, timeout)
			}
			timer.Wait(ctx, readyPause)
		}
		if !n.Running() {
			return fmt.Errorf("%s has ended; its log is in %s", n.Name, c.Directory)
		}
	}
	return nil
}

// operatorTimeout bounds an HTTP request to a node or a stand-in.
const operatorTimeout = 2 * time.Second

// Get gets a path at a node's address for operators and returns the body and the
// HTTP status.
func (c *Cluster) Get(i int, path string) ([]byte, int, error) {
	return get(c.Nodes[i].OperatorAddr(), path)
}

// Read gets a path of a stand-in. A status other than 200 is an error.
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
		return nil, 0, fmt.Errorf("get %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return body, response.StatusCode, err
}

// Put puts a body to a path of a node or a stand-in. A status other than 200 is
// an error.
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

// Signal sends a signal to the process of a node. It fails if none was started.
func (c *Cluster) Signal(i int, s syscall.Signal) error {
	n := c.Nodes[i]
	if n.command == nil {
		return errors.New("no process of the node was started")
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

// Await waits until the process of a node has exited and returns its exit code,
// which is -1 if a signal ended it. It fails after timeout.
func (c *Cluster) Await(i int, timeout time.Duration) (int, error) {
	n := c.Nodes[i]
	select {
	case <-n.exited:
		return n.command.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, fmt.Errorf("%s has not ended after %v", n.Name, timeout)
	}
}

// Close kills every process that this cluster started, the stand-ins included,
// and waits until they have exited.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n.command == nil {
			continue
		}
		_ = n.command.Process.Kill()
		<-n.exited
	}
	for _, s := range c.standIns {
		_ = s.Process.Kill()
		_ = s.Wait()
	}
}
