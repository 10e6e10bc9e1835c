package spread

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/assert"
)

// maxActivation is the required time within which an accepted configuration is
// active at every process.
const maxActivation = 7 * time.Second

// TestSpread prints the comparison with -v, each figure the mean of five seeds,
// and checks that Owner meets the required time.
func TestSpread(t *testing.T) {
	const seeds = 5
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Nodes\tChange\tLoss\tWay\tSeconds\tReads\tMessagesANode\tBytesANode\tBytesOfBusiest\t")
	for _, size := range []struct{ nodes, zones int }{{45, 1}, {720, 16}} {
		for _, change := range []struct {
			name          string
			chunks, bytes int
		}{{"1KB", 1, 1 << 10}, {"1MB", 16, 64 << 10}} {
			for _, loss := range []float64{0, 0.1, 0.3} {
				for _, strategy := range Strategies {
					var sum Result
					for seed := range uint64(seeds) {
						r := Run(Case{Strategy: strategy, Nodes: size.nodes, Zones: size.zones, Chunks: change.chunks, ChunkBytes: change.bytes, Loss: loss, Seed: seed})
						sum.Rounds += r.Rounds
						sum.Reads += r.Reads
						sum.Messages += r.Messages
						sum.MeanReceivedBytes += r.MeanReceivedBytes
						sum.MaxSentBytes += r.MaxSentBytes
						if strategy == Owner {
							assert.Less(t, r.Time(), maxActivation)
						}
					}
					fmt.Fprintf(w, "%d\t%s\t%.0f%%\t%s\t%.1f\t%d\t%.1f\t%.0f\t%.0f\t\n", size.nodes, change.name, 100*loss, strategy, sum.Time().Seconds()/seeds,
						sum.Reads/seeds, float64(sum.Messages)/seeds/float64(size.nodes), sum.MeanReceivedBytes/seeds, sum.MaxSentBytes/seeds)
				}
			}
		}
	}
	if testing.Verbose() {
		w.Flush()
	}
}

// TestEveryStrategyConverges checks that every strategy delivers each chunk once
// to every process.
func TestEveryStrategyConverges(t *testing.T) {
	for _, strategy := range Strategies {
		r := Run(Case{Strategy: strategy, Nodes: 20, Zones: 2, Chunks: 5, ChunkBytes: 10, Loss: 0.2, Seed: 1})
		assert.Less(t, r.Rounds, maxRounds)
		assert.InDelta(t, 50, r.MeanReceivedBytes, 1e-9, "every process got every chunk once")
	}
}
