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

// Size of the image of a report.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 20 * vg.Centimeter
)

// Mark is an event during the run that is shown as a vertical line.
type Mark struct {
	// At is the offset from the start of the run.
	At    time.Duration
	Label string
}

// Write plots the outcomes and the latency quantiles of each second of a report
// into a PNG file.
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
	output, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create a plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(output); err != nil {
		_ = output.Close()
		return eris.Wrap(err, "write a plot")
	}
	return eris.Wrap(output.Close(), "write a plot")
}

func outcomePlot(title string, seconds []bench.RequestCounts, marks []Mark) (*plot.Plot, error) {
	floatCount := func(field func(bench.RequestCounts) int) func(bench.RequestCounts) float64 {
		return func(s bench.RequestCounts) float64 { return float64(field(s)) }
	}
	return plotSeries(title, "requests per second", seconds, marks, []series{
		{"offered", floatCount(func(s bench.RequestCounts) int { return s.Offered })},
		{"good", floatCount(func(s bench.RequestCounts) int { return s.Good })},
		{"not run", floatCount(func(s bench.RequestCounts) int { return s.NotRun })},
		{"unknown", floatCount(func(s bench.RequestCounts) int { return s.Unknown })},
		{"wrong", floatCount(func(s bench.RequestCounts) int { return s.Wrong })},
	})
}

func latencyPlot(seconds []bench.RequestCounts, marks []Mark) (*plot.Plot, error) {
	milliseconds := func(field func(bench.RequestCounts) jsontime.Duration) func(bench.RequestCounts) float64 {
		return func(s bench.RequestCounts) float64 { return float64(field(s)) / float64(time.Millisecond) }
	}
	return plotSeries("", "latency of responses, ms", seconds, marks, []series{
		{"p50", milliseconds(func(s bench.RequestCounts) jsontime.Duration { return s.P50 })},
		{"p99", milliseconds(func(s bench.RequestCounts) jsontime.Duration { return s.P99 })},
		{"max, all outcomes", milliseconds(func(s bench.RequestCounts) jsontime.Duration { return s.MaxLatency })},
	})
}

// series is a line of a plot with one value per second.
type series struct {
	name  string
	value func(bench.RequestCounts) float64
}

func plotSeries(title, unit string, seconds []bench.RequestCounts, marks []Mark, allSeries []series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	maxY := 0.0
	for i, s := range allSeries {
		points := make(plotter.XYs, len(seconds))
		for j, counts := range seconds {
			points[j].X, points[j].Y = float64(j), s.value(counts)
			maxY = max(maxY, points[j].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrapf(err, "draw %s", s.name)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	p.Y.Min = 0
	return p, addMarks(p, marks, maxY)
}

// addMarks draws a vertical line with a label for each mark.
func addMarks(p *plot.Plot, marks []Mark, maxY float64) error {
	for _, m := range marks {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: maxY}})
		if err != nil {
			return eris.Wrap(err, "draw a mark")
		}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: maxY}}, Labels: []string{m.Label}})
		if err != nil {
			return eris.Wrap(err, "label a mark")
		}
		p.Add(line, label)
	}
	return nil
}
