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

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/fleet/call"
	"ebonyscale.example/ebonyscale/internal/node/core"
	"ebonyscale.example/ebonyscale/internal/node/entry"
	"ebonyscale.example/ebonyscale/internal/node/httpd"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/peer/mesh"
	"ebonyscale.example/ebonyscale/internal/route/quota"
	"ebonyscale.example/ebonyscale/platform"
)

// entryCommand is one process on the users' platform.
type entryCommand struct{ settings string }

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run one process on the users' platform" }
func (*entryCommand) Usage() string {
	return `ebonyscale entry -settings FILE

Serves callers by the configuration and the backend servers that the platform's
store has, until it is told to stop. SIGTERM is a planned stop. SIGHUP reads the
settings again: the log's level is taken over, other changes need a restart.

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

// entryProcess is the process with its listeners.
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
	// reservedDescriptors are kept for files and for connections to backend
	// servers, the store and peers.
	reservedDescriptors = 1000
	// serverDialTimeout is the time to reach a backend server, which answers
	// within milliseconds if it can be reached at all. It leaves a request time
	// to go elsewhere.
	serverDialTimeout = 120 * time.Millisecond
	// serverIdle is how many connections are kept to a backend server: about
	// what one process has there at a time.
	serverIdle = 4
	// memoryShare is the part of the memory that the runtime aims to stay
	// under, bufferShare the part that bodies of requests may take.
	memoryShare = 0.7
	bufferShare = 0.2
)

func (p *entryProcess) run(ctx context.Context) error {
	s := p.settings
	memory := float64(s.Machine.MemoryMB) * 1e6
	debug.SetMemoryLimit(int64(memory * memoryShare))
	p.peers = &link.Client{}
	servers := &platform.Servers{Client: call.Client{DialTimeout: serverDialTimeout, MaxIdle: serverIdle}}
	store := &platform.Store{Address: s.Store.Address, Timeout: s.Store.Timeout}
	p.node = &core.Node{
		Name: s.Node.Name, Zone: s.Node.AvailabilityZone, Keys: platform.Keys, Feed: store, Store: store, Servers: servers, CloseExpired: servers.Client.CloseExpired,
		Peers: p.peers, Address: s.Addresses.Peers, Cores: s.Machine.Cores,
		RetryLimit: quota.Limit{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryShare, Slack: s.Bounds.RetrySlack},
		WatchFor:   s.Store.WatchFor, LeaveWithin: s.Bounds.LeaveWithin, Log: p.log, Seed: uint64(os.Getpid()),
	}
	news, err := mesh.Listen(s.Addresses.Peers)
	if err != nil {
		return fmt.Errorf("news: %w", err)
	}
	p.node.StatusConn = news
	p.node.Prepare()
	p.peers.Meters = p.node.Meters
	p.node.Meters.Gauge("StoreCalls", store.Calls)
	p.node.Meters.Gauge("ServerConnectionsMade", servers.Client.Dials)
	p.node.Meters.Gauge("LogLinesDropped", p.output.sink.Dropped)
	p.server = &httpd.Server{
		Handler: &platform.Front{Broker: p.node.Broker, Log: p.log}, Limits: p.node.Limits, Log: p.log,
		MaxConnections: int(s.Machine.Descriptors) - reservedDescriptors, MaxBuffered: int64(memory * bufferShare),
	}
	return p.serve(ctx)
}

func (p *entryProcess) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers, err := entry.Listen(p.settings.Addresses.Callers)
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
	start := func(what string, serve func() error) {
		go func() {
			if err := serve(); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", what, err)
			}
		}()
	}
	admin := &fasthttp.Server{Handler: operators.Handler, NoDefaultServerHeader: true}
	start("callers", func() error { return p.server.Serve(callers) })
	start("readiness", func() error { return admin.Serve(readiness) })
	start("metrics", func() error { return admin.Serve(metrics) })
	start("peers", func() error { return link.ServeEntry(ctx, peers, p.node, p.node.Meters) })
	start("duties", func() error { return p.node.Run(ctx) })
	p.log.Info("started", zap.Stringer("Callers", p.settings.Addresses.Callers), zap.String("AvailabilityZone", p.settings.Node.AvailabilityZone))
	stopped := make(chan struct{})
	go p.signals(ctx, callers, stopped)
	select {
	case err := <-failed:
		return err
	case <-stopped:
		return nil
	case <-ctx.Done():
		return nil
	}
}

// signals reads the settings again at SIGHUP, and stops at SIGTERM.
func (p *entryProcess) signals(ctx context.Context, callers net.Listener, stopped chan<- struct{}) {
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
			callers.Close()
			close(stopped)
			return
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the settings again. Settings with faults change nothing.
func (p *entryProcess) reload() {
	settings, err := readEntry(p.file)
	if err == nil {
		err = p.output.level.UnmarshalText([]byte(settings.Log.Level))
	}
	if err != nil {
		p.log.Error("settings are not taken over", zap.Error(err))
		return
	}
	p.log.Info("settings read again", zap.String("Level", settings.Log.Level))
}
