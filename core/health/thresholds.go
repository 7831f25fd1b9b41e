package health

import (
	"time"

	"galenaridge/core/fleet"
)

const (
	// baselineTTL is how long a baseline is used; it is renewed each second by the
	// steward's reply.
	baselineTTL = 10 * time.Second
	// maxTickGap is the longest time between two ticks that does not count as a
	// pause of this process.
	maxTickGap = 250 * time.Millisecond
	// resumeGrace is how long failures and latencies are ignored after a pause of
	// this process, as attempts that the pause delayed still end.
	resumeGrace = 500 * time.Millisecond
	// relapseDecayTime is the time as a healthy server after which one relapse is
	// removed.
	relapseDecayTime = 2 * time.Minute
	// idleTrialTimeout ends a trial that gets no idempotent requests, so that a
	// service without such requests does not lose the server permanently.
	idleTrialTimeout = 15 * time.Second
	// evidenceTimeout is the time without further evidence after which a suspect
	// server is reinstated even if it gets no requests.
	evidenceTimeout = 10 * time.Second
	// probeTTL is the largest age of a probe result that is compared with the
	// result of another observer.
	probeTTL = 3 * time.Second
	// minProbeInterval is the shortest time between two probes of a stalled server.
	minProbeInterval = time.Second
	// minProbeBackoff and maxProbeBackoff bound the exponential backoff between
	// probes of a dead or draining server.
	minProbeBackoff = 250 * time.Millisecond
	maxProbeBackoff = 5 * time.Second
	// slowResetTime is how long a slow server must look normal before its slow
	// period ends, as medians of few latencies vary.
	slowResetTime = 500 * time.Millisecond
	// learnedHalfLife is the time after which learned latencies have half of their
	// weight.
	learnedHalfLife = time.Minute
	// minLearned is how many latencies must be learned before they are used; a 99th
	// percentile needs 100.
	minLearned = 100
	// stallQuantile is the quantile of learned latencies that is multiplied by
	// stallFactor.
	stallQuantile = 0.99
	// maxStallShare bounds the stall threshold as a share of the longest deadline,
	// since attempts of a higher age end by their deadline.
	maxStallShare = 0.8
	// minTimeoutShare is the least duration of attempts whose timeouts are
	// evidence, as a share of the stall threshold; a caller may set a deadline
	// that no server can meet.
	minTimeoutShare = 0.5
	// minTimeouts is the number of timeouts without a success that count as a
	// stall, for callers whose deadlines are shorter than the stall threshold.
	minTimeouts = 2
)

// thresholds holds the limits of detection that a preference selects.
type thresholds struct {
	// minStallAge is the lower bound of the stall threshold. Pauses of a server
	// without a fault last up to 500 ms, plus a service time.
	minStallAge time.Duration
	// stallFactor is the ratio of the stall threshold to the learned quantile.
	stallFactor float64
	// unlearnedStallShare is the stall threshold as a share of the longest
	// deadline until enough latencies are learned.
	unlearnedStallShare float64
	// singleStallFactor multiplies the stall threshold if only one request is
	// overdue, as one slow request is weaker evidence than several.
	singleStallFactor float64
	// minOverdue is the number of requests overdue at once that count as a stall
	// even if the server responds to others; zero disables the rule. On a server
	// without a fault this is rare only if the stall threshold is far above the
	// expected latency.
	minOverdue int

	// minFailureShare is the share of failures among the latest failureAttempts
	// from which a server is failing.
	minFailureShare float64
	failureAttempts int
	// minFailuresOnly is the number of failures from which a server without a
	// success among its latest attempts is failing.
	minFailuresOnly int

	// minSlowRatio and minSlowDifference compare the median of the latest
	// slowAttempts with the baseline; a slow server reaches both.
	minSlowRatio      float64
	minSlowDifference time.Duration
	slowAttempts      int
	// minSlowBuckets is the least number of window buckets in which these attempts
	// ended. Requests that a pause delayed all end in one bucket.
	minSlowBuckets int
	// minSlowTime is how long a server must be slow before it becomes suspect,
	// longer than a restart that the owner did not notice.
	minSlowTime time.Duration
	// compareLearned allows learned latencies as the baseline if no other servers
	// are known; a change in the mix of requests may then look like a fault.
	compareLearned bool
	// warmupTime is how long latencies of a new server are not evaluated.
	warmupTime time.Duration

	// deadRefusals is the number of consecutive refused connections from which a
	// server is dead.
	deadRefusals int

	// firstEjectionTime is the duration of the first ejection; it doubles with each
	// relapse, up to maxEjectionTime.
	firstEjectionTime time.Duration
	maxEjectionTime   time.Duration
	// minSuccesses is the number of consecutive successes that ends a trial or a
	// suspicion.
	minSuccesses int
	// clearTime is how long a suspect server must be without evidence before
	// minSuccesses reinstate it.
	clearTime time.Duration
}

// thresholdsFor returns the thresholds that a preference selects.
func thresholdsFor(detect fleet.Preference) thresholds {
	if detect == fleet.Fast {
		return thresholds{
			minStallAge: 600 * time.Millisecond, stallFactor: 1.5, unlearnedStallShare: 0.15, singleStallFactor: 1,
			minFailureShare: 0.4, failureAttempts: 10, minFailuresOnly: 3,
			minSlowRatio: 2.2, minSlowDifference: 10 * time.Millisecond, slowAttempts: 6, minSlowBuckets: 4, compareLearned: true,
			warmupTime: 4 * time.Second, deadRefusals: 2,
			firstEjectionTime: 2 * time.Second, maxEjectionTime: time.Minute, minSuccesses: 3, clearTime: time.Second,
		}
	}
	return thresholds{
		minStallAge: 1500 * time.Millisecond, stallFactor: 3, unlearnedStallShare: 0.35, singleStallFactor: 1.3, minOverdue: 2,
		minFailureShare: 0.44, failureAttempts: 16, minFailuresOnly: 4,
		minSlowRatio: 2.2, minSlowDifference: 30 * time.Millisecond, slowAttempts: 16, minSlowBuckets: 8, minSlowTime: 900 * time.Millisecond,
		warmupTime: 4 * time.Second, deadRefusals: 3,
		firstEjectionTime: 4 * time.Second, maxEjectionTime: 2 * time.Minute, minSuccesses: 5, clearTime: 2 * time.Second,
	}
}

// stallAge returns the stall threshold for learned latencies and the longest
// deadline.
func (t *thresholds) stallAge(learned *histogram, deadline time.Duration) time.Duration {
	age := time.Duration(t.unlearnedStallShare * float64(deadline))
	if learned.total() >= minLearned {
		age = time.Duration(t.stallFactor * float64(learned.quantile(stallQuantile)))
	}
	limit := time.Duration(maxStallShare * float64(deadline))
	return min(max(t.minStallAge, age), limit)
}

// ejectionTime returns the duration of the n-th ejection of a server, counted
// from 1.
func (t *thresholds) ejectionTime(n int) time.Duration {
	ejectionTime := t.firstEjectionTime
	for i := 1; i < n && ejectionTime < t.maxEjectionTime; i++ {
		ejectionTime *= 2
	}
	return min(ejectionTime, t.maxEjectionTime)
}
