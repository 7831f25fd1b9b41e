package balance

import (
	"math"
	"time"
)

// A server is sound or failing: it stalls or fails most of its requests for some
// seconds while its health check is good. The belief is the probability that it
// is failing. It moves towards what is usual with time, falls with each success
// and rises with each failure, and while a request is outstanding it rises with
// its age.
const (
	// usualFailing is the share of the servers that fail at any time, as seen by
	// a first request, or by one after a long pause.
	usualFailing = 0.25
	// relaxRate is how fast a belief moves towards what is usual, in 1/s. With
	// the share above it stands for failures that begin once in about 27 s and
	// last about 9 s.
	relaxRate = 0.15
	// passShare is the share of its requests that a failing server still
	// answers.
	passShare = 0.3
	// errorRatio is how much likelier an error is on a failing server than on a
	// sound one, which fails about one request in a hundred.
	errorRatio = 40
	// stalledBelief is the belief after a request brought no answer.
	stalledBelief = 0.96
	// suspectAbove and clearBelow bound the beliefs that count as a suspicion.
	suspectAbove = 0.5
	clearBelow   = 0.15
	// minSurvival bounds how much one outstanding request can tell: one request
	// in a hundred takes several times as long on a sound server.
	minSurvival = 0.012
)

// belief is the probability at a time that a server is failing.
type belief struct {
	failing float64
	at      time.Time
}

// now returns the belief at a later time.
func (b belief) now(now time.Time) float64 {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return b.failing
	}
	return usualFailing + (b.failing-usualFailing)*math.Exp(-relaxRate*elapsed)
}

// scale returns the belief with its odds multiplied by a likelihood ratio.
func scale(failing, ratio float64) float64 {
	odds := failing * ratio
	return odds / (odds + 1 - failing)
}

// passed takes a success of a request that began at a time. It tells about the
// server as it was then.
func (b belief) passed(started time.Time) belief {
	if started.Before(b.at) {
		return belief{failing: scale(b.failing, passShare), at: b.at}
	}
	return belief{failing: scale(b.now(started), passShare), at: started}
}

// erred takes an error of the server.
func (b belief) erred(now time.Time) belief {
	return belief{failing: scale(b.now(now), errorRatio), at: now}
}

// stalled takes the end of a request without an answer.
func (b belief) stalled(started time.Time) belief {
	if started.Before(b.at) {
		return belief{failing: max(b.failing, scale(b.failing, 1/minSurvival)), at: b.at}
	}
	return belief{failing: stalledBelief, at: started}
}

// survival is the share of the requests on a sound server that take at least
// the given multiple of the usual time. Durations spread by about 0.3 around the
// usual one, and one in a hundred takes several times as long.
func survival(multiple float64) float64 {
	if multiple <= 0 {
		return 1
	}
	const spread = 0.32
	share := 0.5 * math.Erfc((math.Log(multiple)+spread*spread/2)/(spread*math.Sqrt2))
	return max(share, minSurvival)
}

// outstanding returns the likelihood ratio of a request that is outstanding for
// a multiple of the usual time.
func outstanding(multiple float64) float64 {
	sound := survival(multiple)
	return ((1 - passShare) + passShare*sound) / sound
}
