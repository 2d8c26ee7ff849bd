package load

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the image and the padding between its panels.
const (
	plotWidth   = 9 * vg.Inch
	plotHeight  = 12 * vg.Inch
	plotPadding = 8 * vg.Millimeter
)

// WritePlot plots the latency distribution and the timelines of all variants.
// The extension of the file selects SVG or PNG.
func (r *Report) WritePlot(file string) (err error) {
	panels, err := r.panels()
	if err != nil {
		return fmt.Errorf("plot %s: %w", r.Experiment, err)
	}
	canvas, encode, err := newCanvas(filepath.Ext(file))
	if err != nil {
		return err
	}
	drawPanels(canvas, panels)
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	defer func() {
		if closeError := f.Close(); err == nil {
			err = closeError
		}
	}()
	_, err = encode.WriteTo(f)
	return err
}

func newCanvas(extension string) (vg.CanvasSizer, io.WriterTo, error) {
	switch strings.ToLower(extension) {
	case ".svg":
		c := vgsvg.New(plotWidth, plotHeight)
		return c, c, nil
	case ".png":
		c := vgimg.New(plotWidth, plotHeight)
		return c, vgimg.PngCanvas{Canvas: c}, nil
	}
	return nil, nil, fmt.Errorf("plot file %q: the extension must be .svg or .png", extension)
}

func drawPanels(canvas vg.CanvasSizer, panels []*plot.Plot) {
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: plotPadding}
	rows := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		rows[i] = []*plot.Plot{p}
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(row[0])
	}
}

// panelSpec describes one panel: a diagram with a line for each variant.
type panelSpec struct {
	title, x, y string
	points      func(*VariantReport) plotter.XYs
}

var panelSpecs = []panelSpec{
	{"Query latency from the intended send time", "percentile", "ms", curvePoints},
	{"Query and order latency, p99 of each second", "s", "ms", timelinePoints(func(s SecondReport) float64 { return s.P99 })},
	{"Answers of each second", "s", "answers", timelinePoints(func(s SecondReport) float64 { return float64(s.OK) })},
	{"Mean coverage", "s", "share", timelinePoints(func(s SecondReport) float64 { return s.Coverage })},
	{"Leaf requests at targets, extra ones included", "s", "requests", timelinePoints(func(s SecondReport) float64 { return float64(s.LeafRequests) })},
}

func (r *Report) panels() ([]*plot.Plot, error) {
	var plots []*plot.Plot
	for i, spec := range panelSpecs {
		p := plot.New()
		p.Title.Text = spec.title
		p.X.Label.Text, p.Y.Label.Text = spec.x, spec.y
		p.Y.Min = 0
		p.Legend.Top, p.Legend.Left = true, true
		if i == 0 {
			p.X.Tick.Marker = percentileTicks
		}
		if err := r.addLines(p, spec, i == 0); err != nil {
			return nil, err
		}
		plots = append(plots, p)
	}
	return plots, nil
}

func (r *Report) addLines(p *plot.Plot, spec panelSpec, withLegend bool) error {
	for i := range r.Variants {
		line, err := plotter.NewLine(spec.points(&r.Variants[i]))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		if withLegend {
			p.Legend.Add(r.Variants[i].Name, line)
		}
	}
	return nil
}

// percentileTicks label the x axis of curvePoints.
var percentileTicks = plot.ConstantTicks{
	{Value: 0, Label: "0"},
	{Value: 1, Label: "90"},
	{Value: 2, Label: "99"},
	{Value: 3, Label: "99.9"},
	{Value: 4, Label: "99.99"},
}

// curvePoints scales the percentiles logarithmically to spread the tail:
// x = -log10(1 - p/100), so that p90, p99 and p99.9 are at 1, 2 and 3.
func curvePoints(v *VariantReport) plotter.XYs {
	points := make(plotter.XYs, 0, len(v.Queries.Curve))
	for _, c := range v.Queries.Curve {
		points = append(points, plotter.XY{X: -math.Log10(1 - c.Percentile/100), Y: c.Milliseconds})
	}
	return nonEmptyPoints(points)
}

func timelinePoints(value func(SecondReport) float64) func(*VariantReport) plotter.XYs {
	return func(v *VariantReport) plotter.XYs {
		points := make(plotter.XYs, 0, len(v.Timeline))
		for _, s := range v.Timeline {
			if s.Sent > 0 { // 0 during Load.UnmeasuredTime
				points = append(points, plotter.XY{X: float64(s.Second), Y: value(s)})
			}
		}
		return nonEmptyPoints(points)
	}
}

// nonEmptyPoints replaces an empty line, which the plotter rejects, by the origin.
func nonEmptyPoints(points plotter.XYs) plotter.XYs {
	if len(points) == 0 {
		return plotter.XYs{{}}
	}
	return points
}
