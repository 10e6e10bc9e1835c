package scale

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"ebonyscale.example/ebonyscale/internal/base/timer"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// Phase is a period of the load for which goodput is reported. From and To are
// relative to the start of the load.
type Phase struct {
	Name     string
	From, To time.Duration
}

const (
	// phaseLength is the length of most phases of the load.
	phaseLength = 15 * time.Second
	// killCount is how many processes are killed at once.
	killCount = 5
	// loadRate is the requests per second.
	loadRate = 60
)

// phases are the phases of the load, in order. injectFaults depends on their
// order.
var phases = []Phase{
	{"before", 0, phaseLength},
	{"five killed", phaseLength, phaseLength + 5*time.Second},
	{"after", phaseLength + 5*time.Second, 2 * phaseLength},
	{"partitioned in halves", 2 * phaseLength, 3 * phaseLength},
	{"healed", 3 * phaseLength, 4 * phaseLength},
}

// measureGoodput sends a load while injectFaults runs, and adds a line to Goodput
// for each phase, with the share of its requests that were served in time.
func (r *run) measureGoodput(ctx context.Context) error {
	files, err := readFiles(r.cluster.Deployment)
	if err != nil {
		return err
	}
	d, err := spec.Parse(files)
	if err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	client := &load.HTTP{}
	for _, n := range r.cluster.Nodes {
		client.Targets = append(client.Targets, n.ClientAddr())
	}
	length := phases[len(phases)-1].To
	trace := load.Mix(d, load.Plan{Seed: 1, Length: length, Rate: loadRate})
	runner := &load.Runner{
		Deployment: d, Client: client, Targets: len(client.Targets),
		Live: func(i int) bool { return r.cluster.Nodes[i].Running() },
	}
	var group sync.WaitGroup
	group.Go(func() { r.injectFaults(ctx) })
	outcomes := runner.Run(ctx, trace).Outcomes
	group.Wait()
	for _, phase := range phases {
		sent, inTime, lost := 0, 0, 0
		for _, o := range outcomes {
			if o.Entry.At < phase.From || o.Entry.At >= phase.To {
				continue
			}
			sent++
			if o.InTime() {
				inTime++
			}
			if o.ConnectionLost || o.Truncated {
				lost++
			}
		}
		r.point.Goodput = append(r.point.Goodput, fmt.Sprintf("%s: %.1f%% of %d in time, %d truncated or lost", phase.Name, 100*float64(inTime)/float64(max(sent, 1)), sent, lost))
	}
	return nil
}

// injectFaults kills killCount processes at once, partitions the zone into halves
// and ends the partition, each at the start of its phase. It stops when ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	if !timer.Wait(ctx, phases[1].From) {
		return
	}
	for i := range killCount {
		// measureFailover has killed the last process.
		_ = r.cluster.Signal(len(r.cluster.Nodes)-2-i, syscall.SIGKILL)
	}
	if !timer.Wait(ctx, phases[3].From-phases[1].From) {
		return
	}
	_ = r.partition(true)
	// The partition ends also if the run is canceled.
	timer.Wait(ctx, phases[4].From-phases[3].From)
	_ = r.partition(false)
}

// GoodputText returns the lines of Goodput as one text.
func (p Point) GoodputText() string { return strings.Join(p.Goodput, "\n") }
