package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteTable prints one line for each load, by name.
func WriteTable(w io.Writer, loads map[string]Summary) {
	_, _ = fmt.Fprintf(w, "%-8s %5s %9s %9s %9s %9s %8s %8s %9s %8s\n", "load", "sent",
		Answered, Refused, Dropped, Wrong, "p50 ms", "p99 ms", "p99.9 ms", "max ms")
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		load := loads[name]
		_, _ = fmt.Fprintf(w, "%-8s %5d %9d %9d %9d %9d %8.3f %8.3f %9.3f %8.3f\n", name, load.Sent,
			load.Outcomes[Answered], load.Outcomes[Refused], load.Outcomes[Dropped], load.Outcomes[Wrong],
			Ms(load.Total, 50), Ms(load.Total, 99), Ms(load.Total, 99.9), float64(load.Total.Max())/1000)
	}
}

// plotPercentiles are drawn from left to right, each a tenth of the tail of
// the one before.
var plotPercentiles = []float64{0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Size of plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotPercentiles draws the times of several loads over their percentiles into
// a PNG file.
func PlotPercentiles(file, title string, times map[string]*hdrhistogram.Histogram) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "plot %s", file)
		}
	}()
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = "percentile"
	drawing.Y.Label.Text = "ms"
	lines := make([]any, 0, 2*len(times))
	for _, name := range slices.Sorted(maps.Keys(times)) {
		points := make(plotter.XYs, len(plotPercentiles))
		for i, percentile := range plotPercentiles {
			points[i] = plotter.XY{X: float64(i), Y: Ms(times[name], percentile)}
		}
		lines = append(lines, name, points)
	}
	ticks := make([]plot.Tick, len(plotPercentiles))
	for i, percentile := range plotPercentiles {
		ticks[i] = plot.Tick{Value: float64(i), Label: fmt.Sprint(percentile)}
	}
	drawing.X.Tick.Marker = plot.ConstantTicks(ticks)
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return err
	}
	return drawing.Save(plotWidth, plotHeight, file)
}
