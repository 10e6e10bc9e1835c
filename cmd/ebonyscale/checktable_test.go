package main

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCheckTable guards against a configuration that is reported without faults, while a part
// of it is not used.
func TestCheckTable(t *testing.T) {
	for text, want := range map[string]subcommands.ExitStatus{
		`{"Version": 1, "Services": [{"Name": "s"}], "Accounts": []}`:                                    subcommands.ExitSuccess,
		`{"Version": 1, "Services": [{"Name": "s"}], "Accounts": [{"Keys": ["k"]}]}`:                     subcommands.ExitFailure,
		`{"Version": 1, "Services": [{"Name": "s", "Scaling": {"Min": 3, "Max": 2, "ZonePrices": {}}}]}`: subcommands.ExitFailure,
		`{"Version": 1, "Services": [{"Name": "s"}], "Accounts": [{"Name": "a", "Priority": "high"}]}`:   subcommands.ExitFailure,
		`{"Version": 1`: subcommands.ExitFailure,
	} {
		file := filepath.Join(t.TempDir(), "main.json")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		c := &checkTableCommand{}
		f := flag.NewFlagSet("check-table", flag.ContinueOnError)
		c.SetFlags(f)
		require.NoError(t, f.Parse([]string{file}))
		assert.Equal(t, want, c.Execute(t.Context(), f), text)
	}
}
