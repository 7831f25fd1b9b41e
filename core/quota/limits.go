package quota

import (
	"time"

	"galenaridge/core/fleet"
)

// SetLimits sets the limits of a version of the configuration. A change takes effect at
// once; what was counted stays counted, also of a customer that returns within two windows.
func (l *Limiter) SetLimits(now time.Time, version fleet.Version, limits []Limit) {
	if !l.Enabled() || version < l.version {
		return
	}
	l.version = version
	before := l.accounts.Load()
	after := &accounts{
		byCustomer: make(map[fleet.Customer]*account, len(limits)),
		byKey:      make(map[Key][]*account, len(limits)),
	}
	old := make(map[fleet.Customer]*account, len(before.all))
	for _, a := range before.all {
		old[a.customer] = a
	}
	listed := make(map[fleet.Customer]bool, len(limits))
	for _, limit := range limits {
		a := old[limit.Customer]
		if a == nil {
			a = &account{customer: limit.Customer, key: KeyOf(limit.Customer)}
		}
		a.setLimit(limit, l.options.Bounds)
		listed[limit.Customer] = true
		after.byCustomer[limit.Customer] = a
		after.add(a)
	}
	for _, a := range before.all {
		if !listed[a.customer] && !a.expired(now, 2*l.options.Bounds.Window) {
			after.add(a)
		}
	}
	l.accounts.Store(after)
}

// add adds an account whose reports are counted.
func (t *accounts) add(a *account) {
	t.all = append(t.all, a)
	t.byKey[a.key] = append(t.byKey[a.key], a)
}

// setLimit changes the limit of a customer of the configuration.
func (a *account) setLimit(limit Limit, bounds Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limited = limit.RatePerSecond > 0
	a.limit = limit.RatePerSecond*bounds.Window.Seconds() + limit.Burst
	a.rate = limit.RatePerSecond * (1 + slackPart*bounds.Overage)
	a.burst = limit.Burst*(1+slackPart*bounds.Overage) + slackPart*bounds.Tolerance
	a.burst = max(a.burst, 1)
	a.removedAt = time.Time{}
}

// expired reports whether a customer has left the configuration for longer than a time.
func (a *account) expired(now time.Time, after time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.removedAt.IsZero() {
		a.removedAt = now
	}
	return now.Sub(a.removedAt) > after
}
