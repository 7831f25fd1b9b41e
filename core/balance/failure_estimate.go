package balance

import (
	"math"
	"time"
)

// The model has two states: a healthy server, and a failing one, which stalls or fails
// most of its requests for some seconds although its health check passes. The estimate
// is the probability that the server is in the failing state. It relaxes towards a
// baseline over time, falls with each success, rises with each failure, and rises with
// the age of an outstanding request.
const (
	// baselineProbability is the share of servers that are failing at any time. It
	// is the first estimate for a new server, and the estimate that a server
	// without requests approaches again.
	baselineProbability = 0.25
	// relaxationRate is the rate at which an estimate returns to the baseline, in 1/s.
	// Together with the baseline it models failures that start about every 27 s and
	// last about 9 s.
	relaxationRate = 0.15
	// failingSuccessShare is the share of its requests that a failing server still
	// completes.
	failingSuccessShare = 0.3
	// errorLikelihoodRatio is the probability of an error on a failing server divided
	// by that on a healthy one, which fails about one request in a hundred.
	errorLikelihoodRatio = 40
	// stalledProbability is the estimate after an attempt that ended without a
	// response.
	stalledProbability = 0.96
	// A server becomes suspected when its estimate reaches suspectThreshold, and
	// is cleared when its estimate falls below clearThreshold.
	suspectThreshold = 0.5
	clearThreshold   = 0.15
	// minSurvival limits the effect of one outstanding request on the estimate: on a
	// healthy server, one request in a hundred takes several times the expected
	// duration.
	minSurvival = 0.012
)

// failureEstimate is the probability that a server is failing, as of updatedAt.
type failureEstimate struct {
	probability float64
	updatedAt   time.Time
}

// probabilityAt returns the probability at now, relaxed towards the baseline since the
// last update. For a time before the last update it returns the stored probability.
func (e failureEstimate) probabilityAt(now time.Time) float64 {
	elapsed := now.Sub(e.updatedAt).Seconds()
	if elapsed <= 0 {
		return e.probability
	}
	return baselineProbability + (e.probability-baselineProbability)*math.Exp(-relaxationRate*elapsed)
}

// applyLikelihood returns the probability after its odds are multiplied by a
// likelihood ratio.
func applyLikelihood(probability, ratio float64) float64 {
	odds := probability * ratio
	return odds / (odds + 1 - probability)
}

// afterSuccess returns the estimate after a successful request. Success is evidence of
// the state of the server when the request started, not when it ended.
func (e failureEstimate) afterSuccess(started time.Time) failureEstimate {
	if started.Before(e.updatedAt) {
		return failureEstimate{probability: applyLikelihood(e.probability, failingSuccessShare), updatedAt: e.updatedAt}
	}
	return failureEstimate{probability: applyLikelihood(e.probabilityAt(started), failingSuccessShare), updatedAt: started}
}

// afterError returns the estimate after an error response of the server.
func (e failureEstimate) afterError(now time.Time) failureEstimate {
	return failureEstimate{probability: applyLikelihood(e.probabilityAt(now), errorLikelihoodRatio), updatedAt: now}
}

// afterStall returns the estimate after a request that started at the given time and
// ended without a response.
func (e failureEstimate) afterStall(started time.Time) failureEstimate {
	if started.Before(e.updatedAt) {
		return failureEstimate{probability: max(e.probability, applyLikelihood(e.probability, 1/minSurvival)), updatedAt: e.updatedAt}
	}
	return failureEstimate{probability: stalledProbability, updatedAt: started}
}

// survival returns the share of requests on a healthy server that take at least the
// given multiple of the expected duration. Durations follow a log-normal distribution
// with a spread of about 0.3; one request in a hundred takes several times as long.
func survival(multiple float64) float64 {
	if multiple <= 0 {
		return 1
	}
	const spread = 0.32
	share := 0.5 * math.Erfc((math.Log(multiple)+spread*spread/2)/(spread*math.Sqrt2))
	return max(share, minSurvival)
}

// outstandingLikelihood returns the likelihood ratio (failing to healthy) of a request
// that has been outstanding for the given multiple of the expected duration.
func outstandingLikelihood(multiple float64) float64 {
	survivalShare := survival(multiple)
	return ((1 - failingSuccessShare) + failingSuccessShare*survivalShare) / survivalShare
}
