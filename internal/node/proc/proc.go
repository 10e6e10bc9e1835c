// Package proc is a process on an entry VM: a tree.Node with its network
// clients and its listeners.
//
// # Usage
//
//	process := &proc.Process{Settings: settings, Log: log, Level: level}
//	if err := process.Listen(); err != nil { ... }
//	go process.Run(ctx)
//	process.Stop(ctx) // a planned stop
//
// Run returns when ctx ends or a planned stop is complete.
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

// Process is one process. The exported fields above Node are set before
// Listen.
type Process struct {
	Settings setup.Settings
	Log      *zap.Logger
	Level    zap.AtomicLevel
	// Peers, if set, is used instead of a plain client, for experiments that
	// cut connections.
	Peers *link.Client
	Seed  uint64

	Node *tree.Node

	clientListener, operatorListener, peerListener net.Listener
	server                                         *entry.Server
	admin                                          *fasthttp.Server
	stopped                                        chan struct{}
	stopOnce                                       sync.Once
}

// Listen opens the listeners and assembles the process.
func (p *Process) Listen() error {
	s := p.Settings
	var err error
	if p.clientListener, err = entry.Listen(s.Addresses.Callers); err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	if p.operatorListener, err = entry.Listen(s.Addresses.Operators); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	if p.peerListener, err = entry.Listen(s.Addresses.Peers); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	p.assemble()
	return nil
}

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
		cuts := &partition{next: handler}
		platform.SetCut(cuts.blocked)
		servers.SetCut(cuts.blocked)
		p.Peers.Cut = cuts.blocked
		handler = cuts.handle
	}
	p.admin = &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true}
	p.stopped = make(chan struct{})
}

// Run serves until ctx ends or a planned stop is complete.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 4)
	var group sync.WaitGroup
	start := func(what string, serve func() error) {
		group.Go(func() {
			if err := serve(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", what, err)
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

// closeTimeout bounds the closing of listeners at the end.
const closeTimeout = 2 * time.Second

func (p *Process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := errors.Join(p.server.Shutdown(ctx), p.admin.ShutdownWithContext(ctx)); err != nil {
		p.Log.Debug("connections were left open", zap.Error(err))
	}
	p.peerListener.Close()
	p.Peers.Close()
}

// Stop is a planned stop. It returns once every request under way has ended;
// Run then gives the leases back and returns.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Node.Stop(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	p.stopOnce.Do(func() { close(p.stopped) })
	return nil
}
