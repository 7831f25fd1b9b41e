package gateway

import "time"

const (
	// lagWeight is the weight of one tick in the moving average of the lag.
	lagWeight = 0.2
	// slowThreshold is the mean lag of ticks above which the machine counts as slow,
	// and recoveredThreshold the mean lag below which it no longer does. On a machine
	// with a CPU quota, single ticks are up to 0.1 s late.
	slowThreshold      = 80 * time.Millisecond
	recoveredThreshold = 25 * time.Millisecond
	// minSlowTime is the shortest time for which a machine counts as slow. Meanwhile
	// other instances serve its callers, so its lag falls even if it has not recovered.
	minSlowTime = 5 * time.Second
)

// tickLag measures the delay of the ticks of the control goroutine. On an overloaded or
// throttled machine, all other work is delayed by as much.
type tickLag struct {
	tickedAt  time.Time
	mean      time.Duration
	slow      bool
	slowSince time.Time
}

// recordTick records a tick and reports whether the machine has become slow or has
// recovered.
func (l *tickLag) recordTick(now time.Time) (changed bool) {
	if l.tickedAt.IsZero() {
		l.tickedAt = now
	}
	lag := max(now.Sub(l.tickedAt)-tickInterval, 0)
	l.tickedAt = now
	l.mean += time.Duration(lagWeight * float64(lag-l.mean))
	switch {
	case !l.slow && l.mean > slowThreshold:
		l.slow, l.slowSince = true, now
		return true
	case l.slow && l.mean < recoveredThreshold && now.Sub(l.slowSince) >= minSlowTime:
		l.slow = false
		return true
	default:
		return false
	}
}
