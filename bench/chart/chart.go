package chart

import (
	"os"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"galenaridge/bench"
	"galenaridge/standin/jsontime"
)

// Size of a plot of a report.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
)

// Mark is an event that a plot shows at its time of the run.
type Mark struct {
	At    time.Duration
	Label string
}

// Write writes the outcomes and the latency quantiles of each second of a
// report to a PNG file.
func Write(file, title string, r bench.Report, marks []Mark) error {
	outcomes, err := outcomePlot(title, r.Seconds, marks)
	if err != nil {
		return err
	}
	latencies, err := latencyPlot(r.Seconds, marks)
	if err != nil {
		return err
	}
	image := vgimg.New(plotWidth, plotHeight)
	plots := [][]*plot.Plot{{outcomes}, {latencies}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: 5 * vg.Millimeter, PadX: 5 * vg.Millimeter}
	canvases := plot.Align(plots, tiles, draw.New(image))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	return writePNG(file, image)
}

func writePNG(file string, image *vgimg.Canvas) error {
	out, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create a plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(out); err != nil {
		_ = out.Close()
		return eris.Wrap(err, "write a plot")
	}
	return eris.Wrap(out.Close(), "write a plot")
}

func outcomePlot(title string, seconds []bench.RequestCounts, marks []Mark) (*plot.Plot, error) {
	count := func(of func(bench.RequestCounts) int) func(bench.RequestCounts) float64 {
		return func(s bench.RequestCounts) float64 { return float64(of(s)) }
	}
	return plotSeconds(title, "requests a second", seconds, marks, []line{
		{"offered", count(func(s bench.RequestCounts) int { return s.Offered })},
		{"good", count(func(s bench.RequestCounts) int { return s.Good })},
		{"not run", count(func(s bench.RequestCounts) int { return s.NotRun })},
		{"unknown", count(func(s bench.RequestCounts) int { return s.Unknown })},
		{"wrong", count(func(s bench.RequestCounts) int { return s.Wrong })},
	})
}

func latencyPlot(seconds []bench.RequestCounts, marks []Mark) (*plot.Plot, error) {
	millis := func(of func(bench.RequestCounts) jsontime.Duration) func(bench.RequestCounts) float64 {
		return func(s bench.RequestCounts) float64 { return float64(of(s)) / float64(time.Millisecond) }
	}
	return plotSeconds("", "latency of answers, ms", seconds, marks, []line{
		{"p50", millis(func(s bench.RequestCounts) jsontime.Duration { return s.P50 })},
		{"p99", millis(func(s bench.RequestCounts) jsontime.Duration { return s.P99 })},
		{"slowest end", millis(func(s bench.RequestCounts) jsontime.Duration { return s.MaxLatency })},
	})
}

// line is one quantity of each second.
type line struct {
	name string
	of   func(bench.RequestCounts) float64
}

func plotSeconds(title, unit string, seconds []bench.RequestCounts, marks []Mark, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	highest := 0.0
	for i, l := range lines {
		xys := make(plotter.XYs, len(seconds))
		for j, s := range seconds {
			xys[j].X, xys[j].Y = float64(j), l.of(s)
			highest = max(highest, xys[j].Y)
		}
		drawn, err := plotter.NewLine(xys)
		if err != nil {
			return nil, eris.Wrapf(err, "draw %s", l.name)
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Min = 0
	return p, addMarks(p, marks, highest)
}

// addMarks draws a vertical line with a label for each mark.
func addMarks(p *plot.Plot, marks []Mark, highest float64) error {
	for _, m := range marks {
		x := m.At.Seconds()
		drawn, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: highest}})
		if err != nil {
			return eris.Wrap(err, "draw a mark")
		}
		drawn.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: highest}}, Labels: []string{m.Label}})
		if err != nil {
			return eris.Wrap(err, "label a mark")
		}
		p.Add(drawn, label)
	}
	return nil
}
