// Package scene sets up the stand-ins for a deployment: the platform, and each
// backend server at the address that the deployment declares.
//
// # Usage
//
//	s := &scene.Scene{Deployment: deployment, PlatformAddress: address}
//	if err := s.Listen(scene.Everything); err != nil { ... }
//	defer s.Close()
//	s.Start(ctx)
//
// The stand-ins are reached over the network at their addresses, or without a
// network through the fields Platform, Engines and Plains and the methods Send,
// Report and Order. Build instead of Listen sets them up without listeners.
package scene

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/engine"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/plain"
	"ebonyscale.example/ebonyscale/internal/stand/platf"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Part selects the stand-ins that a process serves.
type Part int

// The parts of a scene.
const (
	Everything Part = iota
	OnlyPlatform
	OnlyEngines
	OnlyPlains
)

// Parts has the names of the parts, indexed by Part.
var Parts = []string{"Everything", "Platform", "Engines", "Plains"}

// String returns the part's name.
func (p Part) String() string { return Parts[p] }

// Scene has the stand-ins of a deployment. The fields before Platform are set
// before Build or Listen, which set Platform, Engines and Plains.
type Scene struct {
	Deployment *spec.Deployment
	// PlatformAddress is the address at which Listen serves the platform.
	PlatformAddress netip.AddrPort
	// Entries are the entry VMs in the platform's list of VMs.
	Entries []store.VM
	// Writes and Reads are the platform's rate limits in calls per second; 0
	// means none.
	Writes, Reads float64
	// ListLag is the age of the list of VMs that the platform returns.
	ListLag time.Duration
	// ReportLag is the age of the engines' status reports.
	ReportLag time.Duration
	// Vendor is the vendor of every engine. If empty, each engine's vendor
	// follows from its declared speed.
	Vendor string
	// Seed plus the index of a server in the deployment is the seed of its engine.
	Seed uint64

	Platform *platf.Platform
	Engines  map[string]*model.Engine
	Plains   map[string]*plain.Server

	servers   []*fasthttp.Server
	listeners []net.Listener
}

// Sizes and rates of the stand-ins.
const (
	// cacheTokens and kvTokens are the sizes of an engine's prefix cache and KV
	// memory.
	cacheTokens = 400_000
	kvTokens    = 400_000
	// plainServiceTime is the duration of a request to a backend server of a
	// plain service.
	plainServiceTime = 3 * time.Millisecond
	// weightsPerSecond is the number of models that the weight store loads per
	// second.
	weightsPerSecond = 0.5
)

// Build creates the stand-ins without listeners.
func (s *Scene) Build() {
	s.Platform = &platf.Platform{Writes: s.Writes, Reads: s.Reads, ListLag: s.ListLag, WeightRate: weightsPerSecond}
	s.Engines = map[string]*model.Engine{}
	s.Plains = map[string]*plain.Server{}
	for _, vm := range s.Entries {
		s.Platform.SetVM(vm)
	}
	for i, b := range s.Deployment.Servers {
		s.Platform.SetVM(store.VM{Name: b.VM, AvailabilityZone: b.AvailabilityZone, Address: b.Address.Addr()})
		if !b.Engine() {
			s.Plains[b.Name] = &plain.Server{Name: b.Name, ServiceTime: plainServiceTime}
			continue
		}
		s.Engines[b.Name] = &model.Engine{
			Name: b.Name, Vendor: s.vendor(b), Role: b.Role, Models: s.loadedModels(b), ChecksFence: b.ChecksFence,
			Slots: int(b.Slots), CacheTokens: cacheTokens, KvTokens: kvTokens, ReportAge: s.ReportLag, Seed: s.Seed + uint64(i), Weights: s.Platform,
		}
	}
}

// vendor returns the vendor that matches the engine's declared prefill rate, or
// the scene's vendor if it is set.
func (s *Scene) vendor(b spec.BackendServer) model.Vendor {
	if s.Vendor != "" {
		return model.Vendors[s.Vendor]
	}
	if b.PrefillRate < minKestrelRate {
		return model.Vendors["Heron"]
	}
	return model.Vendors["Kestrel"]
}

// minKestrelRate is the declared prefill rate from which an engine is simulated
// as Kestrel, else as Heron, in prompt tokens per second.
const minKestrelRate = 8000

// loadedModels returns the declared models that the engine starts with.
func (s *Scene) loadedModels(b spec.BackendServer) []engine.Loaded {
	var list []engine.Loaded
	for _, name := range b.Models {
		if m, ok := s.Deployment.Model(name); ok {
			list = append(list, engine.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	return list
}

// Listen builds the stand-ins and serves those of a part over HTTP in the
// background. The caller calls Close, also after an error.
func (s *Scene) Listen(part Part) error {
	s.Build()
	if part == Everything || part == OnlyPlatform {
		if err := s.serve(s.PlatformAddress, s.Platform.Handler); err != nil {
			return err
		}
	}
	for _, b := range s.Deployment.Servers {
		var err error
		switch {
		case b.Engine() && (part == Everything || part == OnlyEngines):
			err = s.serve(b.Address, s.Engines[b.Name].Handler)
		case !b.Engine() && (part == Everything || part == OnlyPlains):
			err = s.serve(b.Address, s.Plains[b.Name].Handler)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// serve serves a stand-in at an address in the background.
func (s *Scene) serve(address netip.AddrPort, handler fasthttp.RequestHandler) error {
	listener, err := entry.Listen(address)
	if err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 64 << 20, Logger: discardLogger{}}
	s.servers = append(s.servers, server)
	s.listeners = append(s.listeners, listener)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// discardLogger discards the HTTP server's messages: closed connections are
// injected faults here.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Start runs the engines until ctx ends.
func (s *Scene) Start(ctx context.Context) {
	for _, e := range s.Engines {
		e.Start(ctx)
	}
}

// Close closes the listeners. Open connections are kept.
func (s *Scene) Close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// errUnknownServer is returned for a backend server without a stand-in.
var errUnknownServer = errors.New("backend server has no stand-in")

// Send sends a request to a stand-in without a network, with the signature of
// engine.Client.Send.
func (s *Scene) Send(ctx context.Context, b spec.BackendServer, request engine.Call) (*engine.Response, error) {
	if e := s.Engines[b.Name]; e != nil {
		return e.Send(ctx, request)
	}
	if p := s.Plains[b.Name]; p != nil {
		return p.Send(ctx, request)
	}
	return nil, errUnknownServer
}

// Connect opens a connection to a stand-in, with the signature of engine.Client.Connect.
func (s *Scene) Connect(_ context.Context, b spec.BackendServer) error {
	if e := s.Engines[b.Name]; e != nil {
		return e.Connect()
	}
	if p := s.Plains[b.Name]; p != nil {
		return p.Connect()
	}
	return errUnknownServer
}

// Report reads an engine's status report without a network, with the signature
// of engine.Client.Report.
func (s *Scene) Report(ctx context.Context, b spec.BackendServer, since uint64) (engine.Report, error) {
	if e := s.Engines[b.Name]; e != nil {
		return e.Report(ctx, since)
	}
	return engine.Report{}, errUnknownServer
}

// Order sends an order to an engine without a network, with the signature of
// engine.Client.Order. Like the client, it sends nothing after
// order.SendBefore, shortly before the sender's lease expires.
func (s *Scene) Order(ctx context.Context, b spec.BackendServer, order engine.Order) error {
	e := s.Engines[b.Name]
	if e == nil {
		return errUnknownServer
	}
	if !order.SendBefore.IsZero() && !time.Now().Before(order.SendBefore) {
		return context.DeadlineExceeded
	}
	return e.Order(ctx, order)
}
