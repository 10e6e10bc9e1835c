package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/keys"
	"ebonyscale.example/ebonyscale/internal/config/spec"
)

// checkCommand checks a deployment directory.
type checkCommand struct{ output outputFlag }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check the files of a deployment" }
func (*checkCommand) Usage() string {
	return `ebonyscale check [-output Text|Json] DIR

Reads all .ini files of the directory as one deployment. Reports every fault with
its file, section, key and value, and what would be valid.

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

// checkEntryCommand checks the settings of an entry process.
type checkEntryCommand struct{ output outputFlag }

func (*checkEntryCommand) Name() string     { return "check-entry" }
func (*checkEntryCommand) Synopsis() string { return "check the settings of an entry process" }
func (*checkEntryCommand) Usage() string {
	return `ebonyscale check-entry [-output Text|Json] FILE

Reads the settings file that the platform rendered for an entry process, as the
command entry does. Reports every fault with its section, key and value, and what
would be valid.

Example:
  ebonyscale check-entry entry.ini

Exit codes: 0 no faults, 1 faults, 2 wrong usage.

`
}

func (c *checkEntryCommand) SetFlags(f *flag.FlagSet) { c.output.register(f) }

func (c *checkEntryCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "check-entry: give one file")
		return subcommands.ExitUsageError
	}
	settings, err := readEntry(f.Arg(0))
	if err != nil {
		return printFaults(&c.output, "check-entry", err)
	}
	c.output.print(settings, fmt.Sprintf("%s: no faults\n", settings.Node.Name))
	return subcommands.ExitSuccess
}

// printFaults prints the faults in the files, or any other error, and returns
// the exit code for them.
func printFaults(o *outputFlag, command string, err error) subcommands.ExitStatus {
	var faults *keys.Error
	if errors.As(err, &faults) && o.String() == "Json" {
		o.print(faults, "")
		return subcommands.ExitFailure
	}
	return fail(command, err)
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "show what an apply would change" }
func (*diffCommand) Usage() string {
	return `ebonyscale diff -platform ADDRESS [-output Text|Json] DIR

Compares the files of the directory with the newest configuration, and prints
the version to give to apply as -base.

Example:
  ebonyscale diff -platform 127.0.0.1:7000 examples/malabar

Exit codes: 0 no difference, 1 faults or the platform cannot be read, 2 wrong
usage, 4 there are differences.

`
}

func (*applyCommand) Name() string { return "apply" }
func (*applyCommand) Synopsis() string {
	return "apply the files of a deployment as a new version of its configuration"
}

func (*applyCommand) Usage() string {
	return `ebonyscale apply -platform ADDRESS [-base N] [-author NAME] [-node ADDRESS] [-output Text|Json] DIR

Checks the files and stores them as a whole, as the next version of the
configuration, or changes nothing. -base is the version that the files were made
for, as diff and get print it. The command fails with a conflict if that is no longer
the newest version. Without -base the files replace the newest version. With -node
the command waits up to 7 seconds until the configuration is in force, that is,
used by every process that can be reached.

Example:
  ebonyscale apply -platform 127.0.0.1:7000 -base 3 examples/malabar

Exit codes: 0 accepted (and in force, with -node), 1 faults in the files, the
platform cannot be used or, with -node, not in force in time, 2 wrong usage, 3
conflict with another apply.

`
}

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "get the files of an accepted configuration" }
func (*getCommand) Usage() string {
	return `ebonyscale get -platform ADDRESS -deployment NAME [-version N] [-directory DIR] [-output Text|Json]

Prints the files of the newest configuration or of an earlier version, or writes
them to a directory.

Example:
  ebonyscale get -platform 127.0.0.1:7000 -deployment malabar -version 2 -directory before

Exit codes: 0 done, 1 no such version or the platform cannot be read, 2 wrong
usage.

`
}

func (*historyCommand) Name() string { return "history" }
func (*historyCommand) Synopsis() string {
	return "list the versions of a deployment's configuration"
}

func (*historyCommand) Usage() string {
	return `ebonyscale history -platform ADDRESS -deployment NAME [-output Text|Json]

Lists the newest version of the configuration and those before it, newest first.

Example:
  ebonyscale history -platform 127.0.0.1:7000 -deployment malabar

Exit codes: 0 done, 1 the platform cannot be read or nothing was applied yet, 2
wrong usage.

`
}
