package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/node/proc"
	"ebonyscale.example/ebonyscale/internal/node/sink"
)

// serveCommand runs one process of an entry VM, with the configuration that apply
// stores. For the users' platform there is entryCommand.
type serveCommand struct{ settings string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one process of an entry VM" }
func (*serveCommand) Usage() string {
	return `ebonyscale serve -settings FILE

Serves clients until it is told to stop, with the configuration that the command
apply stores in the platform. SIGTERM or SIGINT begins a planned stop: the process
is no longer ready, completes the requests in progress, releases its leases and
exits. A second signal aborts open requests and ends the process at once.

Example:
  ebonyscale serve -settings entry-1.ini

Exit codes: 0 planned stop, 1 the process could not start or failed, 2 wrong
usage or faults in the settings.

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the file with the process's settings")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := readSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "serve:", err)
		return subcommands.ExitUsageError
	}
	output, err := newLog(settings.Log.Level)
	if err != nil {
		return fail("serve", err)
	}
	defer output.sink.Flush(flushTimeout)
	log := output.With(zap.String("Process", settings.Node.Name))
	process := &proc.Process{Settings: settings, Log: log, Level: output.level, Seed: uint64(os.Getpid())}
	if err := process.Listen(); err != nil {
		return fail("serve", oops.In("serve").Code("Listen").With("Settings", c.settings).Wrapf(err, "start"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go stopOnSignal(ctx, cancel, process, log)
	log.Info("serving", zap.Stringer("Callers", settings.Addresses.Callers))
	if err := process.Run(ctx); err != nil {
		return fail("serve", err)
	}
	log.Info("stopped")
	return subcommands.ExitSuccess
}

// stopOnSignal performs a planned stop on the first SIGTERM or SIGINT, and
// cancels the process's context on the second.
func stopOnSignal(ctx context.Context, cancel context.CancelFunc, process *proc.Process, log *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-ctx.Done():
		return
	}
	log.Info("planned stop")
	go func() {
		<-signals
		log.Warn("second signal, open requests are aborted")
		cancel()
	}()
	if err := process.Stop(ctx); err != nil {
		log.Error("planned stop failed", zap.Error(err))
		cancel()
	}
}

// readSettings reads and parses the settings of a process of an entry VM.
func readSettings(path string) (setup.Settings, error) {
	if path == "" {
		return setup.Settings{}, fmt.Errorf("give the settings with -settings FILE")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return setup.Settings{}, oops.In("settings").Code("Unreadable").Wrapf(err, "read settings")
	}
	return setup.Parse(filepath.Base(path), data)
}

// flushTimeout is how long a process waits at its end for the last lines of its
// log to be written.
const flushTimeout = 500 * time.Millisecond

// processLog is the logger of a process. Its level can be changed at any time.
type processLog struct {
	*zap.Logger
	level zap.AtomicLevel
	sink  *sink.Sink
}

// newLog returns a logger that writes JSON lines to standard output. It never
// blocks: lines are dropped and counted while the output is too slow. It writes
// until the process ends.
func newLog(text string) (*processLog, error) {
	level := zap.NewAtomicLevel()
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.LevelKey, encoder.MessageKey, encoder.CallerKey = "At", "Level", "Message", zapcore.OmitKey
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	out := &sink.Sink{}
	go func() { _ = out.Run(context.Background(), os.Stdout) }()
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, level)
	return &processLog{Logger: zap.New(core), level: level, sink: out}, nil
}
