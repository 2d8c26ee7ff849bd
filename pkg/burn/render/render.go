// Package render renders a burn report as a text table or as a self-contained HTML
// page.
package render

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"radishturn.example/radishturn/pkg/burn"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
	percent    = 100
)

// Table writes the report as aligned text.
func Table(w io.Writer, r *burn.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"COLLECTION\tOBJECTIVE\tTARGET\t5m\t1h\t30m\t6h\t3d\tDATA 1h\tSTATE\tWORST"}
	for _, o := range r.Objectives {
		lines = append(lines, formatRow(o))
	}
	if _, err := fmt.Fprintln(t, strings.Join(lines, "\n")); err != nil {
		return err
	}
	return t.Flush()
}

func formatRow(o burn.ObjectiveReport) string {
	rates := make(map[time.Duration]burn.WindowReport)
	for _, w := range o.Windows {
		rates[w.Window] = w
	}
	cells := []string{string(o.Collection), string(o.Objective), fmt.Sprintf("%g%%", percent*o.TargetShare)}
	for _, window := range []time.Duration{5 * time.Minute, time.Hour, 30 * time.Minute, 6 * time.Hour, 72 * time.Hour} {
		cells = append(cells, formatRate(rates[window]))
	}
	cells = append(cells, fmt.Sprintf("%.0f%%", percent*rates[time.Hour].Present), State(o), formatCauses(o))
	return strings.Join(cells, "\t")
}

// formatRate formats a burn rate, or returns "-" if there were no requests.
func formatRate(w burn.WindowReport) string {
	if w.Counts.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", w.Rate)
}

// State returns the state of an objective as one word.
func State(o burn.ObjectiveReport) string {
	if o.Burning {
		return "BURNING"
	}
	return "ok"
}

func formatCauses(o burn.ObjectiveReport) string {
	var parts []string
	seen := make(map[burn.Dimension]bool)
	for _, c := range o.Causes {
		if !seen[c.Dimension] && c.Value != "" {
			parts = append(parts, fmt.Sprintf("%s %s %.0f%%", c.Dimension, c.Value, percent*c.Share))
		}
		seen[c.Dimension] = true
	}
	return strings.Join(parts, ", ")
}

// HTML writes the report as one page with inline SVG plots.
func HTML(w io.Writer, r *burn.Report) error {
	page := pageData{At: r.At.Format(time.RFC3339)}
	for _, o := range r.Objectives {
		svg, err := timeline(o)
		if err != nil {
			return fmt.Errorf("plot %s of %s: %w", o.Objective, o.Collection, err)
		}
		page.Sections = append(page.Sections, section{ObjectiveReport: o, State: State(o), Plot: svg})
	}
	return pageTemplate.Execute(w, page)
}

type pageData struct {
	At       string
	Sections []section
}

type section struct {
	burn.ObjectiveReport
	State string
	Plot  template.HTML
}

// timeline plots the burn rate; a span without data breaks the line.
func timeline(o burn.ObjectiveReport) (template.HTML, error) {
	if len(o.Timeline) == 0 {
		return "", nil
	}
	p := plot.New()
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	for _, segment := range splitAtGaps(o.Timeline) {
		if err := addSegment(p, segment); err != nil {
			return "", err
		}
	}
	p.Y.Max = max(p.Y.Max, 1)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(out.String(), "<svg")
	return template.HTML("<svg" + svg), nil
}

// splitAtGaps splits points wherever a span is missing between two of them.
func splitAtGaps(points []burn.Point) [][]burn.Point {
	var segments [][]burn.Point
	for i, p := range points {
		if i == 0 || p.At.Sub(points[i-1].At) > points[i-1].Width {
			segments = append(segments, nil)
		}
		last := len(segments) - 1
		segments[last] = append(segments[last], p)
	}
	return segments
}

func addSegment(p *plot.Plot, segment []burn.Point) error {
	xys := make(plotter.XYs, len(segment))
	for i, point := range segment {
		xys[i].X = float64(point.At.Unix())
		xys[i].Y = point.Rate
	}
	line, points, err := plotter.NewLinePoints(xys)
	if err != nil {
		return err
	}
	line.Color = lineColor
	points.Color = lineColor
	points.Radius = vg.Points(1)
	p.Add(line, points)
	return nil
}
