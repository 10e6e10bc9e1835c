package fault_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/bench/judge"
	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/bench/world"
	"ebonyscale.example/ebonyscale/internal/route/retry"
)

var (
	seeds = flag.Int("seeds", 6, "how many random schedules to run")
	from  = flag.Uint64("from", 1, "the first seed")
)

// run runs one schedule in virtual time.
func run(t *testing.T, w *world.World, s world.Schedule) []judge.Violation {
	var violations []judge.Violation
	synctest.Test(t, func(t *testing.T) {
		var err error
		violations, err = w.Run(t.Context(), s)
		require.NoError(t, err)
	})
	return violations
}

// tally counts violations by promise. It is safe for concurrent use.
type tally struct {
	mu    sync.Mutex
	runs  int
	count map[judge.Promise]int
	// details has the run and the description of each violation.
	details map[judge.Promise][]string
	// complete and total count the requests with a complete response and all
	// requests.
	complete int
	total    int
	// injected counts the runs of TestFaultSteps whose fault was injected.
	injected int
}

// add counts the violations and outcomes of a run.
func (c *tally) add(name string, w *world.World, violations []judge.Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == nil {
		c.count, c.details = map[judge.Promise]int{}, map[judge.Promise][]string{}
	}
	c.runs++
	for _, o := range w.Outcomes() {
		c.total++
		if o.Complete {
			c.complete++
		}
	}
	for _, v := range violations {
		c.count[v.Promise]++
		c.details[v.Promise] = append(c.details[v.Promise], name+" "+v.Detail)
	}
}

// print prints a table of the promises, with the first violations of each.
func (c *tally) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROMISE\tSCHEDULES\tVIOLATIONS\tWHERE")
	for _, p := range judge.Promises {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", p, c.runs, c.count[p], strings.Join(c.details[p][:min(len(c.details[p]), 6)], "; "))
	}
	w.Flush()
	fmt.Printf("requests %d, whole answers %d\n", c.total, c.complete)
}

// TestFaultRandom checks that random schedules of faults break no promise. Even
// seeds run the example Quetzal, odd ones Malabar.
func TestFaultRandom(t *testing.T) {
	var c tally
	t.Run("seeds", func(t *testing.T) {
		for seed := *from; seed < *from+uint64(*seeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := &world.World{Seed: seed}
				if seed%2 == 0 {
					w.Example = "Quetzal"
					w.NodesPerZone = 2
				}
				violations := run(t, w, world.Random(seed))
				c.add(fmt.Sprintf("seed %d", seed), w, violations)
				assert.Empty(t, violations)
			})
		}
	})
	if testing.Verbose() {
		c.print()
	}
}

// onEach returns events that inject a fault for 12 s into ten engines or servers,
// at 1 s and again at 14 s.
func onEach(kind world.Kind) []world.Event {
	var events []world.Event
	for pick := range 10 {
		for _, at := range []time.Duration{time.Second, 14 * time.Second} {
			events = append(events, world.Event{At: at, Kind: kind, Pick: pick, For: 12 * time.Second})
		}
	}
	return events
}

// TestFaultVariants checks the checkers: for each variant of the system, which is
// broken on purpose, they must find violations of the promise that covers its
// defect. The correct system must pass with the same schedule.
func TestFaultVariants(t *testing.T) {
	changes := []world.Event{{At: time.Second, Kind: world.ChangeRole, Pick: 7}}
	cases := []struct {
		variant    world.Variant
		violated   judge.Promise
		rate       float64 // requests per second, 0 for the default
		events     []world.Event
		callFaults []world.CallFault
	}{
		{world.FenceNotSent, judge.NoEffectWithoutAuthority, 0, changes, []world.CallFault{{Operation: "Order ", Kind: world.PauseLong}}},
		{world.NoMargin, judge.NoEffectWithoutAuthority, 0, []world.Event{{At: time.Second, Kind: world.ChangeRole, Pick: 9}}, []world.CallFault{{Operation: "Order ", Kind: world.PauseLong}}},
		{world.RetryAfterSend, judge.RunsAtMostOnce, 0, onEach(world.PlainLose), nil},
		{world.StageMisjudged, judge.RunsAtMostOnce, 0, onEach(world.PlainLose), nil},
		{world.UnknownAsNotRun, judge.NotRunIsTrue, 0, onEach(world.PlainLose), nil},
		{world.NoVersionCheck, judge.ConfigNeverReverts, 0, []world.Event{{At: time.Second, Kind: world.CompetingApplies, Pick: 7}, {At: 9 * time.Second, Kind: world.CompetingApplies, Pick: 8}}, nil},
		{world.DrainIgnored, judge.NoWorkAfterLeaving, 0, []world.Event{{At: time.Second, Kind: world.VMLeaves, For: 8 * time.Second}}, nil},
		{world.IdentityUnchecked, judge.WholeAnswerToItsCaller, 12, onEach(world.EngineCross), nil},
		{world.ResumeFromStart, judge.WholeAnswerToItsCaller, 12, onEach(world.EngineCut), nil},
		{world.StopAtOnce, judge.NoCutByPlannedStop, 24, []world.Event{{At: 5 * time.Second, Kind: world.PlannedStop, For: 3 * time.Second}, {At: 12 * time.Second, Kind: world.PlannedStop, Pick: 3, For: 3 * time.Second}}, nil},
		{world.NotEmptied, judge.NoCutByPlannedChange, 40, []world.Event{{At: time.Second, Kind: world.ChangeRole, Pick: 7}, {At: 13 * time.Second, Kind: world.ChangeRole, Pick: 11}}, nil},
		{
			world.OrderForgotten, judge.NoConflictingOrders, 0,
			[]world.Event{{At: time.Second, Kind: world.ChangeRole, Pick: 7}, {At: 10 * time.Second, Kind: world.ChangeRole, Pick: 7 + 70}},
			nil,
		},
		{world.ConfigDeaf, judge.ConfigInForceInTime, 0, changes, nil},
	}
	var mu sync.Mutex
	var lines []string
	t.Run("variants", func(t *testing.T) {
		for _, c := range cases {
			t.Run(c.variant.String(), func(t *testing.T) {
				t.Parallel()
				schedule := func() world.Schedule {
					s := world.Schedule{Events: c.events}
					for _, fault := range c.callFaults {
						s.CallFaults = append(s.CallFaults, &fault)
					}
					return s
				}
				fleet := func(variant world.Variant) *world.World {
					w := &world.World{Seed: 3, Length: 30 * time.Second, Rate: c.rate, Variant: variant}
					if c.variant == world.OrderForgotten {
						w.ChangeDuration = 25 * time.Second
					}
					return w
				}
				assert.Empty(t, run(t, fleet(world.Correct), schedule()), "the correct system")
				found := 0
				for _, v := range run(t, fleet(c.variant), schedule()) {
					if v.Promise == c.violated {
						found++
					}
				}
				assert.Positive(t, found, "%s must be detected by %s", c.variant, c.violated)
				mu.Lock()
				defer mu.Unlock()
				lines = append(lines, fmt.Sprintf("%-18s detected by %-26s %d violations", c.variant, c.violated, found))
			})
		}
	})
	sort.Strings(lines)
	if testing.Verbose() {
		fmt.Println(strings.Join(lines, "\n"))
	}
}

// TestFaultSteps injects each kind of fault at each step of each protocol: at a
// call of that step, before it is sent and after it took effect.
func TestFaultSteps(t *testing.T) {
	var c tally
	t.Run("steps", func(t *testing.T) {
		for i, operation := range world.Operations {
			for _, kind := range world.CallFaultKinds {
				for _, after := range []bool{false, true} {
					if kind == world.LoseAnswer && !after {
						continue
					}
					fault := &world.CallFault{Operation: operation, After: after, Kind: kind, Skip: i % 2}
					t.Run(strings.ReplaceAll(fault.String(), "/", ""), func(t *testing.T) {
						t.Parallel()
						w := &world.World{Seed: uint64(100 + i), Length: 18 * time.Second, Rate: 5}
						violations := run(t, w, world.Schedule{CallFaults: []*world.CallFault{fault}, Events: []world.Event{
							{At: time.Second, Kind: world.ChangeRole, Pick: 7},
							{At: 3 * time.Second, Kind: world.Drain, Pick: 4, For: 2 * time.Second},
							{At: 9 * time.Second, Kind: world.ChangeRole, Pick: 15},
						}})
						c.add(fault.String(), w, violations)
						assert.Empty(t, violations)
						c.countInjected(fault.Injected)
					})
				}
			}
		}
	})
	if testing.Verbose() {
		c.print()
	}
	assert.Greater(t, c.injected, c.runs*8/10, "most faults must be injected: their calls must occur")
}

// countInjected counts a fault at a call if it was injected.
func (c *tally) countInjected(done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.injected++
	}
}

// TestFaultDegraded checks the table in docs/OPERATING.md of what still works
// while the platform or the network of a zone is down.
func TestFaultDegraded(t *testing.T) {
	const rejected, served = 0.0, 1.0
	cases := []struct {
		kind world.Kind
		// models, reads and keyed are the shares of requests to models, reads
		// and keyed requests that get a complete response.
		models, reads, keyed float64
		// zone is set if only requests to the partitioned zone count.
		zone bool
	}{
		{world.PlatformDown, served, served, rejected, false},
		{world.PlatformSilent, served, served, rejected, false},
		{world.PlatformSlow, served, served, rejected, false},
		{world.CutZonePeers, served, served, served, true},
		{world.CutZonePlatform, served, served, rejected, true},
		{world.CutZone, served, served, rejected, true},
	}
	const from, to = 6 * time.Second, 36 * time.Second
	for _, c := range cases {
		t.Run(c.kind.String(), func(t *testing.T) {
			t.Parallel()
			w := &world.World{Seed: 9, Length: 44 * time.Second, Rate: 12, NoRetries: true}
			violations := run(t, w, world.Schedule{Events: []world.Event{{At: from - 2*time.Second, Kind: c.kind, For: to - from + 4*time.Second}}})
			assert.Empty(t, violations)
			complete, sent := map[load.Kind]float64{}, map[load.Kind]float64{}
			for _, o := range w.Outcomes() {
				inZone := w.Hosts[o.Target].Zone() == w.Hosts[0].Zone()
				if o.Entry.At < from || o.Entry.At > to-o.Entry.Deadline/4 || c.zone && !inZone {
					continue
				}
				kind := o.Entry.Kind()
				sent[kind]++
				switch {
				case o.Complete:
					complete[kind]++
				case kind == load.Write:
					assert.Equal(t, retry.NotRun, o.Reported, "%s", o.Reason)
				}
			}
			share := func(kind load.Kind) float64 { return complete[kind] / sent[kind] }
			assert.InDelta(t, c.models, share(load.LongPrompt), 0.05)
			assert.InDelta(t, c.models, share(load.LongOutput), 0.05)
			assert.InDelta(t, c.reads, share(load.Read), 0.05)
			assert.InDelta(t, c.keyed, share(load.Write), 0.05)
		})
	}
}
