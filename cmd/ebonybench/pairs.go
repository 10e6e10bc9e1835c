package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/pairs"
)

// pairsCommand writes test days in which each pair of kinds of events occurs
// together.
type pairsCommand struct {
	out    string
	seed   uint64
	joined bool
}

func (*pairsCommand) Name() string { return "pairs" }
func (*pairsCommand) Synopsis() string {
	return "write test days in which each pair of kinds of events occurs together"
}

func (*pairsCommand) Usage() string {
	return `ebonybench pairs -out DIR [-seed N] [-joined]

Writes about 40 test days, each as a TOML file for the users' bench, which runs
them one by one. The events of a day are faults, bursts of requests and planned
changes. The days cover all pairs of kinds of events: for each pair, also of a
kind with itself, two such events begin within 1.5 seconds on some day.

Example:
  ebonybench pairs -out /tmp/days -seed 7

Exit codes: 0 written, 1 a file cannot be written, 2 wrong usage.

`
}

func (c *pairsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "the directory to write to, which must exist")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the days")
	f.BoolVar(&c.joined, "joined", false, "include the kinds of events that only some deployments support")
}

func (c *pairsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" || f.NArg() > 0 {
		fmt.Print(c.Usage())
		return subcommands.ExitUsageError
	}
	kinds, err := pairs.Kinds(c.joined)
	if err != nil {
		return fail("pairs", err)
	}
	days := pairs.Days(kinds, c.seed)
	for _, d := range days {
		if err := os.WriteFile(filepath.Join(c.out, d.Name+".toml"), d.Text(), 0o644); err != nil {
			return fail("pairs", err)
		}
	}
	fmt.Printf("%d days with %d kinds\n", len(days), len(kinds))
	return subcommands.ExitSuccess
}
