package health

import "time"

// evidence is what speaks against a server; its reason is NoReason if nothing
// does.
type evidence struct {
	reason  Reason
	badness float64
}

// Badness of the reasons: a stalled server is worse than one that fails some
// requests, and that is worse than a slow one.
const (
	badnessStalled = 3.0
	badnessFailing = 1.0
	badnessSlow    = 0.5
)

// comparison is what a server is judged against.
type comparison struct {
	thresholds *thresholds
	// stallAge is the age at which requests in flight are overdue.
	stallAge time.Duration
	// median is the usual latency; zero if not known.
	median time.Duration
}

// judge weighs the evidence of one server. Patience is the longest age that
// an attempt in flight can have through the fault of the server.
func (c *comparison) judge(w *window, s *Snapshot, patience time.Duration) evidence {
	overdue := c.overdue(s, patience)
	if c.stalled(w, s, overdue, patience) {
		age := min(s.OldestInFlight(), patience)
		return evidence{Stalled, badnessStalled + min(age.Seconds(), 10)/10}
	}
	if share := c.failing(w, overdue); share > 0 {
		return evidence{Failing, badnessFailing + share}
	}
	if ratio := c.slow(w); ratio > 0 {
		return evidence{Slow, badnessSlow * min(ratio/10, 1)}
	}
	return evidence{}
}

// overdue counts requests in flight that are older than the stall threshold.
func (c *comparison) overdue(s *Snapshot, patience time.Duration) int {
	count := 0
	for _, age := range s.InFlightAges {
		if min(age, patience) >= c.stallAge {
			count++
		}
	}
	return count
}

// stalled reports whether requests wait and none succeeds, or several wait at once:
// a server that stalls by turns answers others meanwhile.
func (c *comparison) stalled(w *window, s *Snapshot, overdue int, patience time.Duration) bool {
	several := c.thresholds.overdueEnough
	if several > 0 && overdue >= several {
		return true
	}
	quiet := min(s.SinceSuccess, patience)
	if quiet < c.stallAge {
		return false
	}
	if overdue > 1 {
		return true
	}
	single := time.Duration(c.thresholds.stallSingle * float64(c.stallAge))
	if overdue == 1 && quiet >= single && s.OldestInFlight() >= single {
		return true
	}
	return w.sum.succeeded == 0 && w.sum.timedOut >= timeoutsEnough
}

// failing returns the share of failures if it is too large, otherwise zero.
// Overdue requests count as failures before they end.
func (c *comparison) failing(w *window, overdue int) float64 {
	t := c.thresholds
	if w.sum.failed+overdue == 0 {
		return 0
	}
	recent := w.latest(t.shareAttempts)
	failed := recent.failed + overdue
	attempts := recent.attempts() + overdue
	share := float64(failed) / float64(max(attempts, 1))
	if attempts >= t.shareAttempts && share >= t.shareLimit {
		return share
	}
	if recent.succeeded == 0 && failed >= t.allFailed {
		return 1
	}
	return 0
}

// slow returns the ratio of the recent median to the usual one if it is too
// large, otherwise zero.
func (c *comparison) slow(w *window) float64 {
	t := c.thresholds
	if c.median == 0 {
		return 0
	}
	if w.sum.timed < t.slowAttempts {
		return 0
	}
	recent, medians := w.latestLatencies(t.slowAttempts, t.slowSpread)
	above := 0
	for _, median := range medians {
		if c.exceeds(median) {
			above++
		}
	}
	if len(medians) < t.slowSpread || 2*above <= len(medians) {
		return 0
	}
	return c.excess(&recent)
}

// exceeds reports whether a latency is too large against the usual one.
func (c *comparison) exceeds(latency time.Duration) bool {
	t := c.thresholds
	return c.median > 0 && latency-c.median >= t.slowMargin &&
		float64(latency) >= t.slowRatio*float64(c.median)
}

// excess returns the ratio of the median of some latencies to the usual one
// if it is too large, otherwise zero.
func (c *comparison) excess(latencies *histogram) float64 {
	median := latencies.quantile(0.5)
	if !c.exceeds(median) {
		return 0
	}
	return float64(median) / float64(c.median)
}
