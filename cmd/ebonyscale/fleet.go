package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/fleet/drain"
	"ebonyscale.example/ebonyscale/internal/fleet/member"
	"ebonyscale.example/ebonyscale/internal/node/trace"
	"ebonyscale.example/ebonyscale/internal/peer/crawl"
	"ebonyscale.example/ebonyscale/internal/peer/wire"
)

// statusCommand shows the processes and engines of the fleet.
type statusCommand struct {
	output outputFlag
	node   nodeFlag
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the processes and engines of the fleet" }
func (*statusCommand) Usage() string {
	return `ebonyscale status -node ADDRESS [-output Text|Json]

Shows the processes that can be found from the one at ADDRESS, with their state,
readiness, version of the configuration in force, connection to the platform,
requests in progress, control traffic and leases; then the engines with their
roles and load; then the VMs and backend servers that are leaving, which get no
new requests.

Example:
  ebonyscale status -node 127.0.0.1:8082

Exit codes: 0 every process responded, 1 some did not, 2 wrong usage.

`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.node.register(f)
}

// processStatus is the status of one process of the fleet.
type processStatus struct {
	Name             string
	AvailabilityZone string
	Address          string
	// Answers is set if the process responded. If not, State is the state that a
	// peer reported.
	Answers         bool
	State           string
	Ready           bool
	ConfigVersion   uint64
	PlatformReached bool
	// Active is the number of requests in progress.
	Active int64
	Leases []string `json:",omitempty"`
	// ControlBytes are the bytes exchanged with peers, with the platform and
	// with engines other than for requests, since the start.
	ControlBytes int64
	// Uptime is in seconds.
	Uptime int64
}

// engineStatus is the newest load report of an engine.
type engineStatus struct {
	Name    string
	Role    string
	Running int
	// QueuedTokens are the prompt tokens that wait for prefill.
	QueuedTokens int
	// AgeMs is the age of the report in milliseconds, -1 if there is none.
	AgeMs int
	// Changing is set while the engine is out of service for an order, such as a
	// change of its role.
	Changing bool
	Models   []string
}

// fleetStatus is the output of the status command.
type fleetStatus struct {
	Processes []processStatus
	Engines   []engineStatus
	Leaving   []string
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.node.client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "status:", err)
		return subcommands.ExitUsageError
	}
	defer client.Close()
	status := describe(crawl.Fleet(ctx, client, c.node.address.AddrPort))
	c.output.print(status, status.String())
	for _, p := range status.Processes {
		if !p.Answers {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// describe merges the responses of the processes. It uses the newest load report of
// each engine.
func describe(fleet []crawl.Process) fleetStatus {
	var s fleetStatus
	engines := map[string]*wire.Load{}
	leaving := map[string]bool{}
	for _, p := range fleet {
		s.Processes = append(s.Processes, describeProcess(p))
		if p.Err != nil {
			continue
		}
		for _, l := range p.Status.Engines {
			if old := engines[l.Engine]; old == nil || l.Sequence > 0 && (old.Sequence == 0 || l.AgeMs < old.AgeMs) {
				if old == nil {
					s.Engines = append(s.Engines, engineStatus{Name: l.Engine})
				}
				engines[l.Engine] = l
			}
		}
		for _, e := range p.Status.Leaves {
			if e.Leaving && !leaving[e.Name] {
				leaving[e.Name] = true
				s.Leaving = append(s.Leaving, fmt.Sprintf("%s (says %s)", e.Name, drain.Source(e.Source)))
			}
		}
	}
	for i := range s.Engines {
		l := engines[s.Engines[i].Name]
		s.Engines[i] = engineStatus{
			Name: l.Engine, Role: spec.Role(l.Role).String(), Running: int(l.Running), QueuedTokens: int(l.QueuedTokens),
			AgeMs: int(l.AgeMs), Changing: l.Flags&1 != 0, Models: l.Models,
		}
		if l.Sequence == 0 {
			s.Engines[i].AgeMs = -1
		}
	}
	return s
}

// describeProcess converts the status of a process.
func describeProcess(p crawl.Process) processStatus {
	line := processStatus{Name: p.Name, AvailabilityZone: p.Zone, Address: p.Address.String(), State: p.State.String()}
	if p.Err != nil {
		return line
	}
	line.Answers, line.State = true, member.Live.String()
	line.Ready, line.ConfigVersion, line.PlatformReached = p.Status.Ready, p.Status.ConfigVersion, p.Status.PlatformReached
	for _, l := range p.Status.Leases {
		if l.LeftMs > 0 {
			line.Leases = append(line.Leases, fmt.Sprintf("%s fence %d", l.Name, l.Fence))
		}
	}
	for _, m := range p.Status.Meters {
		switch m.Name {
		case "Active":
			line.Active = int64(m.Value)
		case "PeerBytesIn", "PeerBytesOut", "PlatformBytes", "EngineControlBytes":
			line.ControlBytes += int64(m.Value)
		case "UptimeSeconds":
			line.Uptime = int64(m.Value)
		}
	}
	return line
}

// String formats the status.
func (s fleetStatus) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tZONE\tADDRESS\tSTATE\tREADY\tCONFIG\tPLATFORM\tACTIVE\tCONTROL B/S\tLEASES")
	for _, p := range s.Processes {
		if !p.Answers {
			fmt.Fprintf(w, "%s\t%s\t%s\tno answer (%s)\n", p.Name, p.AvailabilityZone, p.Address, p.State)
			continue
		}
		rate := p.ControlBytes / max(p.Uptime, 1)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n", p.Name, p.AvailabilityZone, p.Address, p.State, yesNo(p.Ready),
			p.ConfigVersion, yesNo(p.PlatformReached), p.Active, rate, strings.Join(p.Leases, ", "))
	}
	fmt.Fprintln(w, "\nENGINE\tROLE\tRUNNING\tQUEUED TOKENS\tAGE\tCHANGING\tMODELS")
	for _, e := range s.Engines {
		age := fmt.Sprintf("%dms", e.AgeMs)
		if e.AgeMs < 0 {
			age = "never read"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", e.Name, e.Role, e.Running, e.QueuedTokens, age, yesNo(e.Changing), strings.Join(e.Models, ", "))
	}
	w.Flush()
	for _, l := range s.Leaving {
		fmt.Fprintf(&text, "\nleaving: %s", l)
	}
	if len(s.Leaving) > 0 {
		text.WriteString("\n")
	}
	return text.String()
}

func yesNo(b bool) string {
	if b {
		return "Yes"
	}
	return "No"
}

// drainCommand marks a VM or a backend server as leaving, so that it gets no new
// requests, or undoes that.
type drainCommand struct {
	undo   bool
	output outputFlag
	node   nodeFlag
}

func (c *drainCommand) Name() string {
	if c.undo {
		return "undrain"
	}
	return "drain"
}

func (c *drainCommand) Synopsis() string {
	if c.undo {
		return "send new requests to a VM or a backend server again"
	}
	return "stop sending new requests to a VM or a backend server"
}

func (c *drainCommand) Usage() string {
	return fmt.Sprintf(`ebonyscale %s -node ADDRESS [-output Text|Json] NAME

A VM or backend server gets no new requests from drain until undrain. Requests in
progress are completed. NAME is a backend server, a backend VM or an entry VM. The
process at ADDRESS applies the change at once, spreads it among the other
processes, and records it in the platform as soon as that responds.

Example:
  ebonyscale %s -node 127.0.0.1:8082 verdict-llm-04

Exit codes: 0 done, 1 the process cannot be reached, 2 wrong usage.

`, c.Name(), c.Name())
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.node.register(f)
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.node.client()
	if err != nil || f.Arg(0) == "" {
		fmt.Fprintf(os.Stderr, "%s: give -node and a name\n", c.Name())
		return subcommands.ExitUsageError
	}
	defer client.Close()
	response, err := client.Drain(ctx, c.node.address.AddrPort, &wire.DrainQuery{Name: f.Arg(0), Leaving: !c.undo})
	if err != nil {
		return fail(c.Name(), err)
	}
	text := fmt.Sprintf("%s: %s\n", c.Name(), f.Arg(0))
	if !response.Recorded {
		text += "the platform does not respond; the change spreads among the processes and is recorded later\n"
	}
	c.output.print(response, text)
	return subcommands.ExitSuccess
}

// timelineCommand merges the event timelines of the processes.
type timelineCommand struct {
	output outputFlag
	node   nodeFlag
	filter trace.Filter
	kind   string
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "show the events of all processes in causal order" }

func (*timelineCommand) Usage() string {
	return `ebonyscale timeline -node ADDRESS [-request ID] [-engine NAME] [-process NAME] [-kind KIND] [-limit N] [-output Text|Json]

Reads the event timeline of every process that can be reached and merges them in
causal order: an event comes before those that it caused.

Example:
  ebonyscale timeline -node 127.0.0.1:8082 -kind ConfigInForce

Exit codes: 0 done, 1 the process cannot be reached, 2 wrong usage.

`
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.node.register(f)
	f.StringVar(&c.filter.Request, "request", "", "only events of this request")
	f.StringVar(&c.filter.Engine, "engine", "", "only events of this backend server")
	f.StringVar(&c.filter.Process, "process", "", "only events of this process")
	f.StringVar(&c.kind, "kind", "", "only events of this kind")
	f.IntVar(&c.filter.Limit, "limit", 200, "show only this many events, the newest ones; 0 for all")
}

func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.node.client()
	if err != nil || c.filter.Limit < 0 {
		fmt.Fprintln(os.Stderr, "timeline: give -node, and a -limit of at least 0")
		return subcommands.ExitUsageError
	}
	defer client.Close()
	c.filter.Kind = trace.Kind(c.kind)
	fleet := crawl.Fleet(ctx, client, c.node.address.AddrPort)
	if len(fleet) == 1 && fleet[0].Err != nil {
		return fail("timeline", fleet[0].Err)
	}
	events := crawl.Events(ctx, client, fleet, c.filter)
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, e := range events {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.UTC().Format(time.StampMicro), e.Process, e.Kind, e.Request, e.Engine, e.Detail)
	}
	w.Flush()
	c.output.print(events, text.String())
	return subcommands.ExitSuccess
}

// versionCommand prints the program's version.
type versionCommand struct{ output outputFlag }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version of this program" }
func (*versionCommand) Usage() string {
	return `ebonyscale version [-output Text|Json]

Exit codes: 0.

`
}

func (c *versionCommand) SetFlags(f *flag.FlagSet) { c.output.register(f) }

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	v := buildVersion()
	c.output.print(v, fmt.Sprintf("ebonyscale %s %s\n", v.Version, v.Go))
	return subcommands.ExitSuccess
}
