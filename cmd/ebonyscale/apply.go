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

// exitConflict is the exit code of an apply whose base is not the newest version.
const exitConflict subcommands.ExitStatus = 3

// applyCommand stores the files of a directory as the next version of the
// configuration.
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

// applyResult is the output of the apply command. Without -node only Deployment
// and Version are set.
type applyResult struct {
	Deployment string
	Version    uint64
	// Reached is how many processes responded, Processes how many of them use
	// the version or a newer one.
	Processes, Reached int
	// InForceMs is the time from the acceptance until all of them used it, in
	// milliseconds.
	InForceMs int64
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

// report prints that the version was accepted. With -node it first waits until
// the processes use it.
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

// activeTimeout is how long apply waits until the processes use a new version.
const activeTimeout = 7 * time.Second

// awaitActive polls the processes until all that respond use the version, and
// counts them in the result. It returns false after activeTimeout.
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
