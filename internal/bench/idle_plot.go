package bench

import (
	"image/color"
	"os"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Sizes of the plot.
const (
	idlePlotWidth  = 28 * vg.Centimeter
	idlePlotHeight = 12 * vg.Centimeter
	idlePointSize  = 3
)

// plotIdle draws the frontier of both price settings side by side: idle
// accelerator hours against the mean wait of a request, with every strategy.
func plotIdle(result *IdleResult, name string) error {
	image := vgimg.New(idlePlotWidth, idlePlotHeight)
	tiles := draw.Tiles{Rows: 1, Cols: 2, PadX: vg.Centimeter, PadLeft: vg.Millimeter, PadRight: vg.Centimeter}
	canvas := draw.New(image)
	for i, side := range []struct {
		title string
		costs IdleCosts
	}{{"wreaths", result.Wreaths}, {"pedals", result.Pedals}} {
		p, err := frontier(side.title, side.costs)
		if err != nil {
			return errors.Wrapf(err, "plot %s", side.title)
		}
		p.Draw(tiles.At(canvas, i, 0))
	}
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if _, err = (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	return nil
}

// Axes are logarithmic; values below these are drawn at them.
const (
	leastHours = 0.1
	leastWait  = 0.001
)

// policyColour marks the product's policy.
var policyColour = color.RGBA{R: 200, A: 255}

func pointOf(outcome IdleOutcome) plotter.XY {
	return plotter.XY{X: max(leastHours, outcome.IdleAcceleratorHours), Y: max(leastWait, outcome.ColdStartMeanS)}
}

// frontier draws one price setting. A line joins what the policy gives at other
// prices.
func frontier(title string, costs IdleCosts) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "mean wait of a request for a load, s"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	if len(costs.Frontier) > 0 {
		line := make(plotter.XYs, 0, len(costs.Frontier))
		for _, point := range costs.Frontier {
			line = append(line, pointOf(point.IdleOutcome))
		}
		drawn, err := plotter.NewLine(line)
		if err != nil {
			return nil, errors.Wrap(err, "frontier")
		}
		drawn.Color = policyColour
		p.Add(drawn)
	}
	for _, outcome := range costs.Strategies {
		points := plotter.XYs{pointOf(outcome)}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, errors.Wrap(err, outcome.Name)
		}
		scatter.Radius = vg.Points(idlePointSize)
		scatter.Shape = draw.CircleGlyph{}
		if outcome.Name == contenders()[0].name {
			scatter.Color = policyColour
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: []string{" " + outcome.Name}})
		if err != nil {
			return nil, errors.Wrap(err, outcome.Name)
		}
		p.Add(scatter, labels)
	}
	return p, nil
}
