package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// diffCommand compares a directory with the newest configuration.
type diffCommand struct {
	output   outputFlag
	platform platformFlag
}

// exitDiffers is the exit code of diff if there are differences.
const exitDiffers subcommands.ExitStatus = 4

func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
}

// change is the change that an apply would make to a file. Kind is Added, Changed
// or Removed; Lines is the result of lineDiff, for Changed only.
type change struct {
	File  string
	Kind  string
	Lines []string
}

// difference is the output of the diff command. Base is the version that the
// files were compared with.
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

// compare compares the files with those of the deployment's newest
// configuration.
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
