package quota

import (
	"math"
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// account holds the use of one customer. Traffic and control use it under its lock.
type account struct {
	customer fleet.Customer
	key      Key

	mu sync.Mutex
	// limit is the number of requests in a window; limited is false if there is none.
	limit   float64
	limited bool
	// rate and burst are those of the limit with a part of the overage.
	rate   float64
	burst  float64
	own    window
	others window
	// total is the number of requests that this process admitted. acked is the part that
	// all others in contact know, and pending the parts in reports that not all of them have
	// acknowledged. reported is the part in the latest report.
	total    uint64
	acked    uint64
	pending  []reportedTotal
	reported uint64
	// useShare is the part of this instance in the use that all others knew at the latest
	// acknowledgement.
	useShare    float64
	ackAdvanced bool
	// credit is the number of reported requests that were taken back. The next ones take
	// their place in total.
	credit uint64
	// reserved is what instances out of contact may use, and share what this one may use
	// if it is out of contact.
	reserved float64
	share    float64
	// relayed is the largest reserve that another instance reported, which holds until
	// relayedUntil. relayDue is set if the own reserve is due to be reported.
	relayed      float64
	relayedUntil time.Time
	relayDue     bool
	// unreported is what processes that ended may have admitted without a report.
	unreported float64
	// syncEpoch is the epoch in which an instance with complete knowledge reported the
	// customer. surplus is the use in that report that no instance has reported by itself
	// yet; it is taken for theirs until surplusUntil.
	syncEpoch    uint64
	surplus      uint32
	surplusUntil time.Time
	// touched is set while the account is in the list of changed accounts.
	touched bool
	refused uint64
	// removedAt is when the customer left the configuration, zero if it is in it.
	removedAt time.Time
}

// reportedTotal is the total in a report.
type reportedTotal struct {
	total uint64
	at    time.Time
}

// state is the use of a customer at a time, with the numbers that decide on an admission.
type state struct {
	own     float64
	known   float64
	unknown float64
	// bound is what all instances may use in a window, as far as this one knows their use.
	// excess is the number of requests by which a further one would exceed the rate and the
	// burst, over the worst part of the window. part is what this instance may use before the
	// others know it.
	bound  float64
	excess float64
	part   float64
	// share is what this instance may use; negative without such a bound.
	share float64
}

// unacked returns the use that not all others in contact know.
func (a *account) unacked() uint64 {
	return a.total - min(a.acked+a.credit, a.total)
}

// reserve returns what is left to instances out of contact. Instances that never heard of
// them learn of it from others.
func (a *account) reserve(now time.Time) float64 {
	if now.Before(a.relayedUntil) {
		return max(a.reserved, a.relayed)
	}
	return a.reserved
}

// evaluate returns the numbers that decide on an admission. The lock must be held.
func (a *account) evaluate(p *policy, epoch uint64, buckets bucketer, now time.Time) state {
	bucket := buckets.bucket(now)
	a.own.advance(bucket)
	a.others.advance(bucket)
	s := state{own: float64(a.own.sum), bound: a.burst + a.rate*p.bounds.Window.Seconds(), share: -1}
	s.excess = a.excess(buckets.length.Seconds())
	s.known = s.own + float64(a.others.sum)
	s.unknown = min(float64(a.unacked()), s.own)
	even := 1 / float64(max(p.admitting, 1))
	if s.unknown == 0 || a.ackAdvanced {
		a.useShare, a.ackAdvanced = shareOfUse(s.own-s.unknown, s.known-s.unknown), false
	}
	weight := p.weight(a.useShare)
	reserved := a.reserve(now)
	s.known += reserved
	if a.syncEpoch != epoch {
		if assumed := p.assumed(now, a.rate, a.burst); assumed > 0 {
			first := buckets.bucket(p.knownSince)
			s.known = max(s.known, assumed+float64(a.own.since(first)+a.others.since(first))+reserved)
			s.bound = p.bounds.ceiling(a.limit)
			weight = even
		}
	}
	if p.admitting == 1 {
		// No other instance has to know.
		s.unknown = 0
	}
	s.part = weight * p.bounds.unknownRoom(a.limit, s.known+a.unreported-s.unknown)
	switch {
	case p.mode == Contested, p.mode == Isolated && now.Sub(p.contactAt) < p.bounds.Window:
		s.share = max(a.share, p.allowance(a.limit))
	case p.mode == Isolated:
		s.share = p.allowance(a.limit)
	}
	return s
}

// excess returns by how many requests a further one would exceed the burst and the rate, in
// the part of the window up to now for which this is most. The windows must be advanced.
func (a *account) excess(bucketSeconds float64) float64 {
	used, worst := 1.0, math.Inf(-1)
	allowed := a.burst
	for i := a.own.last; i >= max(a.own.last-windowBuckets, 0); i-- {
		used += float64(a.own.counts[i%(windowBuckets+1)] + a.others.counts[i%(windowBuckets+1)])
		worst = max(worst, used-allowed)
		allowed += a.rate * bucketSeconds
	}
	return worst
}

// reason returns why a further request is refused, Admitted if it is not.
func (s state) reason(p *policy) Reason {
	switch {
	case p.mode == Isolated:
		if s.own+1 > s.share {
			return ShareReached
		}
		return Admitted
	case s.known+1 > s.bound, s.excess > 0:
		return LimitReached
	case s.share >= 0 && s.own+1 > s.share:
		return ShareReached
	case s.unknown+1 > s.part && (s.unknown > 0 || p.bounds.Tolerance < float64(p.admitting)):
		return PartReached
	default:
		return Admitted
	}
}

// retryAfter returns the time after which enough requests have left the window for a
// further one.
func (a *account) retryAfter(s state, reason Reason, bucketLength time.Duration) time.Duration {
	var excess float64
	switch reason {
	case LimitReached:
		wait := max(s.excess, s.known+1-s.bound) / a.rate
		return min(max(time.Duration(wait*float64(time.Second)), minRetryAfter), windowBuckets*bucketLength)
	case ShareReached:
		excess = s.own + 1 - s.share
	default:
		return 2 * minRetryAfter
	}
	left := 0.0
	for i := a.own.last - windowBuckets; i <= a.own.last; i++ {
		if i < 0 {
			continue
		}
		left += float64(a.own.counts[i%(windowBuckets+1)])
		if left >= excess {
			return max(time.Duration(i-a.own.last+windowBuckets+1)*bucketLength, minRetryAfter)
		}
	}
	return windowBuckets * bucketLength
}

// possibleUse returns what an instance that lost contact may use before it notices: what it
// used, and its part of what may be used before others know it, without the part of that
// which is beyond the limit. The lock must be held.
func (a *account) possibleUse(p *policy, use, known float64) float64 {
	return use + p.weight(shareOfUse(use, known))*max(min(a.limit-known, unknownPart*a.limit), 0)
}

// removeOthers removes the use of an instance from that of the others, evenly.
func (a *account) removeOthers(use uint32) {
	if a.others.sum == 0 {
		return
	}
	left := 1 - min(float64(use)/float64(a.others.sum), 1)
	a.others.sum = 0
	for i, n := range a.others.counts {
		a.others.counts[i] = uint32(math.Ceil(float64(n) * left))
		a.others.sum += a.others.counts[i]
	}
}

// countOthers counts n requests of another instance that were admitted within the last
// buckets.
func (a *account) countOthers(n uint32, buckets int64) {
	a.others.spread(n, a.others.last, min(max(buckets, 1), spreadBuckets))
}

// shareOf returns the share of an instance that loses contact: what it used, and its part
// of the growth that is left to instances without contact.
func (a *account) shareOf(p *policy, use, known float64) float64 {
	return use + p.weight(shareOfUse(use, known))*growthPart*max(min(a.limit-known, unknownPart*a.limit), 0)
}
