package slope

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// Phase is a part of a load.
type Phase struct {
	Name     string
	From, To time.Duration
}

// Lasting of the phases of a load.
const (
	phaseLength = 15 * time.Second
	// killCount is how many processes are killed at once.
	killCount = 5
	// loadRate is the requests per second.
	loadRate = 60
)

// phases are what happens to a zone under load.
var phases = []Phase{
	{"before", 0, phaseLength},
	{"five killed", phaseLength, phaseLength + 5*time.Second},
	{"after", phaseLength + 5*time.Second, 2 * phaseLength},
	{"cut in half", 2 * phaseLength, 3 * phaseLength},
	{"healed", 3 * phaseLength, 4 * phaseLength},
}

// measureGoodput sends a load, kills five processes at once and cuts the zone in half,
// and keeps the part of requests that were answered in time for each phase.
func (r *run) measureGoodput(ctx context.Context) error {
	files, err := readFiles(r.cluster.Deployment)
	if err != nil {
		return err
	}
	d, err := spec.Parse(files)
	if err != nil {
		return fmt.Errorf("deployment: %w", err)
	}
	door := &load.HTTP{}
	for _, n := range r.cluster.Nodes {
		door.Targets = append(door.Targets, n.Callers())
	}
	length := phases[len(phases)-1].To
	trace := load.Mix(d, load.Plan{Seed: 1, Length: length, Rate: loadRate})
	runner := &load.Runner{
		Deployment: d, Door: door, Targets: len(door.Targets),
		Live: func(i int) bool { return r.cluster.Nodes[i].Running() },
	}
	var group sync.WaitGroup
	group.Go(func() { r.injectFaults() })
	outcomes := runner.Run(ctx, trace).Outcomes
	group.Wait()
	for _, phase := range phases {
		asked, inTime, lost := 0, 0, 0
		for _, o := range outcomes {
			if o.Entry.At < phase.From || o.Entry.At >= phase.To {
				continue
			}
			asked++
			if o.InTime() {
				inTime++
			}
			if o.Lost || o.Cut {
				lost++
			}
		}
		r.point.Goodput = append(r.point.Goodput, fmt.Sprintf("%s: %.1f%% of %d in time, %d cut with their process", phase.Name, 100*float64(inTime)/float64(max(asked, 1)), asked, lost))
	}
	return nil
}

// injectFaults kills five processes, cuts the zone in half, and heals it.
func (r *run) injectFaults() {
	time.Sleep(phases[1].From)
	for i := range killCount {
		// The last process was killed before.
		_ = r.cluster.Signal(len(r.cluster.Nodes)-2-i, syscall.SIGKILL)
	}
	time.Sleep(phases[3].From - phases[1].From)
	_ = r.partition(true)
	time.Sleep(phases[4].From - phases[3].From)
	_ = r.partition(false)
}

// GoodputText joins the phases of a point.
func (p Point) GoodputText() string { return strings.Join(p.Goodput, "\n") }
