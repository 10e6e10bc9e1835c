package policy

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"ebonyscale.example/ebonyscale/internal/bench/load"
	"ebonyscale.example/ebonyscale/internal/bench/world"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/plan/roles"
	"ebonyscale.example/ebonyscale/internal/route/place"
	"ebonyscale.example/ebonyscale/internal/stand/model"
	"ebonyscale.example/ebonyscale/internal/stand/scene"
)

// Policy is a policy to place requests on engines and to assign roles to engines.
type Policy struct {
	Name  string
	Place place.Policy
	Roles roles.Policy
	// Disaggregated starts with prefill and decode engines, in proportion to the
	// trace's work, instead of mixed engines.
	Disaggregated bool
	// Goodput and RoleChange replace the deployment's weights of these names if
	// Goodput is over 0.
	Goodput, RoleChange float64
}

// Policies has the policies of the table: the product's own with the weights of
// the deployments Malabar and Quetzal, starting with mixed or with disaggregated
// engines; other policies to place requests; and the baselines, which start
// disaggregated.
var Policies = []Policy{
	{Name: "Malabar", Goodput: 1, RoleChange: 0.2},
	{Name: "Quetzal", Goodput: 0.5, RoleChange: 1},
	{Name: "MalabarApart", Disaggregated: true, Goodput: 1, RoleChange: 0.2},
	{Name: "QuetzalApart", Disaggregated: true, Goodput: 0.5, RoleChange: 1},
	{Name: "LeastLoaded", Place: place.LeastLoaded},
	{Name: "PrefixFirst", Place: place.PrefixFirst},
	{Name: "FixedRoundRobin", Place: place.RoundRobin, Roles: roles.Never, Disaggregated: true},
	{Name: "FixedLeastLoaded", Place: place.LeastLoaded, Roles: roles.Never, Disaggregated: true},
	{Name: "Threshold", Place: place.LeastLoaded, Roles: roles.Threshold, Disaggregated: true},
}

// Case has the parameters of a run.
type Case struct {
	// Example is the name of the example deployment.
	Example string
	// Vendor is the vendor of every engine, if set.
	Vendor string
	Trace  Trace
	// Entries, if not nil, are the requests to send, instead of generated ones.
	Entries []load.Entry
	Policy  Policy
	Seed    uint64
	Length  time.Duration
}

// Score is the result of a run.
type Score struct {
	Policy, Trace string
	Row           load.Row
	// Goodput is the share of requests with a complete and correct response
	// within their deadlines.
	Goodput float64
	// Bound is the upper bound of Goodput that Clairvoyant computes.
	Bound       float64
	RoleChanges int
	// OutOfServiceTime is the total time that engines were out of service for
	// orders.
	OutOfServiceTime time.Duration
	// WastedTokens counts tokens that were decoded but not delivered in a
	// complete response.
	WastedTokens int64
	// Accounts has the goodput by account.
	Accounts map[string]float64
	// Timeline has the goodput of each tenth of the trace, by the times at which
	// requests are sent.
	Timeline []float64
}

// prepare returns the simulated fleet of a case, its requests, and the speeds of
// its engines.
func (c Case) prepare() (*world.World, []load.Entry, Fleet, error) {
	w := &world.World{Seed: c.Seed, Example: c.Example, SkipConfigChecks: true, Place: c.Policy.Place, Roles: c.Policy.Roles}
	var fleet Fleet
	deployment, engines, err := world.Preview(c.Example, c.Vendor)
	if err != nil {
		return nil, nil, fleet, err
	}
	fleet = FleetOf(engines)
	entries := c.Entries
	if entries == nil {
		entries = c.Trace.Generate(deployment, fleet, c.Seed, c.Length)
	}
	w.Trace = entries
	w.Vendor = c.Vendor
	w.Edit = func(files []spec.File) []spec.File { return c.editFiles(files, deployment, entries, fleet) }
	return w, entries, fleet, nil
}

// editFiles sets the policy's weights and initial roles in the deployment's
// files.
func (c Case) editFiles(files []spec.File, d *spec.Deployment, entries []load.Entry, f Fleet) []spec.File {
	prefill := 0
	if c.Policy.Disaggregated {
		prefill = prefillEngines(entries, f)
	}
	var edited []spec.File
	for _, file := range files {
		text := string(file.Data)
		if c.Policy.Goodput > 0 {
			text = strings.Replace(text, fmt.Sprintf("GoodputWeight = %v\n", d.GoodputWeight), fmt.Sprintf("GoodputWeight = %v\n", c.Policy.Goodput), 1)
			text = strings.Replace(text, fmt.Sprintf("RoleChangeWeight = %v\n", d.RoleChangeWeight), fmt.Sprintf("RoleChangeWeight = %v\n", c.Policy.RoleChange), 1)
		}
		if c.Policy.Disaggregated {
			text = assignRoles(text, prefill, len(f.Engines))
		}
		edited = append(edited, spec.File{Name: file.Name, Data: []byte(text)})
	}
	return edited
}

// prefillEngines returns the number of prefill engines in proportion to the
// prefill work of a trace. At least one engine prefills and one decodes.
func prefillEngines(entries []load.Entry, f Fleet) int {
	var prompts, outputs float64
	for _, e := range entries {
		prompts += f.MinSeconds(e.PromptTokens, 0)
		outputs += f.MinSeconds(0, e.OutputTokens)
	}
	n := len(f.Engines)
	share := prompts / max(prompts+outputs, 1e-9)
	return min(max(int(share*float64(n)+0.5), 1), n-1)
}

// assignRoles replaces the role Mixed by Prefill and Decode in a deployment file.
// The prefill engines are spread evenly over the order of the file, so that each
// zone has both.
func assignRoles(text string, prefill, engines int) string {
	total, assigned := 0, 0
	var out strings.Builder
	for {
		before, after, ok := strings.Cut(text, "Role = Mixed")
		out.WriteString(before)
		if !ok {
			return out.String()
		}
		total++
		role := "Decode"
		if assigned*engines < total*prefill {
			role = "Prefill"
			assigned++
		}
		out.WriteString("Role = " + role)
		text = after
	}
}

// Run runs a case. It must be called in a bubble of testing/synctest.
func (c Case) Run(ctx context.Context) (Score, error) {
	w, entries, fleet, err := c.prepare()
	if err != nil {
		return Score{}, err
	}
	schedule := world.Schedule{Events: []world.Event{{At: c.Length / 2, Kind: world.Custom, For: c.Length / 2}}}
	w.OnCustom = c.injectFault
	if _, err := w.Run(ctx, schedule); err != nil {
		return Score{}, err
	}
	return c.score(w, entries, fleet), nil
}

// injectFault injects the trace's fault into the stand-ins.
func (c Case) injectFault(s *scene.Scene) {
	n := 0
	for _, b := range s.Deployment.Servers {
		if !b.Engine() {
			continue
		}
		e := s.Engines[b.Name]
		n++
		switch c.Trace.Fault {
		case SlowVendor:
			if e.Vendor == model.Vendors["Heron"] || c.Vendor != "" && n%3 == 0 {
				e.SetFaults(model.Faults{Slow: 3})
			}
		case Withdrawn:
			if n <= 2 {
				e.SetLeaving(true)
			}
		case LateReports:
			e.SetFaults(model.Faults{Late: 10 * time.Second})
		case LostEvents:
			e.SetFaults(model.Faults{LoseEvents: true})
		}
	}
}

// timelineParts is the number of parts of a score's timeline.
const timelineParts = 10

// score computes the score of a run.
func (c Case) score(w *world.World, entries []load.Entry, fleet Fleet) Score {
	result := load.Result{Outcomes: w.Outcomes()}
	s := Score{Policy: c.Policy.Name, Trace: c.Trace.Name, Row: result.All(), Bound: Clairvoyant(entries, fleet), Accounts: map[string]float64{}}
	s.Goodput = float64(s.Row.InTime) / float64(max(s.Row.Requests, 1))
	sent, inTime := map[string]int{}, map[string]int{}
	var parts [timelineParts][2]int
	delivered := int64(0)
	for _, o := range result.Outcomes {
		part := min(int(timelineParts*o.Entry.At/max(c.Length, 1)), timelineParts-1)
		sent[o.Entry.Account]++
		parts[part][1]++
		if o.InTime() {
			inTime[o.Entry.Account]++
			parts[part][0]++
		}
		if o.Complete {
			delivered += int64(o.Entry.OutputTokens)
		}
	}
	for account, n := range sent {
		s.Accounts[account] = float64(inTime[account]) / float64(n)
	}
	for _, p := range parts {
		s.Timeline = append(s.Timeline, float64(p[0])/float64(max(p[1], 1)))
	}
	for _, e := range w.Scene.Engines {
		record := e.Recorded()
		s.RoleChanges += len(record.Orders)
		s.OutOfServiceTime += record.OutOfService
		s.WastedTokens += record.Tokens
	}
	s.WastedTokens -= delivered
	return s
}

// worstAccount returns the lowest goodput of an account.
func (s Score) worstAccount() float64 {
	lowest := 1.0
	for _, g := range s.Accounts {
		lowest = min(lowest, g)
	}
	return lowest
}

// Table formats scores as a table. Times to the first token and gaps between
// tokens are in milliseconds, time out of service in seconds.
func Table(scores []Score) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Trace\tPolicy\tRequests\tGoodput\tBound\tOfBound\tChanges\tEngineS\tRefused\tFirst50\tFirst95\tFirst99\tGap50\tGap95\tGap99\tWorstAccount\tWasted\t")
	for _, s := range scores {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%d\t%.0f\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.3f\t%d\t\n", s.Trace, s.Policy, s.Row.Requests, s.Goodput, s.Bound,
			s.Goodput/max(s.Bound, 1e-9), s.RoleChanges, s.OutOfServiceTime.Seconds(), s.Row.NotRun,
			s.Row.First.P50.Milliseconds(), s.Row.First.P95.Milliseconds(), s.Row.First.P99.Milliseconds(),
			s.Row.Gap.P50.Seconds()*1000, s.Row.Gap.P95.Seconds()*1000, s.Row.Gap.P99.Seconds()*1000, s.worstAccount(), s.WastedTokens)
	}
	w.Flush()
	return text.String()
}
