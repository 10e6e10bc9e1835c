package scale

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws the mean control traffic of a process over the number of processes
// and writes the plot to a file whose format follows from the extension of path.
// There is one line for each kind of traffic, of the points with as many engines
// as the first one. points must not be empty.
func Plot(path string, points []Point) error {
	p := plot.New()
	p.Title.Text = "Control traffic of an idle process"
	p.X.Label.Text = "processes in the zone"
	p.Y.Label.Text = "bytes per second"
	kinds := []struct {
		name  string
		value func(Point) float64
	}{
		{"all", func(p Point) float64 { return p.Bytes }},
		{"peers", func(p Point) float64 { return p.PeerBytes }},
		{"engines", func(p Point) float64 { return p.EngineBytes }},
		{"platform", func(p Point) float64 { return p.PlatformBytes }},
	}
	var lines []any
	for _, kind := range kinds {
		var line plotter.XYs
		for _, point := range points {
			if point.Engines == points[0].Engines {
				line = append(line, plotter.XY{X: float64(point.Nodes), Y: kind.value(point)})
			}
		}
		lines = append(lines, kind.name, line)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("draw bytes: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
