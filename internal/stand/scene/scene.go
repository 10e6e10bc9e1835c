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
// The stand-ins are reached by their addresses, or directly through the fields
// Platform, Engines and Plains.
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

// Part selects which stand-ins a process holds.
type Part int

// The parts.
const (
	Everything Part = iota
	OnlyPlatform
	OnlyEngines
	OnlyPlains
)

// Parts are the names of the parts.
var Parts = []string{"Everything", "Platform", "Engines", "Plains"}

// String returns the part's name.
func (p Part) String() string { return Parts[p] }

// Scene is the stand-ins of a deployment. The exported fields above Platform
// are set first.
type Scene struct {
	Deployment      *spec.Deployment
	PlatformAddress netip.AddrPort
	// Entries are the entry VMs for the platform's list.
	Entries []store.VM
	// Writes and Reads limit the platform, in calls per second.
	Writes, Reads float64
	ListLag       time.Duration
	// ReportLag is the age of the engines' reports.
	ReportLag time.Duration
	// Vendor makes every engine of this make, instead of by its rates.
	Vendor string
	Seed   uint64

	Platform *platf.Platform
	Engines  map[string]*model.Engine
	Plains   map[string]*plain.Server

	servers   []*fasthttp.Server
	listeners []net.Listener
}

// Sizes of a stand-in engine.
const (
	cacheTokens = 400_000
	kvTokens    = 400_000
	plainTook   = 3 * time.Millisecond
	// weightsPerSecond is the rate of the weight store.
	weightsPerSecond = 0.5
)

// Build makes the stand-ins without listeners.
func (s *Scene) Build() {
	s.Platform = &platf.Platform{Writes: s.Writes, Reads: s.Reads, ListLag: s.ListLag, Weights: weightsPerSecond}
	s.Engines = map[string]*model.Engine{}
	s.Plains = map[string]*plain.Server{}
	for _, vm := range s.Entries {
		s.Platform.SetVM(vm)
	}
	for i, b := range s.Deployment.Servers {
		s.Platform.SetVM(store.VM{Name: b.VM, AvailabilityZone: b.AvailabilityZone, Address: b.Address.Addr()})
		if !b.Engine() {
			s.Plains[b.Name] = &plain.Server{Name: b.Name, Took: plainTook}
			continue
		}
		s.Engines[b.Name] = &model.Engine{
			Name: b.Name, Vendor: s.vendor(b), Role: b.Role, Models: s.loaded(b), ChecksFence: b.ChecksFence,
			Slots: int(b.Slots), CacheTokens: cacheTokens, KvTokens: kvTokens, Lag: s.ReportLag, Seed: s.Seed + uint64(i), Weights: s.Platform,
		}
	}
}

// vendor picks the make by what the deployment declares of the engine's speed.
func (s *Scene) vendor(b spec.BackendServer) model.Vendor {
	if s.Vendor != "" {
		return model.Vendors[s.Vendor]
	}
	if b.PrefillRate < slowRate {
		return model.Vendors["Heron"]
	}
	return model.Vendors["Kestrel"]
}

// slowRate divides the makes, in prompt tokens per second.
const slowRate = 8000

func (s *Scene) loaded(b spec.BackendServer) []engine.Loaded {
	var list []engine.Loaded
	for _, name := range b.Models {
		if m, ok := s.Deployment.Model(name); ok {
			list = append(list, engine.Loaded{Model: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	return list
}

// Listen builds the stand-ins and opens the listeners of a part.
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

func (s *Scene) serve(address netip.AddrPort, handler fasthttp.RequestHandler) error {
	listener, err := entry.Listen(address)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 64 << 20, Logger: quiet{}}
	s.servers = append(s.servers, server)
	s.listeners = append(s.listeners, listener)
	go func() { _ = server.Serve(listener) }()
	return nil
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Start runs the engines until ctx ends.
func (s *Scene) Start(ctx context.Context) {
	for _, e := range s.Engines {
		e.Start(ctx)
	}
}

// Close closes the listeners.
func (s *Scene) Close() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// errUnknown says that a call was for a server that is not in the scene.
var errUnknown = errors.New("no such backend server in the scene")

// Send implements the system's sending interface without a socket.
func (s *Scene) Send(ctx context.Context, b spec.BackendServer, sent engine.Call) (*engine.Response, error) {
	if e := s.Engines[b.Name]; e != nil {
		return e.Send(ctx, sent)
	}
	if p := s.Plains[b.Name]; p != nil {
		return p.Send(ctx, sent)
	}
	return nil, errUnknown
}

// Report implements the system's reading interface without a socket.
func (s *Scene) Report(ctx context.Context, b spec.BackendServer, since uint64) (engine.Report, error) {
	if e := s.Engines[b.Name]; e != nil {
		return e.Report(ctx, since)
	}
	return engine.Report{}, errUnknown
}

// Order implements the system's ordering interface without a socket. Like the
// network client, it sends nothing after the end of the order's authority.
func (s *Scene) Order(ctx context.Context, b spec.BackendServer, order engine.Order) error {
	e := s.Engines[b.Name]
	if e == nil {
		return errUnknown
	}
	if !order.SendBefore.IsZero() && !time.Now().Before(order.SendBefore) {
		return context.DeadlineExceeded
	}
	return e.Order(ctx, order)
}
