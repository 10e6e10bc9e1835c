package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"ebonyscale.example/ebonyscale/internal/base/budget"
	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/core"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/mesh"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/internal/route/shed"
	"ebonyscale.example/ebonyscale/internal/state/duty"
	"ebonyscale.example/ebonyscale/platform"
)

// entryCommand runs one entry process on the users' platform.
type entryCommand struct{ settings string }

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run one entry process on the users' platform" }
func (*entryCommand) Usage() string {
	return `ebonyscale entry -settings FILE

Serves clients until it is told to stop. The configuration and the list of
backend servers come from the platform's store. SIGTERM or SIGINT begins a
planned stop. SIGHUP reads the settings again: a new log level is applied at
once, other changes need a restart.

Example:
  ebonyscale entry -settings entry.ini

Exit codes: 0 planned stop, 1 the process could not start or failed, 2 wrong
usage or faults in the settings.

`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the file with the process's settings")
}

func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := readEntry(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		return subcommands.ExitUsageError
	}
	output, err := newLog(settings.Log.Level)
	if err != nil {
		return fail("entry", err)
	}
	defer output.sink.Flush(flushTimeout)
	process := &entryProcess{settings: settings, file: c.settings, output: output, log: output.With(zap.String("Process", settings.Node.Name))}
	if err := process.run(ctx); err != nil {
		return fail("entry", oops.In("entry").Code("Run").With("Settings", c.settings).Wrapf(err, "run"))
	}
	return subcommands.ExitSuccess
}

// readEntry reads and parses the settings of an entry process.
func readEntry(path string) (setup.Entry, error) {
	if path == "" {
		return setup.Entry{}, errors.New("give the settings with -settings FILE")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return setup.Entry{}, oops.In("settings").Code("Unreadable").Wrapf(err, "read settings")
	}
	return setup.ParseEntry(filepath.Base(path), data)
}

// entryProcess is an entry process with its network clients and listeners.
type entryProcess struct {
	settings setup.Entry
	file     string
	output   *processLog
	log      *zap.Logger
	node     *core.Node
	peers    *link.Client
	server   *httpd.Server
}

const (
	// reservedDescriptors are the file descriptors that are not used for
	// clients' connections, but for files and for connections to backend
	// servers, the store and peers.
	reservedDescriptors = 1000
	// serverDialTimeout is the DialTimeout for backend servers. One that can be
	// reached accepts within milliseconds; a short timeout leaves the request time
	// for another backend server.
	serverDialTimeout = 120 * time.Millisecond
	// maxIdlePerServer is the number of idle connections kept to a backend server,
	// about as many as one process uses there at a time.
	maxIdlePerServer = 4
	// memoryShare is the share of the process's memory that is set as the Go
	// runtime's memory limit, bufferShare the share that the bodies of clients'
	// requests may use, and responseShare that of responses.
	memoryShare   = 0.7
	bufferShare   = 0.2
	responseShare = 0.2
)

// run creates the parts of the process and serves until a planned stop has ended.
func (p *entryProcess) run(ctx context.Context) error {
	s := p.settings
	memory := float64(s.Machine.MemoryMB) * 1e6
	debug.SetMemoryLimit(int64(memory * memoryShare))
	p.peers = &link.Client{}
	servers := &platform.Servers{Client: call.Client{DialTimeout: serverDialTimeout, MaxIdle: maxIdlePerServer}}
	store := &platform.Store{Address: s.Store.Address, Timeout: s.Store.Timeout}
	p.node = &core.Node{
		Name: s.Node.Name, Zone: s.Node.AvailabilityZone, Keys: platform.Keys, Feed: store, Store: store, Servers: servers, CloseExpired: servers.Client.CloseExpired,
		Peers: p.peers, Hops: p.peers, Relays: int(s.Store.Relays), RelayCalls: p.peers, Address: s.Addresses.Peers, Cores: s.Machine.Cores,
		RetryLimit: quota.Limit{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryShare, Slack: s.Bounds.RetrySlack},
		WatchFor:   s.Store.WatchFor, StoreWrites: s.Store.WritesPerSecond, LeaveWithin: s.Bounds.LeaveWithin, SettledAfter: s.Bounds.SettledAfter, Admission: shed.Policy(s.Admission.Policy),
		StrictRevoke: s.Bounds.StrictRevoke, RevokeWithin: s.Bounds.RevokeWithin, Log: p.log, Seed: uint64(os.Getpid()),
	}
	p.node.Duties = p.duties(store)
	statusConn, err := mesh.Listen(s.Addresses.Peers)
	if err != nil {
		return fmt.Errorf("status messages of peers: %w", err)
	}
	p.node.StatusConn = statusConn
	p.node.Prepare()
	p.node.Broker.MaxBuffered = int64(memory * responseShare)
	servers.Notify = p.node.Broker.Notice
	p.peers.Meters = p.node.Meters
	p.node.Meters.Gauge("StoreCalls", store.Calls)
	p.node.Meters.Gauge("ServerConnectionsMade", servers.Client.Dials)
	p.node.Meters.Gauge("LogLinesDropped", p.output.sink.Dropped)
	p.server = &httpd.Server{
		Handler: &platform.Front{Broker: p.node.Broker, Log: p.log}, Limits: p.node.Limits, Log: p.log,
		MaxConnections: int(s.Machine.Descriptors) - reservedDescriptors, Buffered: budget.Budget{Limit: int64(memory * bufferShare)},
	}
	return p.serve(ctx)
}

// The words of the setting that lists the duties.
const (
	usageReports  = "UsageReports"
	scalingOrders = "ScalingOrders"
)

// dutyTimeout bounds a call of a duty. It leaves time to repeat a usage report until it is due.
const dutyTimeout = 1500 * time.Millisecond

// duties returns the duties that the settings ask for.
func (p *entryProcess) duties(store *platform.Store) core.Duties {
	s := p.settings.Duties
	if !s.Address.IsValid() {
		return core.Duties{}
	}
	calls := &platform.Duties{Address: s.Address, Holder: p.settings.Node.Name, Timeout: dutyTimeout, Limit: duty.Limit(s.PerSecond)}
	duties := core.Duties{Address: s.Address, Era: store.Era, Lease: s.Lease, Window: s.Window, ReportWithin: s.ReportWithin}
	for _, name := range s.Perform {
		switch name {
		case usageReports:
			duties.Reports = calls
		case scalingOrders:
			duties.Orders = calls
		default:
			p.log.Warn("duty is not known", zap.String("Duty", name))
		}
	}
	return duties
}

// serve opens the listeners and runs the servers and background tasks. It
// returns when one of them fails, a planned stop has ended or ctx ends.
func (p *entryProcess) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clients, err := httpd.Listen(p.settings.Addresses.Callers.String())
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	operators := &entry.Operators{Ready: p.node.Ready, JSON: p.node.Meters.JSON, SetLevel: func(text string) error { return p.output.level.UnmarshalText([]byte(text)) }}
	readiness, err := entry.Listen(p.settings.Addresses.Readiness)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	metrics, err := entry.Listen(p.settings.Addresses.Metrics)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	peers, err := entry.Listen(p.settings.Addresses.Peers)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	failed := make(chan error, 5)
	start := func(name string, serve func() error) {
		go func() {
			if err := serve(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		}()
	}
	admin := &fasthttp.Server{Handler: operators.Handler, NoDefaultServerHeader: true}
	start("callers", func() error { return p.server.Serve(clients) })
	start("readiness", func() error { return admin.Serve(readiness) })
	start("metrics", func() error { return admin.Serve(metrics) })
	start("peers", func() error { return link.ServeEntry(ctx, peers, p.node, p.node.Meters) })
	start("duties", func() error { return p.node.Run(ctx) })
	p.log.Info("started", zap.Stringer("Callers", p.settings.Addresses.Callers), zap.String("AvailabilityZone", p.settings.Node.AvailabilityZone))
	stopped := make(chan struct{})
	go p.handleSignals(ctx, clients, stopped)
	select {
	case err := <-failed:
		return err
	case <-stopped:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// handleSignals reloads the settings on SIGHUP. On SIGTERM or SIGINT it performs
// a planned stop, then closes stopped and returns.
func (p *entryProcess) handleSignals(ctx context.Context, clients net.Listener, stopped chan<- struct{}) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case got := <-signals:
			if got == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.node.Stop(ctx, p.server, p.settings.Bounds.StopGrace)
			clients.Close()
			close(stopped)
			return
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings again and applies the log level. Settings with
// faults change nothing.
func (p *entryProcess) reload() {
	settings, err := readEntry(p.file)
	if err == nil {
		err = p.output.level.UnmarshalText([]byte(settings.Log.Level))
	}
	if err != nil {
		p.log.Error("settings could not be read again, the old ones stay active", zap.Error(err))
		return
	}
	p.log.Info("settings read again", zap.String("Level", settings.Log.Level))
}
