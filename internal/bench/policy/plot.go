package policy

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"ebonyscale.example/ebonyscale/internal/bench/load"
)

// Size of a plot image.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws the goodput of each policy over time. The extension of the path
// selects the format, such as .png or .svg. Only scores of the first score's
// trace are drawn.
func Plot(path string, scores []Score) error {
	p := plot.New()
	if len(scores) == 0 {
		return fmt.Errorf("draw goodput: no scores")
	}
	p.Title.Text = "Goodput on " + scores[0].Trace
	p.X.Label.Text = "part of the trace"
	p.Y.Label.Text = "completed within the deadline"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Top = false
	var lines []any
	for _, s := range scores {
		if s.Trace != scores[0].Trace {
			continue
		}
		points := make(plotter.XYs, len(s.Timeline))
		for i, y := range s.Timeline {
			points[i].X, points[i].Y = (float64(i)+0.5)/timelineParts, y
		}
		lines = append(lines, fmt.Sprintf("%s (%d changes)", s.Policy, s.RoleChanges), points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw goodput: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// accumulate adds the score of another seed to s.
func (s *Score) accumulate(o Score) {
	s.Goodput += o.Goodput
	s.Bound += o.Bound
	s.RoleChanges += o.RoleChanges
	s.OutOfServiceTime += o.OutOfServiceTime
	s.WastedTokens += o.WastedTokens
	s.Row.Requests += o.Row.Requests
	s.Row.NotRun += o.Row.NotRun
	s.Row.First.P50 += o.Row.First.P50
	s.Row.First.P95 += o.Row.First.P95
	s.Row.First.P99 += o.Row.First.P99
	s.Row.Gap.P50 += o.Row.Gap.P50
	s.Row.Gap.P95 += o.Row.Gap.P95
	s.Row.Gap.P99 += o.Row.Gap.P99
	for i := range s.Timeline {
		s.Timeline[i] += o.Timeline[i]
	}
}

// average turns sums over n seeds into means. Role changes, time out of service,
// requests, rejections and wasted tokens stay sums.
func (s *Score) average(n int) {
	k := float64(n)
	s.Goodput /= k
	s.Bound /= k
	for _, q := range []*load.Quantiles{&s.Row.First, &s.Row.Gap} {
		q.P50 /= time.Duration(n)
		q.P95 /= time.Duration(n)
		q.P99 /= time.Duration(n)
	}
	for i := range s.Timeline {
		s.Timeline[i] /= k
	}
}
