package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// loadCommand sends requests as clients do.
type loadCommand struct {
	deployment, targets, trace, writeTrace, output string
	seconds                                        int
	rate, plain                                    float64
	seed                                           uint64
	base                                           int
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send clients' requests and measure the responses" }
func (*loadCommand) Usage() string {
	return `ebonybench load -deployment DIR -targets ADDRESS,... [-trace FILE] [-seconds N] [-rate N] [-seed N] [-plain SHARE] [-base N] [-write-trace FILE] [-output Text|Json]

Sends requests to the targets in turn and prints a table of the responses. The
requests are those of a trace in a CSV file, or a mix that is generated from a
seed. The load is open-loop: each request is sent at its time, whether or not
earlier ones have got a response. Idempotency keys contain the number of the
request. -base is added to these numbers, so that a second run against the same
stand-ins (see ebonybench stand) does not repeat the keys of the first one.

Example:
  ebonybench load -deployment examples/malabar -targets 127.0.20.200:8180,127.0.20.201:8180 -seconds 30

Exit codes: 0 no response was truncated or mismatched, 1 one was, or the load
could not run, 2 wrong usage or a fault in the trace.

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "", "the directory of the deployment")
	f.StringVar(&c.targets, "targets", "", "the client addresses of the entry VMs, separated by commas")
	f.StringVar(&c.trace, "trace", "", "the CSV file of a trace; if empty, a mix is generated")
	f.StringVar(&c.writeTrace, "write-trace", "", "write the trace to this file and send nothing")
	f.StringVar(&c.output, "output", "Text", "the form of the output: Text or Json")
	f.IntVar(&c.seconds, "seconds", 30, "the length of a mix in seconds")
	f.Float64Var(&c.rate, "rate", 24, "the requests per second of a mix")
	f.Float64Var(&c.plain, "plain", 0.3, "the share of calls of plain services in a mix, from 0 to 1")
	f.Uint64Var(&c.seed, "seed", 1, "the seed of a mix")
	f.IntVar(&c.base, "base", 0, "added to the requests' numbers")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	usage := func(err error) subcommands.ExitStatus {
		fmt.Fprintln(os.Stderr, "load:", err)
		return subcommands.ExitUsageError
	}
	_, deployment, err := readDeployment(c.deployment)
	if err != nil {
		return usage(err)
	}
	trace, err := c.read(deployment)
	if err != nil {
		return usage(err)
	}
	if c.writeTrace != "" {
		return c.write(trace)
	}
	targets, err := parseTargets(c.targets)
	if err != nil {
		return usage(err)
	}
	runner := &load.Runner{Deployment: deployment, Client: &load.HTTP{Targets: targets}, Targets: len(targets), Base: c.base}
	result := runner.Run(ctx, trace)
	rows := result.Rows()
	if c.output == "Json" {
		text, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return fail("load", err)
		}
		fmt.Println(string(text))
	} else {
		fmt.Print(load.Table(rows))
	}
	if all := result.All(); all.Cut > 0 || all.Crossed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// read returns the trace of the file or, without a file, a mix generated from the
// seed.
func (c *loadCommand) read(d *spec.Deployment) ([]load.Entry, error) {
	if c.trace == "" {
		if c.seconds <= 0 || c.rate <= 0 {
			return nil, fmt.Errorf("-seconds and -rate must be over 0")
		}
		return load.Mix(d, load.Plan{Seed: c.seed, Length: time.Duration(c.seconds) * time.Second, Rate: c.rate, PlainShare: c.plain}), nil
	}
	file, err := os.Open(c.trace)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	defer file.Close()
	trace, err := load.ReadTrace(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.trace, err)
	}
	return trace, nil
}

// write writes the trace to the file of -write-trace.
func (c *loadCommand) write(trace []load.Entry) subcommands.ExitStatus {
	file, err := os.Create(c.writeTrace)
	if err != nil {
		return fail("load", err)
	}
	defer file.Close()
	if err := load.WriteTrace(file, trace); err != nil {
		return fail("load", err)
	}
	return subcommands.ExitSuccess
}

// parseTargets parses a comma-separated list of addresses, which must be on
// loopback.
func parseTargets(text string) ([]netip.AddrPort, error) {
	var targets []netip.AddrPort
	for _, word := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(word))
		if err != nil {
			return nil, fmt.Errorf("-targets must be IP numbers and ports: %w", err)
		}
		if !address.Addr().IsLoopback() {
			return nil, fmt.Errorf("-targets must be on loopback; %s is not", address)
		}
		targets = append(targets, address)
	}
	return targets, nil
}
