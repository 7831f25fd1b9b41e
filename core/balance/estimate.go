package balance

import "time"

// RequestKind names requests that take about the same time, such as those of a route.
type RequestKind string

// estimates holds the usual duration of each kind.
type estimates map[RequestKind]time.Duration

const (
	// firstShare is the share of the objective that is assumed while nothing
	// was measured.
	firstShare = 0.25
	// estimateWeight is the weight of one answer.
	estimateWeight = 0.04
	// estimateClip bounds one answer in multiples of the estimate, so that the
	// one in a hundred that takes long does not move it.
	estimateClip = 3
	// maxKinds bounds the kinds that are kept; routes come and go.
	maxKinds = 4096
)

// expected returns the usual duration of a kind.
func (e estimates) expected(kind RequestKind, objective time.Duration) time.Duration {
	if known, ok := e[kind]; ok {
		return known
	}
	return time.Duration(firstShare * float64(objective))
}

// observe takes the duration of a successful attempt.
func (e estimates) observe(kind RequestKind, before, took time.Duration) {
	if _, known := e[kind]; !known && len(e) >= maxKinds {
		clear(e)
	}
	took = min(took, estimateClip*before)
	e[kind] = before + time.Duration(estimateWeight*float64(took-before))
}
