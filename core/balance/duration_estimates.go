package balance

import "time"

// RequestKind identifies requests of similar duration, such as the requests of one
// route.
type RequestKind string

// durationEstimates maps each kind to the moving average of its duration.
type durationEstimates map[RequestKind]time.Duration

const (
	// initialShare is the fraction of the latency objective that is expected before
	// the first measurement.
	initialShare = 0.25
	// durationWeight is the weight of one measurement in the moving average.
	durationWeight = 0.04
	// maxDurationFactor limits one measurement to a multiple of the estimate, so that
	// rare slow requests do not shift it.
	maxDurationFactor = 3
	// maxKinds limits the map, since kinds of removed routes stay in it. All estimates
	// are dropped when it is full.
	maxKinds = 4096
)

// expected returns the expected duration of a kind of request.
func (e durationEstimates) expected(kind RequestKind, objective time.Duration) time.Duration {
	if known, ok := e[kind]; ok {
		return known
	}
	return time.Duration(initialShare * float64(objective))
}

// observe adds the duration of a successful attempt to the average. The estimate is
// the duration that was expected when the attempt started.
func (e durationEstimates) observe(kind RequestKind, estimate, measured time.Duration) {
	if _, known := e[kind]; !known && len(e) >= maxKinds {
		clear(e)
	}
	measured = min(measured, maxDurationFactor*estimate)
	e[kind] = estimate + time.Duration(durationWeight*float64(measured-estimate))
}
