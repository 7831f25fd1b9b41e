package measure

// point is one measured value y at the varied number x.
type point struct{ x, y float64 }

// fit is the line y = slope x + intercept.
type fit struct{ slope, intercept float64 }

// leastSquares fits a line to the points by ordinary least squares in y. If all
// points have the same x, the slope is 0 and the intercept is the mean of y.
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
