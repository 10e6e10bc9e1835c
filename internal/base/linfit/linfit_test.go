package linfit

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestLineFollowsChanges(t *testing.T) {
	var l Line
	assert.False(t, l.Known())
	for i := range 300 {
		x := float64(i % 7 * 1000)
		l.Observe(x, 0.05+x/50e3)
	}
	assert.InDelta(t, 0.05, l.Intercept, 0.001)
	assert.InDelta(t, 1/50e3, l.Slope, 1e-7)
	for i := range 300 {
		x := float64(i % 7 * 1000)
		l.Observe(x, 0.2+x/20e3)
	}
	assert.InDelta(t, 0.2, l.Intercept, 0.01)
	assert.InDelta(t, 1/20e3, l.Slope, 1e-6)
}

// A prior counts like a few observations and keeps a single one from determining
// the line.
func TestPrior(t *testing.T) {
	var l Line
	l.Reset(0.01, 1e-4)
	assert.True(t, l.Known())
	assert.Equal(t, 0.01, l.At(0))
	l.Observe(1000, 0.3)
	assert.Greater(t, l.At(1000), 0.11)
	assert.Less(t, l.At(1000), 0.3)
}

// Found by TestLineIsAlwaysUsable (-rapid.seed=1513362951908042): the slope through an
// observation close to x = 0 made predictions infinite.
func TestObservationCloseToZero(t *testing.T) {
	var l Line
	l.Observe(2.916448807822559e-303, 5242.9375)
	assert.False(t, math.IsInf(l.At(1000), 1), "%v", l.Slope)
	for range 400 {
		l.Observe(1000, 1)
		l.Observe(3000, 2)
	}
	assert.InDelta(t, 1, l.At(1000), 0.01, "later observations count again")
}

// Whatever is observed, the line is finite, not negative, and rises if there is
// anything to rise from.
func TestLineIsAlwaysUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Line
		number := rapid.OneOf(rapid.Float64Range(0, 1e7), rapid.SampledFrom([]float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 0, 1e300}))
		for range rapid.IntRange(1, 50).Draw(t, "observations") {
			l.Observe(number.Draw(t, "x"), number.Draw(t, "y"))
			for _, v := range []float64{l.Intercept, l.Slope, l.At(1000)} {
				if !(v >= 0) || math.IsInf(v, 1) {
					t.Fatalf("intercept %v, slope %v", l.Intercept, l.Slope)
				}
			}
		}
	})
}
