package health

import "time"

// evidence is the result of an assessment of one server; its reason is NoReason
// if nothing indicates a failure.
type evidence struct {
	reason   Reason
	severity float64
}

// Severity of the reasons: a stalled server is worse than a server that fails
// some requests, which is worse than a slow server.
const (
	severityStalled = 3.0
	severityFailing = 1.0
	severitySlow    = 0.5
)

// comparison holds the thresholds and the baseline for the assessment of one
// server.
type comparison struct {
	thresholds *thresholds
	// stallAge is the stall threshold: requests in flight of this age are
	// overdue.
	stallAge time.Duration
	// baseline is the expected median latency; zero if not known.
	baseline time.Duration
}

// assess returns the most severe evidence against one server. Ages of requests
// in flight count up to sinceResume, the time since this process resumed after
// a pause, as a pause is no fault of the server.
func (c *comparison) assess(w *window, s *Snapshot, sinceResume time.Duration) evidence {
	overdue := c.countOverdue(s, sinceResume)
	if c.stalled(w, s, overdue, sinceResume) {
		age := min(s.OldestInFlight(), sinceResume)
		return evidence{Stalled, severityStalled + min(age.Seconds(), 10)/10}
	}
	if share := c.failureShare(w, overdue); share > 0 {
		return evidence{Failing, severityFailing + share}
	}
	if ratio := c.slowRatio(w); ratio > 0 {
		return evidence{Slow, severitySlow * min(ratio/10, 1)}
	}
	return evidence{}
}

// countOverdue returns the number of requests in flight whose age is at least
// the stall threshold.
func (c *comparison) countOverdue(s *Snapshot, sinceResume time.Duration) int {
	count := 0
	for _, age := range s.InFlightAges {
		if min(age, sinceResume) >= c.stallAge {
			count++
		}
	}
	return count
}

// stalled reports whether requests are overdue while none succeeds, or whether
// minOverdue requests are overdue at once, since a server that stalls
// intermittently responds to other requests meanwhile.
func (c *comparison) stalled(w *window, s *Snapshot, overdue int, sinceResume time.Duration) bool {
	minOverdue := c.thresholds.minOverdue
	if minOverdue > 0 && overdue >= minOverdue {
		return true
	}
	sinceSuccess := min(s.SinceSuccess, sinceResume)
	if sinceSuccess < c.stallAge {
		return false
	}
	if overdue > 1 {
		return true
	}
	singleStallAge := time.Duration(c.thresholds.singleStallFactor * float64(c.stallAge))
	if overdue == 1 && sinceSuccess >= singleStallAge && s.OldestInFlight() >= singleStallAge {
		return true
	}
	return w.sum.succeeded == 0 && w.sum.timedOut >= minTimeouts
}

// failureShare returns the share of failures among the latest attempts, or zero
// if it is acceptable. Overdue requests count as failures before they end.
func (c *comparison) failureShare(w *window, overdue int) float64 {
	limits := c.thresholds
	if w.sum.failed+overdue == 0 {
		return 0
	}
	recent := w.latestCounts(limits.failureAttempts)
	failed := recent.failed + overdue
	attempts := recent.total() + overdue
	share := float64(failed) / float64(max(attempts, 1))
	if attempts >= limits.failureAttempts && share >= limits.minFailureShare {
		return share
	}
	if recent.succeeded == 0 && failed >= limits.minFailuresOnly {
		return 1
	}
	return 0
}

// slowRatio returns the ratio of the recent median latency to the baseline, or
// zero if it is acceptable. Most of the recent buckets must be slow too.
func (c *comparison) slowRatio(w *window) float64 {
	limits := c.thresholds
	if c.baseline == 0 {
		return 0
	}
	if w.sum.latencyCount < limits.slowAttempts {
		return 0
	}
	recent, medians := w.latestLatencies(limits.slowAttempts, limits.minSlowBuckets)
	above := 0
	for _, median := range medians {
		if c.isSlow(median) {
			above++
		}
	}
	if len(medians) < limits.minSlowBuckets || 2*above <= len(medians) {
		return 0
	}
	return c.medianRatio(&recent)
}

// isSlow reports whether a latency exceeds the baseline by both the ratio and
// the difference of the thresholds.
func (c *comparison) isSlow(latency time.Duration) bool {
	limits := c.thresholds
	return c.baseline > 0 && latency-c.baseline >= limits.minSlowDifference &&
		float64(latency) >= limits.minSlowRatio*float64(c.baseline)
}

// medianRatio returns the ratio of the median of latencies to the baseline, or
// zero if it is acceptable.
func (c *comparison) medianRatio(latencies *histogram) float64 {
	median := latencies.quantile(0.5)
	if !c.isSlow(median) {
		return 0
	}
	return float64(median) / float64(c.baseline)
}
