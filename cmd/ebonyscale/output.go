package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// outputFlag is the -output flag, Text or Json. The zero value is Text.
type outputFlag struct{ format string }

func (o *outputFlag) register(f *flag.FlagSet) {
	f.Var(o, "output", "the form of the output: Text or Json")
}

// String implements flag.Value.
func (o *outputFlag) String() string {
	if o.format == "" {
		return "Text"
	}
	return o.format
}

// Set implements flag.Value.
func (o *outputFlag) Set(text string) error {
	if text != "Text" && text != "Json" {
		return fmt.Errorf("must be Text or Json")
	}
	o.format = text
	return nil
}

// print prints the text or, with -output Json, the value as JSON.
func (o *outputFlag) print(value any, text string) {
	if o.String() == "Text" {
		fmt.Print(text)
		return
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(os.Stderr, "encode output:", err)
	}
}

// fail prints a command's error and returns the exit code 1.
func fail(command string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
	return subcommands.ExitFailure
}
