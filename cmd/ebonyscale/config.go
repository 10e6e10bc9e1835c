package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/keys"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/peer/crawl"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// exitConflict is the exit code of an apply that lost against another one.
const exitConflict subcommands.ExitStatus = 3

// checkCommand checks a deployment directory.
type checkCommand struct{ output outputFlag }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check the files of a deployment" }
func (*checkCommand) Usage() string {
	return `ebonyscale check [-output Text|Json] DIR

Reads every .ini file of the directory as a whole and reports every fault with
its file, section, key, value and what would be right.

Example:
  ebonyscale check examples/malabar

Exit codes: 0 no faults, 1 faults, 2 wrong usage.

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { c.output.register(f) }

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files, err := readDirectory(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "check:", err)
		return subcommands.ExitUsageError
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return printFaults(&c.output, "check", err)
	}
	text := fmt.Sprintf("%s: %d files, %d models, %d backend servers, %d services, %d accounts: no faults\n", deployment.Name,
		len(files), len(deployment.Models), len(deployment.Servers), len(deployment.Services), len(deployment.Accounts))
	c.output.print(deployment, text)
	return subcommands.ExitSuccess
}

func printFaults(o *outputFlag, command string, err error) subcommands.ExitStatus {
	var faults *keys.Error
	if errors.As(err, &faults) && o.String() == "Json" {
		o.print(faults, "")
		return subcommands.ExitFailure
	}
	return fail(command, err)
}

// diffCommand compares a directory with the configuration accepted last.
type diffCommand struct {
	output   outputFlag
	platform platformFlag
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show what an apply would change" }
func (*diffCommand) Usage() string {
	return `ebonyscale diff -platform ADDRESS [-output Text|Json] DIR

Compares the files of the directory with the configuration accepted last, and
prints the version to give to apply as -base.

Example:
  ebonyscale diff -platform 127.0.0.1:7000 examples/malabar

Exit codes: 0 no difference, 1 faults or the platform cannot be read, 2 wrong
usage, 4 there are differences.

`
}

// exitDiffers is the exit code of a diff with differences.
const exitDiffers subcommands.ExitStatus = 4

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
}

// change is what an apply would do to a file.
type change struct {
	File  string
	Kind  string
	Lines []string
}

type difference struct {
	Deployment string
	Base       uint64
	Changes    []change
}

func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	files, err := readDirectory(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "diff:", err)
		return subcommands.ExitUsageError
	}
	client, err := c.platform.client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "diff:", err)
		return subcommands.ExitUsageError
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return printFaults(&c.output, "diff", err)
	}
	d, err := compare(ctx, client, deployment.Name, files)
	if err != nil {
		return fail("diff", err)
	}
	c.output.print(d, d.String())
	if len(d.Changes) > 0 {
		return exitDiffers
	}
	return subcommands.ExitSuccess
}

func compare(ctx context.Context, g store.Getter, deployment string, files []spec.File) (difference, error) {
	d := difference{Deployment: deployment}
	manifest, _, err := apply.Read(ctx, g, deployment)
	if err != nil {
		return d, err
	}
	d.Base = manifest.Version
	before := map[string]apply.Piece{}
	for _, p := range manifest.Pieces {
		before[p.Name] = p
	}
	for _, file := range files {
		old, ok := before[file.Name]
		delete(before, file.Name)
		switch {
		case !ok:
			d.Changes = append(d.Changes, change{File: file.Name, Kind: "Added"})
		case old.Hash != apply.Hash(file.Data):
			object, err := g.Get(ctx, apply.PieceKey(deployment, old.Hash))
			if err != nil {
				return d, fmt.Errorf("read %s: %w", file.Name, err)
			}
			d.Changes = append(d.Changes, change{File: file.Name, Kind: "Changed", Lines: lineDiff(string(object.Value), string(file.Data))})
		}
	}
	for _, p := range manifest.Pieces {
		if _, left := before[p.Name]; left {
			d.Changes = append(d.Changes, change{File: p.Name, Kind: "Removed"})
		}
	}
	return d, nil
}

// String formats the difference.
func (d difference) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: compared with version %d\n", d.Deployment, d.Base)
	if len(d.Changes) == 0 {
		text.WriteString("no difference\n")
	}
	for _, c := range d.Changes {
		fmt.Fprintf(&text, "%s %s\n", c.Kind, c.File)
		for _, line := range c.Lines {
			fmt.Fprintf(&text, "  %s\n", line)
		}
	}
	return text.String()
}

// applyCommand puts a directory in force.
type applyCommand struct {
	output   outputFlag
	platform platformFlag
	node     nodeFlag
	base     int64
	author   string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put the files of a deployment in force as a whole" }

func (*applyCommand) Usage() string {
	return `ebonyscale apply -platform ADDRESS [-base N] [-author NAME] [-node ADDRESS] [-output Text|Json] DIR

Checks the files and accepts them as a whole, or changes nothing. -base names
the version that the files were made for, as diff or get print it; an apply on
another version is a conflict. Without -base it is the version of this moment.
With -node the command waits until every process that can be reached has the
configuration in force.

Example:
  ebonyscale apply -platform 127.0.0.1:7000 -base 3 examples/malabar

Exit codes: 0 accepted (and in force, with -node), 1 faults in the files or the
platform cannot be used, 2 wrong usage, 3 conflict with another apply.

`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	c.node.register(f)
	f.Int64Var(&c.base, "base", -1, "the version that the files were made for")
	f.StringVar(&c.author, "author", "operator", "who applies")
}

type accepted struct {
	Deployment string
	Version    uint64
	// Processes have the version in force after InForceMs, of Reached that
	// answered.
	Processes, Reached int
	InForceMs          int64
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	files, err := readDirectory(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return subcommands.ExitUsageError
	}
	client, err := c.platform.client()
	if err != nil {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return subcommands.ExitUsageError
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return printFaults(&c.output, "apply", err)
	}
	base := uint64(max(c.base, 0))
	if c.base < 0 {
		current, _, err := apply.Read(ctx, client, deployment.Name)
		if err != nil {
			return fail("apply", err)
		}
		base = current.Version
	}
	manifest, err := apply.Apply(ctx, client, files, apply.Request{Base: base, Author: c.author})
	var conflict *apply.Conflict
	if errors.As(err, &conflict) {
		fmt.Fprintln(os.Stderr, "apply:", err)
		return exitConflict
	}
	if err != nil {
		return fail("apply", err)
	}
	return c.accepted(ctx, manifest)
}

// accepted reports the acceptance, and waits for the processes with -node.
func (c *applyCommand) accepted(ctx context.Context, m apply.Manifest) subcommands.ExitStatus {
	result := accepted{Deployment: m.Deployment, Version: m.Version}
	text := fmt.Sprintf("%s: version %d accepted\n", m.Deployment, m.Version)
	if c.node.address.IsValid() {
		began := time.Now()
		if !c.await(ctx, m.Version, &result) {
			c.output.print(result, text)
			return fail("apply", fmt.Errorf("in force on %d of %d processes only", result.Processes, result.Reached))
		}
		result.InForceMs = time.Since(began).Milliseconds()
		text += fmt.Sprintf("in force on all %d processes that answer, %d ms after it was accepted\n", result.Processes, result.InForceMs)
	}
	c.output.print(result, text)
	return subcommands.ExitSuccess
}

// inForceWithin is how long an apply waits for the processes.
const inForceWithin = 7 * time.Second

func (c *applyCommand) await(ctx context.Context, version uint64, result *accepted) bool {
	client, err := c.node.client()
	if err != nil {
		return false
	}
	defer client.Close()
	fleet := crawl.Fleet(ctx, client, c.node.address.AddrPort)
	var addresses []netip.AddrPort
	for _, p := range fleet {
		addresses = append(addresses, p.Address)
	}
	for end := time.Now().Add(inForceWithin); time.Now().Before(end); {
		result.Processes, result.Reached = 0, 0
		for _, p := range fleet {
			if p.Err != nil {
				continue
			}
			result.Reached++
			if p.Status.ConfigVersion >= version {
				result.Processes++
			}
		}
		if result.Reached > 0 && result.Processes == result.Reached {
			return true
		}
		fleet = crawl.Fleet(ctx, client, addresses...)
	}
	return false
}

// getCommand writes the accepted configuration to files.
type getCommand struct {
	output     outputFlag
	platform   platformFlag
	deployment string
	version    uint64
	directory  string
}

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "get a configuration that was accepted" }
func (*getCommand) Usage() string {
	return `ebonyscale get -platform ADDRESS -deployment NAME [-version N] [-directory DIR] [-output Text|Json]

Prints the files of the configuration accepted last, or of an earlier version,
or writes them to a directory.

Example:
  ebonyscale get -platform 127.0.0.1:7000 -deployment malabar -version 2 -directory before

Exit codes: 0 done, 1 no such version or the platform cannot be read, 2 wrong
usage.

`
}

func (c *getCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	f.StringVar(&c.deployment, "deployment", "", "the deployment's name")
	f.Uint64Var(&c.version, "version", 0, "the version; 0 for the last")
	f.StringVar(&c.directory, "directory", "", "where to write the files; they are printed if it is empty")
}

type fetched struct {
	Deployment string
	Version    uint64
	Files      map[string]string
}

func (c *getCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.platform.client()
	if err != nil || c.deployment == "" {
		fmt.Fprintln(os.Stderr, "get: give -platform and -deployment")
		return subcommands.ExitUsageError
	}
	got, err := c.fetch(ctx, client)
	if err != nil {
		return fail("get", err)
	}
	text := fmt.Sprintf("%s: version %d\n", got.Deployment, got.Version)
	for name, data := range got.Files {
		if c.directory == "" {
			text += fmt.Sprintf("\n; %s\n%s", name, data)
			continue
		}
		if err := os.MkdirAll(c.directory, 0o755); err != nil {
			return fail("get", err)
		}
		if err := os.WriteFile(filepath.Join(c.directory, filepath.Base(name)), []byte(data), 0o644); err != nil {
			return fail("get", err)
		}
	}
	c.output.print(got, text)
	return subcommands.ExitSuccess
}

func (c *getCommand) fetch(ctx context.Context, g store.Getter) (fetched, error) {
	manifest, _, err := apply.Read(ctx, g, c.deployment)
	if err != nil {
		return fetched{}, err
	}
	got := fetched{Deployment: c.deployment, Version: manifest.Version, Files: map[string]string{}}
	pieces := manifest.Pieces
	if c.version != 0 && c.version != manifest.Version {
		pieces = nil
		for _, past := range manifest.History {
			if past.Version == c.version {
				got.Version, pieces = past.Version, past.Pieces
			}
		}
	}
	if len(pieces) == 0 {
		return got, fmt.Errorf("%s has no version %d; the last is %d", c.deployment, c.version, manifest.Version)
	}
	for _, p := range pieces {
		object, err := g.Get(ctx, apply.PieceKey(c.deployment, p.Hash))
		if err != nil {
			return got, fmt.Errorf("read %s: %w", p.Name, err)
		}
		got.Files[p.Name] = string(object.Value)
	}
	return got, nil
}

// historyCommand lists the accepted versions.
type historyCommand struct {
	output     outputFlag
	platform   platformFlag
	deployment string
}

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list the versions of a deployment" }
func (*historyCommand) Usage() string {
	return `ebonyscale history -platform ADDRESS -deployment NAME [-output Text|Json]

Lists the version in force and those before it, newest first.

Example:
  ebonyscale history -platform 127.0.0.1:7000 -deployment malabar

Exit codes: 0 done, 1 the platform cannot be read or nothing was applied yet, 2
wrong usage.

`
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	f.StringVar(&c.deployment, "deployment", "", "the deployment's name")
}

func (c *historyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.platform.client()
	if err != nil || c.deployment == "" {
		fmt.Fprintln(os.Stderr, "history: give -platform and -deployment")
		return subcommands.ExitUsageError
	}
	m, _, err := apply.Read(ctx, client, c.deployment)
	if err != nil {
		return fail("history", err)
	}
	if m.Version == 0 {
		return fail("history", fmt.Errorf("nothing was applied to %s yet", c.deployment))
	}
	list := append([]apply.Past{{Version: m.Version, Author: m.Author, At: m.At, Pieces: m.Pieces}}, m.History...)
	var text strings.Builder
	for _, p := range list {
		fmt.Fprintf(&text, "%6d  %s  %-16s %d files\n", p.Version, p.At.Format(time.RFC3339), p.Author, len(p.Pieces))
	}
	c.output.print(list, text.String())
	return subcommands.ExitSuccess
}
