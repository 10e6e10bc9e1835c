package spread

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/assert"
)

// inForceWithin is the users' bound.
const inForceWithin = 7 * time.Second

// TestSpread prints the comparison, each figure the mean of five seeds.
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
				for _, way := range Ways {
					var sum Result
					for seed := range uint64(seeds) {
						r := Run(Case{Way: way, Nodes: size.nodes, Zones: size.zones, Chunks: change.chunks, ChunkBytes: change.bytes, Loss: loss, Seed: seed})
						sum.Rounds += r.Rounds
						sum.Reads += r.Reads
						sum.Messages += r.Messages
						sum.Bytes += r.Bytes
						sum.BytesMost += r.BytesMost
						if way == Owner {
							assert.Less(t, r.Time(), inForceWithin)
						}
					}
					fmt.Fprintf(w, "%d\t%s\t%.0f%%\t%s\t%.1f\t%d\t%.1f\t%.0f\t%.0f\t\n", size.nodes, change.name, 100*loss, way, sum.Time().Seconds()/seeds,
						sum.Reads/seeds, float64(sum.Messages)/seeds/float64(size.nodes), sum.Bytes/seeds, sum.BytesMost/seeds)
				}
			}
		}
	}
	if testing.Verbose() {
		w.Flush()
	}
}

func TestEveryWayConverges(t *testing.T) {
	for _, way := range Ways {
		r := Run(Case{Way: way, Nodes: 20, Zones: 2, Chunks: 5, ChunkBytes: 10, Loss: 0.2, Seed: 1})
		assert.Less(t, r.Rounds, maxRounds)
		assert.InDelta(t, 50, r.Bytes, 1e-9, "every process got every chunk once")
	}
}
