package measure

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// series is one named line of a plot.
type series struct {
	name   string
	points []point
}

// newLinePlot returns a plot of lines with points.
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

// idlePlot draws the three limits of the control cost against the number that
// a sweep changes, each as a share of its limit.
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
