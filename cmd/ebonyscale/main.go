// Command ebonyscale serves requests to a fixed fleet of LLM engines and plain
// services, and has the commands to configure and operate it.
//
// # Usage
//
//	ebonyscale demo -deployment Malabar -seconds 20
//	ebonyscale serve -settings node.ini
//	ebonyscale help
//
// The help of each command documents its flags and exit codes, with an example.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	for _, c := range []subcommands.Command{&serveCommand{}, &entryCommand{}, &demoCommand{}} {
		subcommands.Register(c, "processes")
	}
	for _, c := range []subcommands.Command{&checkCommand{}, &checkEntryCommand{}, &checkTableCommand{}, &diffCommand{}, &applyCommand{}, &getCommand{}, &historyCommand{}} {
		subcommands.Register(c, "configuration")
	}
	for _, c := range []subcommands.Command{&statusCommand{}, &drainCommand{}, &drainCommand{undo: true}, &timelineCommand{}, &explainCommand{}, &versionCommand{}} {
		subcommands.Register(c, "operation")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
