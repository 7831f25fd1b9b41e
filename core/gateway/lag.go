package gateway

import "time"

const (
	// lagWeight is the weight of one tick in the mean lag.
	lagWeight = 0.2
	// slowAbove is the mean lag of ticks above which the machine counts as slow,
	// and steadyBelow that below which it no longer does. Ticks of a machine whose
	// processor is a quota come up to 0.1 s late now and then.
	slowAbove   = 80 * time.Millisecond
	steadyBelow = 25 * time.Millisecond
	// slowFor is the shortest time for which a machine counts as slow: others
	// take its place meanwhile, and its load falls with that alone.
	slowFor = 5 * time.Second
)

// lag measures how late the ticks of the control goroutine come. On a machine that
// is overloaded or slowed down, all work waits for as long as they do.
type lag struct {
	tickedAt time.Time
	mean     time.Duration
	slow     bool
	since    time.Time
}

// tick takes a tick and reports whether the machine counts as slow or no longer
// does.
func (l *lag) tick(now time.Time) (changed bool) {
	if l.tickedAt.IsZero() {
		l.tickedAt = now
	}
	late := max(now.Sub(l.tickedAt)-tickEvery, 0)
	l.tickedAt = now
	l.mean += time.Duration(lagWeight * float64(late-l.mean))
	switch {
	case !l.slow && l.mean > slowAbove:
		l.slow, l.since = true, now
		return true
	case l.slow && l.mean < steadyBelow && now.Sub(l.since) >= slowFor:
		l.slow = false
		return true
	default:
		return false
	}
}
