package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/speed"
)

// settleTime is how long the cluster gets to become steady before the load.
const settleTime = 3 * time.Second

// speedCommand measures the overhead that one process adds to a request.
type speedCommand struct {
	deployment, product      string
	rate                     float64
	seconds, streams, tokens int
	cores                    int
}

func (*speedCommand) Name() string { return "speed" }
func (*speedCommand) Synopsis() string {
	return "measure the overhead that one process adds to a request"
}

func (*speedCommand) Usage() string {
	return `ebonybench speed [-rate N] [-seconds N] [-streams N] [-tokens N] [-cores N] [-deployment DIR] [-product FILE]

Starts stand-ins and one process on loopback. Sends short requests alternately
through the process and directly to the engines, and then long streams through the
process. Prints the latency that the process adds, and its CPU time and memory.

Example:
  ebonybench speed -rate 200 -seconds 15

Exit codes: 0 measured, 1 could not run, 2 wrong usage.

`
}

func (c *speedCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "examples/malabar", "the directory of the deployment")
	f.StringVar(&c.product, "product", "", "path of the program ebonyscale; if empty, the one in the directory of this program")
	f.Float64Var(&c.rate, "rate", 200, "short requests per second through the process")
	f.IntVar(&c.seconds, "seconds", 15, "seconds for which short requests are sent")
	f.IntVar(&c.streams, "streams", 96, "the number of long streams at once")
	f.IntVar(&c.cores, "cores", 0, "cores that the process may use; 0 for all")
	f.IntVar(&c.tokens, "tokens", 8000, "the length of a long stream in tokens")
}

func (c *speedCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, deployment, err := readDeployment(c.deployment)
	if err != nil {
		return fail("speed", err)
	}
	cluster, err := smallCluster(c.product, c.deployment)
	if err != nil {
		return fail("speed", err)
	}
	cluster.Nodes = cluster.Nodes[:1]
	cluster.Stand = "Vendor = Instant\n"
	if c.cores > 0 {
		cluster.Environment = []string{fmt.Sprintf("GOMAXPROCS=%d", c.cores)}
	}
	defer os.RemoveAll(cluster.Directory)
	defer cluster.Close()
	if err := cluster.Start(ctx); err != nil {
		return fail("speed", err)
	}
	if !timer.Wait(ctx, settleTime) {
		return fail("speed", ctx.Err())
	}
	report, err := speed.Run(ctx, speed.Options{
		Cluster: cluster, Deployment: deployment, Rate: c.rate, Length: time.Duration(c.seconds) * time.Second, Streams: c.streams, Tokens: c.tokens,
	})
	if err != nil {
		return fail("speed", err)
	}
	fmt.Print(report)
	return subcommands.ExitSuccess
}
