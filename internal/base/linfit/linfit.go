// Package linfit fits a line to observations of durations as they arrive, for
// predictions such as the time of a prefill over its tokens. Older observations
// weigh exponentially less, so that the line follows a server that changes.
//
// # Usage
//
//	var l linfit.Line
//	l.Reset(0.01, 0.0001) // a prior; optional
//	l.Observe(tokens, took.Seconds())
//	predicted := l.At(tokens)
//
// The zero value is a line that knows nothing. A Line is not safe for concurrent
// use.
package linfit

import "time"

// Line is a fitted line. Intercept and Slope are never negative and always finite.
type Line struct {
	// Intercept is in seconds, Slope in seconds per unit of x.
	Intercept, Slope float64
	// Decay is the factor by which each new observation reduces the weights of
	// the older ones; 0 means defaultDecay.
	Decay float64

	// Weighted sums over the observations.
	weight, x, y, xx, xy float64
}

const (
	defaultDecay = 0.98
	// priorWeight is the weight of a prior, in observations.
	priorWeight = 4
	// minSlopeShare bounds the slope below, as a share of the average of y over
	// that of x. A lower one is noise: more work always takes longer.
	minSlopeShare = 0.1
	// maxObserved bounds the observations, so that their sums stay finite.
	maxObserved = 1e9
	// maxSlope bounds the slope, in seconds per unit of x, so that predictions are
	// finite after an observation close to x = 0.
	maxSlope = 1e9
)

// Known reports whether there is a prior or an observation.
func (l *Line) Known() bool { return l.weight > 0 }

// Reset discards all observations and sets a prior. It counts as two observations
// of weight priorWeight/2: at x = 0 and where the slope adds 0.2 seconds.
func (l *Line) Reset(intercept, slope float64) {
	*l = Line{Intercept: intercept, Slope: slope, Decay: l.Decay}
	for _, x := range []float64{0, 2 / max(slope, 1e-9) * 0.1} {
		l.add(x, intercept+slope*x, priorWeight/2)
	}
}

func (l *Line) add(x, y, weight float64) {
	l.weight += weight
	l.x += weight * x
	l.y += weight * y
	l.xx += weight * x * x
	l.xy += weight * x * y
}

// Observe adds an observation and updates the line. The slope stays as it is if
// the observations' x are too close together to determine it. If the intercept
// would not be positive, the line goes through the origin instead. Observations
// that are negative, not a number or above maxObserved are ignored.
func (l *Line) Observe(x, y float64) {
	if !(x >= 0 && y >= 0 && x <= maxObserved && y <= maxObserved) {
		return
	}
	decay := l.Decay
	if decay == 0 {
		decay = defaultDecay
	}
	l.weight, l.x, l.y, l.xx, l.xy = l.weight*decay, l.x*decay, l.y*decay, l.xx*decay, l.xy*decay
	l.add(x, y, 1)
	spread := l.weight*l.xx - l.x*l.x
	if spread > 1e-9*l.weight*l.xx {
		l.Slope = max((l.weight*l.xy-l.x*l.y)/spread, 0)
	}
	if l.x > 0 {
		l.Slope = max(l.Slope, minSlopeShare*l.y/l.x)
	}
	l.Slope = min(l.Slope, maxSlope)
	l.Intercept = max((l.y-l.Slope*l.x)/l.weight, 0)
	if l.Intercept == 0 && l.x > 0 {
		l.Slope = min(l.y/l.x, maxSlope)
	}
}

// At returns the predicted duration at x, in seconds.
func (l *Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Durations returns the intercept and the slope per unit of x.
func (l *Line) Durations() (intercept, slope time.Duration) {
	return time.Duration(l.Intercept * float64(time.Second)), time.Duration(l.Slope * float64(time.Second))
}
