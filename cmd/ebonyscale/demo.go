package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/demo"
)

// demoCommand runs the whole system in this process under load.
type demoCommand struct {
	deployment string
	seconds    int
	rate       float64
	seed       uint64
	output     outputFlag
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system in this process, with a load" }
func (*demoCommand) Usage() string {
	return `ebonyscale demo [-deployment Malabar|Quetzal] [-seconds N] [-rate N] [-seed N] [-output Text|Json]

Starts stand-ins and several nodes, which are entry processes, in this process on
loopback, applies the example deployment, sends a mix of requests as its clients
do, and half-way through drains one engine and changes the role of another. Prints
the outcomes of the requests and whether the system's promises were kept.

Example:
  ebonyscale demo -deployment Quetzal -seconds 20

Exit codes: 0 all promises were kept, 1 one was broken or the demo could not run,
2 wrong usage.

`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "Malabar", "the example deployment: Malabar or Quetzal")
	f.IntVar(&c.seconds, "seconds", 20, "seconds for which requests are sent")
	f.Float64Var(&c.rate, "rate", demo.DefaultRate, "requests per second")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the mix of requests")
	c.output.register(f)
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.seconds < 1 || c.rate <= 0 {
		fmt.Fprintln(os.Stderr, "demo: -seconds and -rate must be over 0")
		return subcommands.ExitUsageError
	}
	report, err := demo.Run(ctx, demo.Options{
		Deployment: c.deployment, Length: time.Duration(c.seconds) * time.Second, Progress: os.Stderr, Seed: c.seed, Rate: c.rate,
	})
	if err != nil {
		return fail("demo", err)
	}
	c.output.print(report.Summary(), report.String())
	if report.Broken() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
