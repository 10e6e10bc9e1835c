package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/scale"
)

// slopeCommand measures the control overhead as a function of the size of a zone.
type slopeCommand struct {
	points, product, csv, plot string
	settle, over, split        int
	load                       bool
}

func (*slopeCommand) Name() string     { return "slope" }
func (*slopeCommand) Synopsis() string { return "measure the control overhead as a zone grows" }
func (*slopeCommand) Usage() string {
	return `ebonybench slope [-points NODESxRUNNERS,...] [-settle SECONDS] [-over SECONDS] [-split SECONDS] [-load] [-csv FILE] [-plot FILE] [-product FILE]

A point is an availability zone with a number of nodes, which are entry processes,
and of runners, which are engines. For each point, starts the zone as separate
processes, lets it settle for a while, and measures control traffic, CPU time,
memory and platform calls for a period without load. Then measures how long a
configuration and a drain take to reach all processes, and how long it takes after
the kill of a process until others poll its engines. With -split, a network
partition divides the last point's zone into halves for that long, and the time to
recover from it is measured. Prints the points as CSV, and the error of a point
that could not be measured completely.

Example:
  ebonybench slope -points 6x10,45x488 -split 60 -csv slope.csv

Exit codes: 0 done, even if a point could not be measured, 1 a file cannot be
written, 2 wrong usage.

`
}

func (c *slopeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.points, "points", "1x100,6x100,12x100,24x100,45x100,45x10,45x488", "the points to measure, each as nodes and runners, at least 1x2")
	f.StringVar(&c.product, "product", "", "path of the program ebonyscale; if empty, the one in the directory of this program")
	f.StringVar(&c.csv, "csv", "", "also write the points to this file, as CSV")
	f.StringVar(&c.plot, "plot", "", "plot the control traffic of a process over the number of nodes to this file; its extension selects the format")
	f.IntVar(&c.settle, "settle", 15, "seconds from the start of a zone to its measurement")
	f.IntVar(&c.over, "over", 20, "seconds without load over which the costs are measured")
	f.BoolVar(&c.load, "load", false, "send a load to the last point's zone at the end, and kill and partition processes under it; needs 7 nodes")
	f.IntVar(&c.split, "split", 0, "seconds for which a network partition divides the last point's zone into halves, which needs 3 nodes; 0 for no partition")
}

func (c *slopeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	self, err := os.Executable()
	if err != nil {
		return fail("slope", err)
	}
	if c.product == "" {
		c.product = filepath.Join(filepath.Dir(self), "ebonyscale")
	}
	var points []scale.Point
	words := strings.Split(c.points, ",")
	for i, word := range words {
		left, right, _ := strings.Cut(word, "x")
		nodes, err1 := strconv.Atoi(left)
		runners, err2 := strconv.Atoi(right)
		if err1 != nil || err2 != nil || nodes < 1 || runners < 2 {
			fmt.Fprintf(os.Stderr, "slope: %q must be nodes and runners, such as 45x488\n", word)
			return subcommands.ExitUsageError
		}
		o := scale.Options{
			Product: c.product, Bench: self, Nodes: nodes, Engines: runners,
			Settle: time.Duration(c.settle) * time.Second, Window: time.Duration(c.over) * time.Second,
		}
		if i == len(words)-1 {
			o.PartitionFor = time.Duration(c.split) * time.Second
			o.Load = c.load
		}
		point, err := scale.Measure(ctx, o)
		if err != nil {
			fmt.Fprintf(os.Stderr, "slope: %s: %v\n", word, err)
		}
		points = append(points, point)
		if o.Load {
			fmt.Println(point.GoodputText())
		}
	}
	if err := scale.WriteCSV(os.Stdout, points); err != nil {
		return fail("slope", err)
	}
	if c.plot != "" {
		if err := scale.Plot(c.plot, points); err != nil {
			return fail("slope", err)
		}
	}
	if c.csv == "" {
		return subcommands.ExitSuccess
	}
	file, err := os.Create(c.csv)
	if err != nil {
		return fail("slope", err)
	}
	defer file.Close()
	if err := scale.WriteCSV(file, points); err != nil {
		return fail("slope", err)
	}
	return subcommands.ExitSuccess
}
