package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/google/subcommands"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ebonyscale.example/ebonyscale/internal/config/setup"
	"ebonyscale.example/ebonyscale/internal/node/proc"
)

// serveCommand is one process of an entry VM.
type serveCommand struct{ settings string }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one process of an entry VM" }
func (*serveCommand) Usage() string {
	return `ebonyscale serve -settings FILE

Serves callers until it is told to stop. SIGTERM or SIGINT is a planned stop:
the process is not ready at once, finishes every stream, gives its leases back
and exits. A second signal ends it at once.

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
	log, level, err := newLog(settings.Log.Level)
	if err != nil {
		return fail("serve", err)
	}
	log = log.With(zap.String("Process", settings.Node.Name))
	process := &proc.Process{Settings: settings, Log: log, Level: level, Seed: uint64(os.Getpid())}
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

// stopOnSignal begins a planned stop at the first signal and ends the process at
// the second.
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
		log.Warn("second signal, requests are cut")
		cancel()
	}()
	if err := process.Stop(ctx); err != nil {
		log.Error("planned stop", zap.Error(err))
		cancel()
	}
}

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

// newLog makes the process's log, whose level can be changed while it runs.
func newLog(text string) (*zap.Logger, zap.AtomicLevel, error) {
	level := zap.NewAtomicLevel()
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return nil, level, fmt.Errorf("log level: %w", err)
	}
	config := zap.NewProductionConfig()
	config.Level = level
	config.Sampling = nil
	config.EncoderConfig.TimeKey, config.EncoderConfig.LevelKey, config.EncoderConfig.MessageKey = "At", "Level", "Message"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return nil, level, fmt.Errorf("open log: %w", err)
	}
	return log, level, nil
}
