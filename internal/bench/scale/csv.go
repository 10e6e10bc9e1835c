package scale

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// columns is the header of the table. Names with Most are maxima over the
// processes, and Runners are engines. InForce, Resteward and Rejoin are the
// columns of Point.ConfigActive, PollerFailover and Recovery.
var columns = []string{
	"Nodes", "Runners", "BytesPerS", "BytesPerSMost", "PeerBytes", "EngineBytes", "PlatformBytes", "Cores", "CoresMost", "MemoryMB", "MemoryMBMost",
	"PlatformCallsPerS", "InForceP50Ms", "InForceP99Ms", "InForceMaxMs", "LeavingP50Ms", "LeavingMaxMs", "RestewardMs", "RejoinMs", "RejoinFactor",
}

// WriteCSV writes points as a table with a header.
func WriteCSV(w io.Writer, points []Point) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(columns); err != nil {
		return fmt.Errorf("write points: %w", err)
	}
	for _, p := range points {
		number := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
		ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
		record := []string{
			strconv.Itoa(p.Nodes), strconv.Itoa(p.Engines), number(p.Bytes, 0), number(p.MaxBytes, 0), number(p.PeerBytes, 0), number(p.EngineBytes, 0), number(p.PlatformBytes, 0),
			number(p.Cores, 4), number(p.MaxCores, 4), number(p.Memory/(1<<20), 1), number(p.MaxMemory/(1<<20), 1), number(p.PlatformCalls, 1),
			ms(p.ConfigActive.P50), ms(p.ConfigActive.P99), ms(p.ConfigActive.Max), ms(p.Leaving.P50), ms(p.Leaving.Max), ms(p.PollerFailover), ms(p.Recovery), number(p.RecoveryFactor, 2),
		}
		if err := writer.Write(record); err != nil {
			return fmt.Errorf("write points: %w", err)
		}
	}
	writer.Flush()
	return writer.Error()
}
