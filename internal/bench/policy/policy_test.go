package policy

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/bench/load"
)

var (
	traceFile  = flag.String("trace", "", "a CSV file to run instead of the built-in traces")
	seed       = flag.Uint64("seed", 1, "the first seed")
	seeds      = flag.Int("seeds", 1, "how many seeds to run")
	deployment = flag.String("deployment", "Malabar", "Malabar or Quetzal")
	vendor     = flag.String("vendor", "", "the vendor of every engine")
	minutes    = flag.Float64("minutes", 10, "the length of the built-in traces")
	only       = flag.String("only", "", "run these traces only, separated by commas")
	policies   = flag.String("policies", "", "run these policies only, separated by commas")
	full       = flag.Bool("full", false, "run every built-in trace with every policy")
	plotFile   = flag.String("plot", "", "draw the goodput over time and the number of role changes to this file")
)

// runCase runs a case in virtual time.
func runCase(t *testing.T, c Case) Score {
	var score Score
	synctest.Test(t, func(t *testing.T) {
		var err error
		score, err = c.Run(t.Context())
		require.NoError(t, err)
	})
	return score
}

// runAll runs cases in parallel and returns their scores in order.
func runAll(t *testing.T, cases []Case) []Score {
	scores := make([]Score, len(cases))
	t.Run("cases", func(t *testing.T) {
		for i, c := range cases {
			t.Run(fmt.Sprintf("%s-%s-%d", c.Trace.Name, c.Policy.Name, c.Seed), func(t *testing.T) {
				t.Parallel()
				scores[i] = runCase(t, c)
			})
		}
	})
	return scores
}

// among reports whether the list, separated by commas, is empty or has the name.
func among(list, name string) bool {
	if list == "" {
		return true
	}
	for _, word := range strings.Split(list, ",") {
		if word == name {
			return true
		}
	}
	return false
}

// TestMix prints the table of all policies with -v. Without -full, -trace or
// -only it runs one short trace and checks that the goodput of the product's
// policy is near the bound and not below the baselines.
func TestMix(t *testing.T) {
	var cases []Case
	length := time.Duration(*minutes * float64(time.Minute))
	traces := Traces
	var entries []load.Entry
	if *traceFile != "" {
		file, err := os.Open(*traceFile)
		require.NoError(t, err)
		defer file.Close()
		entries, err = load.ReadTrace(file)
		require.NoError(t, err)
		require.NotEmpty(t, entries, "the trace has no requests")
		traces = []Trace{{Name: "File"}}
		length = entries[len(entries)-1].At + time.Second
	} else if !*full && *only == "" {
		traces, length = Traces[2:3], 40*time.Second
		*policies = "Malabar,FixedRoundRobin,FixedLeastLoaded,Threshold"
	}
	for _, trace := range traces {
		for _, policy := range Policies {
			if !among(*only, trace.Name) || !among(*policies, policy.Name) {
				continue
			}
			for n := range *seeds {
				cases = append(cases, Case{
					Example: *deployment, Vendor: *vendor, Trace: trace, Entries: entries, Policy: policy, Seed: *seed + uint64(n)*10, Length: length,
				})
			}
		}
	}
	scores := mean(runAll(t, cases))
	if testing.Verbose() {
		fmt.Print(Table(scores))
	}
	if *plotFile != "" {
		require.NoError(t, Plot(*plotFile, scores))
	}
	if *full || *traceFile != "" || *only != "" {
		return
	}
	byName := map[string]Score{}
	for _, s := range scores {
		byName[s.Policy] = s
	}
	assert.GreaterOrEqual(t, byName["Malabar"].Goodput, 0.97*byName["Malabar"].Bound)
	for _, baseline := range []string{"FixedRoundRobin", "FixedLeastLoaded", "Threshold"} {
		assert.GreaterOrEqual(t, byName["Malabar"].Goodput, byName[baseline].Goodput, baseline)
	}
}

// mean returns the mean scores over the seeds of each case. Scores of a case are
// consecutive.
func mean(scores []Score) []Score {
	var means []Score
	for i := 0; i < len(scores); i += *seeds {
		s := scores[i]
		for _, other := range scores[i+1 : i+*seeds] {
			s.accumulate(other)
		}
		s.average(*seeds)
		means = append(means, s)
	}
	return means
}

// TestClairvoyantBounds checks the bound on small traces for one engine.
func TestClairvoyantBounds(t *testing.T) {
	fleet := Fleet{Engines: []Engine{{Prefill: 1000, Decode: 100}}}
	request := func(at, prompt, output int, deadline time.Duration) load.Entry {
		return load.Entry{At: time.Duration(at) * time.Millisecond, PromptTokens: prompt, OutputTokens: output, Deadline: deadline}
	}
	cases := []struct {
		name  string
		trace []load.Entry
		want  float64
	}{
		{"no requests", nil, 1},
		{"one that fits", []load.Entry{request(0, 1000, 100, 2001*time.Millisecond)}, 1},
		{"one that does not fit", []load.Entry{request(0, 1000, 100, 1900*time.Millisecond)}, 0},
		{"two of three fit", []load.Entry{request(0, 1000, 1, 2100*time.Millisecond), request(1, 1000, 1, 2100*time.Millisecond), request(2, 1000, 1, 2100*time.Millisecond)}, 2.0 / 3},
		{"the long one is dropped", []load.Entry{request(0, 3000, 1, 3100*time.Millisecond), request(1, 1000, 1, 2300*time.Millisecond), request(2, 1000, 1, 2300*time.Millisecond)}, 2.0 / 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.InDelta(t, c.want, Clairvoyant(c.trace, fleet), 1e-9)
		})
	}
}

// TestTraceFileFaults checks that errors in a trace file are reported with their
// line and column.
func TestTraceFileFaults(t *testing.T) {
	const header = "AtMs,Deployment,Service,Account,PromptTokens,OutputTokens,PrefixId,PrefixTokens,Priority,DeadlineMs,Idempotent\n"
	cases := []struct{ name, text, want string }{
		{"valid", header + "0,malabar,verdict-llm,a,10,5,0,0,0,1000,Yes\n", ""},
		{"header", "At\n", "line 1, column header"},
		{"number", header + "0,malabar,verdict-llm,a,ten,5,0,0,0,1000,Yes\n", "line 2, column PromptTokens = \"ten\""},
		{"deadline", header + "0,malabar,verdict-llm,a,10,5,0,0,0,0,Yes\n", "line 2, column DeadlineMs"},
		{"order", header + "5,m,s,a,10,5,0,0,0,1,Yes\n4,m,s,a,10,5,0,0,0,1,Yes\n", "line 3, column AtMs"},
		{"idempotent", header + "5,m,s,a,10,5,0,0,0,1,maybe\n", "column Idempotent"},
		{"columns", header + "5,m\n", "wrong number of fields"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := load.ReadTrace(strings.NewReader(c.text))
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
}
