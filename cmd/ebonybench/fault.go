package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/bench/chaos"
	"ebonyscale.example/ebonyscale/internal/bench/procs"
)

// faultCommand injects faults into separate processes under load.
type faultCommand struct {
	deployment, product string
	seconds             int
	rate                float64
	seed                uint64
}

func (*faultCommand) Name() string     { return "fault" }
func (*faultCommand) Synopsis() string { return "inject faults into separate processes under load" }

func (*faultCommand) Usage() string {
	return `ebonybench fault [-seconds N] [-rate N] [-seed N] [-deployment DIR] [-product FILE]

Starts the stand-ins and two processes in each availability zone on loopback,
sends a load, and meanwhile kills, pauses, partitions and stops processes and
changes the roles of engines. Then checks the records of the clients and the
stand-ins for violations of the system's promises. For faults in virtual time
there is a test: go test ./internal/bench/fault.

Example:
  ebonybench fault -seconds 120

Exit codes: 0 no violation, 1 violations, or the experiment could not run, 2
wrong usage.

`
}

func (c *faultCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "examples/malabar", "the directory of the deployment")
	f.StringVar(&c.product, "product", "", "path of the program ebonyscale; if empty, the one in the directory of this program")
	f.IntVar(&c.seconds, "seconds", 60, "seconds for which requests are sent, at least 30")
	f.Float64Var(&c.rate, "rate", 20, "requests per second")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the choice of processes and of the mix of requests")
}

func (c *faultCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.seconds < 30 || c.rate <= 0 {
		fmt.Fprintln(os.Stderr, "fault: -seconds must be at least 30 and -rate over 0")
		return subcommands.ExitUsageError
	}
	_, deployment, err := readDeployment(c.deployment)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fault:", err)
		return subcommands.ExitUsageError
	}
	cluster, err := smallCluster(c.product, c.deployment)
	if err != nil {
		return fail("fault", err)
	}
	defer os.RemoveAll(cluster.Directory)
	defer cluster.Close()
	if err := cluster.Start(ctx); err != nil {
		return fail("fault", err)
	}
	report, err := chaos.Run(ctx, chaos.Options{
		Cluster: cluster, Deployment: deployment, Length: time.Duration(c.seconds) * time.Second, Rate: c.rate, Seed: c.seed,
	})
	if err != nil {
		return fail("fault", err)
	}
	fmt.Print(report)
	if len(report.Violations) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// smallCluster returns a cluster of separate processes for the deployment in the
// directory. It has the size of the example deployments: two entry processes in
// each availability zone that has engines. The caller starts the cluster, and
// closes it and removes its Directory at the end.
func smallCluster(product, directory string) (*procs.Cluster, error) {
	_, deployment, err := readDeployment(directory)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	if product == "" {
		product = filepath.Join(filepath.Dir(self), "ebonyscale")
	}
	temporary, err := os.MkdirTemp("", "ebonybench")
	if err != nil {
		return nil, fmt.Errorf("make a directory: %w", err)
	}
	network := deployment.Servers[0].Address.Addr().As4()[2]
	c := &procs.Cluster{
		Product: product, Bench: self, Directory: temporary, Deployment: directory, Name: deployment.Name,
		Platform: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, network, 250}), 7000),
		Settings: "[Experiment]\nCuts = Yes\n",
	}
	seen := map[string]bool{}
	for _, b := range deployment.Servers {
		if !b.Engine() || seen[b.AvailabilityZone] {
			continue
		}
		seen[b.AvailabilityZone] = true
		for range 2 {
			host := byte(200 + len(c.Nodes))
			c.Nodes = append(c.Nodes, &procs.Node{
				Name: fmt.Sprintf("entry-%d", len(c.Nodes)+1), Zone: b.AvailabilityZone, Addr: netip.AddrFrom4([4]byte{127, 0, network, host}),
			})
		}
	}
	return c, nil
}
