// Command ebonybench runs stand-ins, load tests and experiments for ebonyscale.
//
// # Usage
//
//	ebonybench stand -file stand.ini
//	ebonybench load -deployment examples/malabar -targets 127.0.20.200:8180
//	ebonybench fault -seconds 120
//	ebonybench help
//
// It is the only program of the project that starts processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	for _, c := range []subcommands.Command{&standCommand{}, &loadCommand{}} {
		subcommands.Register(c, "parts")
	}
	for _, c := range []subcommands.Command{&faultCommand{}, &speedCommand{}, &slopeCommand{}, &boundCommand{}, &pairsCommand{}} {
		subcommands.Register(c, "experiments")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// fail prints a command's error and returns the exit code 1.
func fail(command string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
	return subcommands.ExitFailure
}
