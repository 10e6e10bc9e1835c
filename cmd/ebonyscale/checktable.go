package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/table"
)

// checkTableCommand checks the configuration of the entry processes.
type checkTableCommand struct{ output outputFlag }

func (*checkTableCommand) Name() string { return "check-table" }
func (*checkTableCommand) Synopsis() string {
	return "check the configuration that entry processes read from the store"
}

func (*checkTableCommand) Usage() string {
	return `ebonyscale check-table [-output Text|Json] FILE

Reads a configuration, as an entry process reads it from the store. Reports an
error that makes the whole configuration unusable, or every fault in its list of
accounts and in the Scaling of its services: these are left out, and the rest of
the configuration is used.

Example:
  ebonyscale check-table main.json

Exit codes: 0 no faults, 1 faults, 2 wrong usage.

`
}

func (c *checkTableCommand) SetFlags(f *flag.FlagSet) { c.output.register(f) }

func (c *checkTableCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "check-table: give one file")
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(f.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "check-table:", err)
		return subcommands.ExitUsageError
	}
	t, err := table.Parse(data)
	if err != nil {
		return fail("check-table", err)
	}
	if faults := tableFaults(t); len(faults) > 0 {
		var text strings.Builder
		for _, fault := range faults {
			fmt.Fprintf(&text, "%s: %s\n", f.Arg(0), fault)
		}
		c.output.print(faults, text.String())
		return subcommands.ExitFailure
	}
	summary := tableSummary{t.Version, len(t.Routes), t.Accounts.Len()}
	c.output.print(summary, fmt.Sprintf("version %d: %d routes, %d accounts: no faults\n", summary.Version, summary.Routes, summary.Accounts))
	return subcommands.ExitSuccess
}

// tableFaults returns the parts of a configuration that are not used.
func tableFaults(t *table.Table) []fmt.Stringer {
	var faults []fmt.Stringer
	for _, f := range t.AccountFaults {
		faults = append(faults, f)
	}
	for _, f := range t.Faults {
		faults = append(faults, f)
	}
	return faults
}

// tableSummary is the result for a configuration without faults.
type tableSummary struct {
	Version          uint64
	Routes, Accounts int
}
