package health

import (
	"time"

	"galenaridge/core/fleet"
)

const (
	// baselineLife is how long a baseline is used; the steward renews it each
	// second.
	baselineLife = 10 * time.Second
	// gap is the longest time between two ticks that is not taken for a pause
	// of this process.
	gap = 250 * time.Millisecond
	// settleTime is how long attempts that a pause of this process delayed
	// still arrive.
	settleTime = 500 * time.Millisecond
	// decayTime is the time in health after which one relapse is forgotten.
	decayTime = 2 * time.Minute
	// idleTrial ends a trial for which no idempotent requests come, so that a
	// service without such requests does not lose the server for good.
	idleTrial = 15 * time.Second
	// staleEvidence clears a suspect server that gets no requests.
	staleEvidence = 10 * time.Second
	// probeLife is how long a probe result is compared with a later one.
	probeLife = 3 * time.Second
	// probePause is the shortest time between two probes for the same server.
	probePause = time.Second
	// firstBackoff and lastBackoff bound the time between two probes of a
	// server that refuses connections; it doubles in between.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// slowLapse is how long a slow server may look normal without starting the
	// time over; medians of few latencies vary.
	slowLapse = 500 * time.Millisecond
	// learnTime is the time after which learned latencies lose half of their
	// weight.
	learnTime = time.Minute
	// learnedEnough is how many latencies a 99th percentile needs.
	learnedEnough = 100
	// stallQuantile is the quantile of learned latencies that the stall
	// threshold is a multiple of.
	stallQuantile = 0.99
	// stallCap bounds the stall threshold as a share of the largest deadline;
	// later than that the attempts fail by their deadline anyway.
	stallCap = 0.8
	// timeoutShare is the share of the stall threshold that an attempt must
	// have lasted for its timeout to be evidence; a caller may set a deadline
	// that no server can meet.
	timeoutShare = 0.5
	// timeoutsEnough is how many timeouts without a success are a stall, for
	// callers whose deadlines are shorter than the stall threshold.
	timeoutsEnough = 2
)

// thresholds are the numbers that a preference selects.
type thresholds struct {
	// stallFloor is the shortest age of a request in flight that is a stall.
	// Pauses of a working server last up to 500 ms, plus a service time.
	stallFloor time.Duration
	// stallFactor multiplies the learned quantile.
	stallFactor float64
	// stallUnlearned is the share of the largest deadline that is the stall
	// threshold while latencies are not learned yet.
	stallUnlearned float64
	// stallSingle multiplies the threshold if only one request is overdue, as
	// one slow request is weaker evidence than several.
	stallSingle float64
	// overdueEnough is how many overdue requests at once are a stall though the
	// server answers others, or zero. Only where the stall threshold is far above
	// usual latencies is that rare on a working server.
	overdueEnough int

	// shareLimit is the share of failures among the latest shareAttempts.
	shareLimit    float64
	shareAttempts int
	// allFailed is how many failures without a success in the window suffice.
	allFailed int

	// slowRatio is the ratio of the median of the latest slowAttempts to that
	// of other servers, and slowMargin the least difference.
	slowRatio    float64
	slowMargin   time.Duration
	slowAttempts int
	// slowSpread is the least number of window buckets that these attempts
	// ended in. All requests that a pause held up end at the same time.
	slowSpread int
	// slowHold is how long a server has to be slow; it outlasts a restart that
	// the owner did not notice.
	slowHold time.Duration
	// slowAlone allows comparison with learned latencies if no other servers
	// are known; a change in the mix of requests may then look like a fault.
	slowAlone bool
	// warmup is how long a new server may be slow.
	warmup time.Duration

	// refusals is how many refused connections in a row make a server dead.
	refusals int

	// ejection is the first ejection time, which doubles up to ejectionCap.
	ejection    time.Duration
	ejectionCap time.Duration
	// successes is how many successes in a row end a trial or a suspicion.
	successes int
	// clear is how long a suspect server has to be without evidence.
	clear time.Duration
}

// thresholdsOf returns the thresholds of a preference.
func thresholdsOf(detect fleet.Preference) thresholds {
	if detect == fleet.Fast {
		return thresholds{
			stallFloor: 600 * time.Millisecond, stallFactor: 1.5, stallUnlearned: 0.15, stallSingle: 1,
			shareLimit: 0.4, shareAttempts: 10, allFailed: 3,
			slowRatio: 2.2, slowMargin: 10 * time.Millisecond, slowAttempts: 6, slowSpread: 4, slowAlone: true,
			warmup: 4 * time.Second, refusals: 2,
			ejection: 2 * time.Second, ejectionCap: time.Minute, successes: 3, clear: time.Second,
		}
	}
	return thresholds{
		stallFloor: 1500 * time.Millisecond, stallFactor: 3, stallUnlearned: 0.35, stallSingle: 1.3, overdueEnough: 2,
		shareLimit: 0.44, shareAttempts: 16, allFailed: 4,
		slowRatio: 2.2, slowMargin: 30 * time.Millisecond, slowAttempts: 16, slowSpread: 8, slowHold: 900 * time.Millisecond,
		warmup: 4 * time.Second, refusals: 3,
		ejection: 4 * time.Second, ejectionCap: 2 * time.Minute, successes: 5, clear: 2 * time.Second,
	}
}

// stallAge returns the age at which requests in flight are overdue.
func (t *thresholds) stallAge(learned *histogram, deadline time.Duration) time.Duration {
	age := time.Duration(t.stallUnlearned * float64(deadline))
	if learned.total() >= learnedEnough {
		age = time.Duration(t.stallFactor * float64(learned.quantile(stallQuantile)))
	}
	limit := time.Duration(stallCap * float64(deadline))
	return min(max(t.stallFloor, age), limit)
}

// ejectionTime returns how long a server is ejected for its n-th time.
func (t *thresholds) ejectionTime(n int) time.Duration {
	duration := t.ejection
	for i := 1; i < n && duration < t.ejectionCap; i++ {
		duration *= 2
	}
	return min(duration, t.ejectionCap)
}
