package measure

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// series holds the points of one line of a plot, and the name of the line in
// the legend.
type series struct {
	name   string
	points []point
}

// newLinePlot returns a plot that draws each series as a line with point
// markers.
func newLinePlot(title, xLabel, yLabel string, lines ...series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Left = true
	for i, s := range lines {
		xys := make(plotter.XYs, len(s.points))
		for j, point := range s.points {
			xys[j].X, xys[j].Y = point.x, point.y
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return nil, eris.Wrapf(err, "draw %s", s.name)
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(s.name, line, dots)
	}
	p.Y.Min = 0
	return p, nil
}

// idlePlot plots the CPU, memory and control traffic of a sweep over the varied
// number, each as a percentage of its limit: 2.4% of a core, 64 MB and 9,000
// B/s.
func idlePlot(s sweep, measuredPoints []measuredPoint) (*plot.Plot, error) {
	const (
		cpuLimit   = 2.4
		rssLimit   = 64
		bytesLimit = 9000
	)
	percentOfLimit := func(limit float64, value func(usage) float64) []point {
		points := toPoints(measuredPoints, value)
		for i := range points {
			points[i].y *= 100 / limit
		}
		return points
	}
	return newLinePlot("Control cost of an idle instance", s.name, "% of the limit at 400 instances",
		series{"CPU, of 2.4% of a core", percentOfLimit(cpuLimit, func(u usage) float64 { return u.cpuPercent })},
		series{"RSS, of 64 MB", percentOfLimit(rssLimit, func(u usage) float64 { return u.rssMB })},
		series{"control bytes, of 9 KB/s", percentOfLimit(bytesLimit, usage.controlByteRate)},
	)
}
