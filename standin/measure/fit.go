package measure

// point is one measured pair.
type point struct{ x, y float64 }

// fit is the line y = slope x + intercept.
type fit struct{ slope, intercept float64 }

// leastSquares returns the line with the least sum of squared distances in y.
// Points that all have the same x give a slope of 0.
func leastSquares(points []point) fit {
	if len(points) == 0 {
		return fit{}
	}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
	}
	if xx == 0 {
		return fit{intercept: meanY}
	}
	slope := xy / xx
	return fit{slope: slope, intercept: meanY - slope*meanX}
}
