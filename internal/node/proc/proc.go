// Package proc runs a process on an entry VM: a tree.Node with its network clients
// and its listeners.
//
// # Usage
//
//	process := &proc.Process{Settings: settings, Log: log, Level: level}
//	if err := process.Listen(); err != nil { ... }
//	go process.Run(ctx)
//	process.Stop(ctx) // a planned stop
//
// Run returns when ctx ends, a planned stop is complete, or a server fails.
package proc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/node/tree"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Process is one process on an entry VM. The exported fields above Node are set
// before Listen.
type Process struct {
	Settings setup.Settings
	Log      *zap.Logger
	// Level is the level of Log, which operators can change.
	Level zap.AtomicLevel
	// Peers is the RPC client for the other processes. If it is nil, Listen sets
	// a default client; experiments set one that simulates network partitions.
	Peers *link.Client
	// Seed seeds the random choices.
	Seed uint64

	Node *tree.Node

	clientListener, operatorListener, peerListener net.Listener
	server                                         *entry.Server
	admin                                          *fasthttp.Server
	stopped                                        chan struct{}
	stopOnce                                       sync.Once
}

// Listen opens the listeners and sets up the process. It is called before Run.
func (p *Process) Listen() error {
	s := p.Settings
	var err error
	if p.clientListener, err = entry.Listen(s.Addresses.Callers); err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	if p.operatorListener, err = entry.Listen(s.Addresses.Operators); err != nil {
		return fmt.Errorf("listener for operators: %w", err)
	}
	if p.peerListener, err = entry.Listen(s.Addresses.Peers); err != nil {
		return fmt.Errorf("listener for peers: %w", err)
	}
	p.assemble()
	return nil
}

// assemble creates the node and its clients and servers from the settings.
func (p *Process) assemble() {
	s := p.Settings
	platform := &store.Client{Address: s.Platform.Address, Timeout: s.Platform.Timeout}
	servers := &engine.Client{}
	if p.Peers == nil {
		p.Peers = &link.Client{}
	}
	p.Node = &tree.Node{
		Self:       member.Member{Name: s.Node.Name, AvailabilityZone: s.Node.AvailabilityZone, Address: s.Addresses.Peers},
		Deployment: s.Node.Deployment, Seeds: s.Node.Seeds, Platform: platform, Servers: servers, Peers: p.Peers,
		Log: p.Log, Limits: s.Limits, WatchFor: s.Platform.WatchFor, ListEvery: s.Platform.ListEvery, Seed: p.Seed,
	}
	p.Node.Prepare()
	p.Peers.Meters = p.Node.Meters
	p.Node.Meters.Gauge("PlatformBytes", platform.Bytes)
	p.Node.Meters.Gauge("PlatformCalls", platform.Calls)
	p.Node.Meters.Gauge("EngineControlBytes", servers.ControlBytes)
	p.server = &entry.Server{Core: p.Node.Core, Limits: s.Limits}
	p.server.Prepare()
	operators := &entry.Operators{Ready: p.Node.Ready, JSON: p.Node.Meters.JSON, SetLevel: func(text string) error { return p.Level.UnmarshalText([]byte(text)) }}
	handler := operators.Handler
	if s.Experiment.Cuts {
		simulated := &partition{next: handler}
		platform.SetCut(simulated.blocked)
		servers.SetCut(simulated.blocked)
		p.Peers.Cut = simulated.blocked
		handler = simulated.handle
	}
	p.admin = &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
	p.stopped = make(chan struct{})
}

// Run serves until ctx ends, a planned stop is complete, or a server fails. The error
// is that of the server that failed first, nil otherwise.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 4)
	var group sync.WaitGroup
	start := func(name string, serve func() error) {
		group.Go(func() {
			if err := serve(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	start("callers", func() error { return p.server.Serve(p.clientListener) })
	start("operators", func() error { return p.admin.Serve(p.operatorListener) })
	start("peers", func() error { return link.Serve(ctx, p.peerListener, p.Node, p.Node.Meters) })
	start("duties", func() error { return p.Node.Run(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case <-p.stopped:
	case err = <-failed:
	}
	cancel()
	p.close()
	group.Wait()
	return err
}

// closeTimeout bounds the shutdown of the servers at the end.
const closeTimeout = 2 * time.Second

// close shuts down the servers, and closes the peers' listener and the connections
// to peers.
func (p *Process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := errors.Join(p.server.Shutdown(ctx), p.admin.ShutdownWithContext(ctx)); err != nil {
		p.Log.Debug("servers could not be shut down", zap.Error(err))
	}
	p.peerListener.Close()
	p.Peers.Close()
}

// Stop performs a planned stop. It returns once every request in progress has ended;
// Run then releases the leases and returns. If ctx ends before, Stop returns an error
// and Run continues.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Node.Stop(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	p.stopOnce.Do(func() { close(p.stopped) })
	return nil
}
