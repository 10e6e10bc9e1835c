package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/bound"
)

// boundCommand computes upper bounds of what can be served on the days of a site
// file.
type boundCommand struct{}

func (*boundCommand) Name() string { return "bound" }
func (*boundCommand) Synopsis() string {
	return "compute upper bounds of what can be served on the days of a site file"
}

func (*boundCommand) Usage() string {
	return `ebonybench bound SITE...

A site file of the users describes a deployment and several days of traffic for
it. Each request is worth a credit, which depends on whether it is served on time
or late. Prints a line for each day, with the columns

  mark     the day's mark in the file, for comparison with the bound
  load     the prefill work over the prefill capacity of all engines
  peak     the highest load in a window of two seconds
  whole    the largest share of the whole day's possible credit that can be
           earned
  windows  the same for the two worst windows
  bound    the highest score of a planner that knows the day in advance, without
           costs and faults other than bursts. The score is the sum of such
           shares, weighted by the goal in the file.
  stepped  an estimate of the score for engines on which each chunk of a prompt
           waits for a decode step
  apart    the same as stepped, without any prefill on decode engines

Example:
  ebonybench bound malabar-diag.toml

Exit codes: 0 printed, 1 a file cannot be read, 2 wrong usage.

`
}

func (*boundCommand) SetFlags(*flag.FlagSet) {}

func (*boundCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Print((*boundCommand)(nil).Usage())
		return subcommands.ExitUsageError
	}
	for _, path := range f.Args() {
		site, err := bound.Read(path)
		if err != nil {
			return fail("bound", err)
		}
		fmt.Printf("%-28s %6s %6s %6s %7s %7s %7s %7s %7s\n", site.Name, "mark", "load", "peak", "whole", "windows", "bound", "stepped", "apart")
		for _, d := range site.Days {
			r, stepped, apart := site.Bound(d, bound.Overlapped), site.Bound(d, bound.Stepped), site.Bound(d, bound.Disaggregated)
			fmt.Printf("%-28s %6.3f %6.2f %6.2f %7.3f %7.3f %7.3f %7.3f %7.3f\n", d.Name, d.One, r.Load, r.Peak, r.WholeDay, r.WorstWindows, r.Worth, stepped.Worth, apart.Worth)
		}
	}
	return subcommands.ExitSuccess
}
