package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/peer/crawl"
)

// exitConflict is the exit code of an apply that lost against another one.
const exitConflict subcommands.ExitStatus = 3

// applyCommand puts a directory in force.
type applyCommand struct {
	output   outputFlag
	platform platformFlag
	node     nodeFlag
	base     int64
	author   string
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	c.node.register(f)
	f.Int64Var(&c.base, "base", -1, "the version that the files were made for")
	f.StringVar(&c.author, "author", "operator", "who applies")
}

type applyResult struct {
	Deployment string
	Version    uint64
	// Processes have the version in force after InForceMs, of Reached that
	// answered.
	Processes, Reached int
	InForceMs          int64
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	files, err := readDirectory(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return subcommands.ExitUsageError
	}
	client, err := c.platform.client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return subcommands.ExitUsageError
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return printFaults(&c.output, "apply", err)
	}
	base := uint64(max(c.base, 0))
	if c.base < 0 {
		current, _, err := apply.Read(ctx, client, deployment.Name)
		if err != nil {
			return fail("apply", err)
		}
		base = current.Version
	}
	manifest, err := apply.Apply(ctx, client, files, apply.Request{Base: base, Author: c.author})
	var conflict *apply.Conflict
	if errors.As(err, &conflict) {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return exitConflict
	}
	if err != nil {
		return fail("apply", err)
	}
	return c.report(ctx, manifest)
}

// report reports the acceptance, and waits for the processes with -node.
func (c *applyCommand) report(ctx context.Context, m apply.Manifest) subcommands.ExitStatus {
	result := applyResult{Deployment: m.Deployment, Version: m.Version}
	text := fmt.Sprintf("%s: version %d accepted\n", m.Deployment, m.Version)
	if c.node.address.IsValid() {
		began := time.Now()
		if !c.awaitActive(ctx, m.Version, &result) {
			c.output.print(result, text)
			return fail("apply", fmt.Errorf("in force on %d of %d processes only", result.Processes, result.Reached))
		}
		result.InForceMs = time.Since(began).Milliseconds()
		text += fmt.Sprintf("in force on all %d processes that answer, %d ms after it was accepted\n", result.Processes, result.InForceMs)
	}
	c.output.print(result, text)
	return subcommands.ExitSuccess
}

// activeTimeout is how long an apply waits for the processes.
const activeTimeout = 7 * time.Second

func (c *applyCommand) awaitActive(ctx context.Context, version uint64, result *applyResult) bool {
	client, err := c.node.client()
	if err != nil {
		return false
	}
	defer client.Close()
	fleet := crawl.Fleet(ctx, client, c.node.address.AddrPort)
	var addresses []netip.AddrPort
	for _, p := range fleet {
		addresses = append(addresses, p.Address)
	}
	for end := time.Now().Add(activeTimeout); time.Now().Before(end); {
		result.Processes, result.Reached = 0, 0
		for _, p := range fleet {
			if p.Err != nil {
				continue
			}
			result.Reached++
			if p.Status.ConfigVersion >= version {
				result.Processes++
			}
		}
		if result.Reached > 0 && result.Processes == result.Reached {
			return true
		}
		fleet = crawl.Fleet(ctx, client, addresses...)
	}
	return false
}
