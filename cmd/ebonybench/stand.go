package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
)

// standCommand runs stand-ins until it is told to stop.
type standCommand struct{ file, only string }

func (*standCommand) Name() string { return "stand" }
func (*standCommand) Synopsis() string {
	return "run stand-ins for the platform and the backend servers"
}

func (*standCommand) Usage() string {
	return `ebonybench stand -file FILE [-only Platform|Engines|Plains]

Runs the stand-ins for the platform and for the backend servers of a deployment,
as the file describes them, in this process: all of them, or with -only one part,
so that several processes can share the file.

Example:
  ebonybench stand -file stand.ini -only Platform

Exit codes: 0 stopped by a signal, 1 could not start, 2 wrong usage or faults in
the file.

`
}

func (c *standCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "the file that describes the stand-ins")
	f.StringVar(&c.only, "only", "Everything", "the part to run: "+strings.Join(scene.Parts, ", "))
}

func (c *standCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	part := slices.Index(scene.Parts, c.only)
	data, err := os.ReadFile(c.file)
	if err != nil || part < 0 {
		fmt.Fprintln(os.Stderr, "stand: give -file, and with -only one of", strings.Join(scene.Parts, ", "))
		return subcommands.ExitUsageError
	}
	settings, err := scene.ParseSettings(filepath.Base(c.file), data)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return subcommands.ExitUsageError
	}
	_, deployment, err := readDeployment(settings.Stand.Deployment)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return subcommands.ExitUsageError
	}
	s := &scene.Scene{
		Deployment: deployment, PlatformAddress: settings.Stand.Platform, Entries: settings.Entries,
		Writes: settings.Stand.Writes, Reads: settings.Stand.Reads, ListLag: settings.Stand.ListLag,
		ReportLag: settings.Stand.ReportLag, Vendor: settings.Stand.Vendor, Seed: uint64(settings.Stand.Seed),
	}
	if err := s.Listen(scene.Part(part)); err != nil {
		return fail("stand", err)
	}
	defer s.Close()
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s.Start(ctx)
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// readDeployment reads and parses the INI files of a deployment directory.
func readDeployment(directory string) ([]spec.File, *spec.Deployment, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	if err != nil {
		return nil, nil, fmt.Errorf("read deployment: %w", err)
	}
	var files []spec.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, fmt.Errorf("read deployment: %w", err)
		}
		files = append(files, spec.File{Name: filepath.Base(path), Data: data})
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return nil, nil, fmt.Errorf("deployment in %s: %w", directory, err)
	}
	return files, deployment, nil
}
