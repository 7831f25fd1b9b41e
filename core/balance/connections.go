package balance

import "time"

// A new connection to a server costs more than a request on an idle one. Servers are used so
// evenly that a connection would often be idle for longer than it may be reused. Therefore a
// server of the own failure domain with an idle connection has a discount. One of another
// failure domain has none: an instance that can reach only few servers of its own would keep
// too few of those others in use.

const (
	// warmDiscount is the discount for a server with an idle connection. It is as large as
	// the cost of occupied slots.
	warmDiscount = 0.01
	// connectionIdleTime is the time for which an idle connection counts. It is shorter than
	// that for which io/upstream reuses one.
	connectionIdleTime = 600 * time.Millisecond
)

// idleConnections holds the times since which the connections of this instance to a server
// have been idle, as far as the ends of its attempts tell. The one that was used last is
// reused first, so there are at most as many as there were attempts at the same time.
type idleConnections struct {
	since []time.Time
	// reusableUntil is until when a connection may be reused.
	reusableUntil time.Time
}

// take removes the connection that an attempt uses.
func (c *idleConnections) take(now time.Time) {
	if !now.Before(c.reusableUntil) {
		c.since = c.since[:0]
	}
	if n := len(c.since); n > 0 {
		c.since = c.since[:n-1]
	}
	c.reusableUntil = time.Time{}
	if n := len(c.since); n > 0 {
		c.reusableUntil = c.since[n-1].Add(connectionIdleTime)
	}
}

// put adds the connection of an attempt that ended. Only a response leaves one open.
func (c *idleConnections) put(now time.Time, result Result) {
	if result == Succeeded || result == Failed || result == Shed {
		c.since = append(c.since, now)
		c.reusableUntil = now.Add(connectionIdleTime)
	}
}
