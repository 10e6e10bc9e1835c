package pace

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

// gapOf returns the predicted gap at an engine, 0 if none is known.
func gapOf(t *Table, now time.Time, engine uint64) time.Duration {
	p, known := t.Predict(now)
	if !known {
		return 0
	}
	return p.Gap(engine)
}

// TestPrediction guards against predictions from too few samples, and against engines that
// stay slow in the estimate after their samples are old.
func TestPrediction(t *testing.T) {
	var table Table
	table.Record(start, 1, 50*time.Millisecond)
	table.Record(start, 1, 50*time.Millisecond)
	assert.Zero(t, gapOf(&table, start, 1), "two samples say too little")
	table.Record(start, 1, 50*time.Millisecond)
	assert.InDelta(t, 50, gapOf(&table, start, 2).Milliseconds(), 1, "another engine is like those known")
	table.Hear(start, []Report{{Engine: 2, Count: 3, Mean: 150 * time.Millisecond}})
	assert.InDelta(t, 125, gapOf(&table, start, 2).Milliseconds(), 1, "its samples and the mean of all count alike")
	table.Sent(start, 2)
	table.Sent(start, 2)
	assert.InDelta(t, 130, gapOf(&table, start, 2).Milliseconds(), 1, "2 % for each stream")
	table.Record(start, 2, 150*time.Millisecond)
	assert.Less(t, gapOf(&table, start, 2), 132*time.Millisecond, "until the next sample")

	table.Hear(start, []Report{{Engine: 3, Count: maxCount, Mean: time.Second}})
	later := start.Add(halfLife + time.Millisecond)
	table.Hear(later, []Report{{Engine: 1, Count: maxCount, Mean: 50 * time.Millisecond}})
	assert.Equal(t, gapOf(&table, later, 4), gapOf(&table, later, 3), "the engine is like the others after 10 s")
	table.Sweep(start.Add(forgetAfter + time.Second))
	assert.Len(t, table.engines, 1)
	assert.False(t, table.Active(later.Add(activeFor+1)))
}

// TestWeightHalves guards against a mean that follows each slowdown, or none.
func TestWeightHalves(t *testing.T) {
	var table Table
	table.Hear(start, []Report{{Engine: 1, Count: 100, Mean: 100 * time.Millisecond}})
	table.Hear(start.Add(halfLife), []Report{{Engine: 1, Count: 50, Mean: 200 * time.Millisecond}})
	assert.InDelta(t, 150, gapOf(&table, start.Add(halfLife), 1).Milliseconds(), 1)
}

// TestReports guards against gaps that are told twice or in too large a message, and against
// values of peers that no engine can have.
func TestReports(t *testing.T) {
	var table Table
	for engine := range uint64(33) {
		for range engine + 1 {
			table.Record(start, engine, time.Second)
		}
	}
	told := table.Take(28)
	assert.Len(t, told, 28)
	assert.Equal(t, Report{Engine: 32, Count: 33, Mean: time.Second}, told[0])
	assert.Len(t, table.Take(28), 5, "those that did not fit")
	assert.Empty(t, table.Take(28))

	var heard Table
	heard.Hear(start, []Report{{Engine: 1, Count: 1 << 30, Mean: time.Second}, {Engine: 2, Count: 9, Mean: maxGap + 1}, {Engine: 3, Count: -1}, {Engine: 4, Count: 9, Mean: -1}, {Engine: 5, Count: 9}})
	assert.Len(t, heard.engines, 1)
	assert.InDelta(t, maxCount, heard.engines[1].weight, 0.1)
	many := make([]Report, MaxHeard+1)
	for i := range many {
		many[i] = Report{Engine: uint64(100 + i), Count: 1, Mean: time.Second}
	}
	heard.Hear(start, many)
	assert.Len(t, heard.engines, 1+MaxHeard)
	assert.Empty(t, heard.Take(28), "hearsay is not passed on")
}

// FuzzHear guards against reports after which a prediction is not a gap.
func FuzzHear(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 255, 255, 255, 255, 255, 255, 255, 255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var table Table
		now := start
		for len(data) >= 17 {
			r := Report{Engine: binary.LittleEndian.Uint64(data), Count: int(int32(binary.LittleEndian.Uint32(data[8:])))}
			r.Mean = time.Duration(binary.LittleEndian.Uint32(data[12:])) * time.Microsecond
			now = now.Add(time.Duration(int8(data[16])) * time.Second)
			table.Hear(now, []Report{r, {Engine: 7, Count: 3, Mean: time.Millisecond}})
			data = data[17:]
			for _, engine := range []uint64{7, r.Engine, math.MaxUint64} {
				if gap := gapOf(&table, now, engine); gap < 0 || gap > maxGap {
					t.Fatalf("gap %s after %+v", gap, r)
				}
			}
		}
	})
}

func BenchmarkPredict(b *testing.B) {
	var table Table
	for engine := range uint64(34) {
		table.Hear(start, []Report{{Engine: engine, Count: 20, Mean: 80 * time.Millisecond}})
	}
	b.ReportAllocs()
	for b.Loop() {
		p, _ := table.Predict(start.Add(time.Second))
		for engine := range uint64(34) {
			p.Gap(engine)
		}
	}
}
