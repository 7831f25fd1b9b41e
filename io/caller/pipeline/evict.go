package pipeline

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"galenaridge/io/memory"
)

// evictInterval is the shortest time between two searches for connections that can be
// closed, since a search looks at all connections.
const evictInterval = 50 * time.Millisecond

// evictor holds when connections were closed to free memory or descriptors.
type evictor struct {
	// searchedAt is when the last search began, in nanoseconds, for each reason.
	searchedAt [reasonCount]atomic.Int64
	// evictedConns and refusedConns count connections.
	evictedConns, refusedConns atomic.Int64
}

// reason is why connections are closed.
type reason uint8

const (
	forMemory reason = iota
	forDescriptors
)

const reasonCount = int(forDescriptors) + 1

// victim is a connection that can be closed.
type victim struct {
	conn  *conn
	bytes int
	idle  time.Duration
	evict func()
}

// FreeMemory closes connections that hold memory without progress, those that hold most
// first.
func (s *Server) FreeMemory() { s.evict(forMemory) }

// FreeDescriptors closes connections that are idle or make no progress.
func (s *Server) FreeDescriptors() { s.evict(forDescriptors) }

// EvictedConnections returns how many connections were closed to free memory or
// descriptors, and how many were refused.
func (s *Server) EvictedConnections() (evicted, refused int64) {
	return s.evictor.evictedConns.Load(), s.evictor.refusedConns.Load()
}

// evict closes some connections and returns their number.
func (s *Server) evict(why reason) int {
	now := s.options.Clock.Now()
	searchedAt := s.evictor.searchedAt[why].Load()
	if now.UnixNano()-searchedAt < int64(evictInterval) || !s.evictor.searchedAt[why].CompareAndSwap(searchedAt, now.UnixNano()) {
		return 0
	}
	conns := s.openConns()
	var victims []victim
	for _, c := range conns {
		if v, found := c.asVictim(now, why); found {
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(b.idle, a.idle))
	})
	// One eighth at a time, so that not all are closed where few are enough.
	if why == forMemory {
		victims = firstBytes(victims, s.options.Memory.Limit()/8)
	} else {
		victims = victims[:min(len(victims), 1+len(conns)/8)]
	}
	for _, v := range victims {
		v.evict()
	}
	s.evictor.evictedConns.Add(int64(len(victims)))
	return len(victims)
}

// firstBytes returns the first victims that hold a number of bytes.
func firstBytes(victims []victim, bytes int) []victim {
	for i, v := range victims {
		bytes -= v.bytes
		if bytes <= 0 {
			return victims[:i+1]
		}
	}
	return victims
}

// asVictim returns how the connection can be closed, if it can: a body that stalls is
// refused, and a connection whose caller does not read its response is closed. Requests
// that servers run end only with the latter. To free descriptors, idle connections are
// closed too, and those without a request so far.
func (c *conn) asVictim(now time.Time, why reason) (victim, bool) {
	v := victim{conn: c}
	reading := c.reading.Load()
	switch {
	case reading != nil && c.input.transfer.isStalled(now):
		v.bytes, v.evict = reading.Bytes(), c.input.evict
	case c.writing.isStalled(now):
		v.bytes, v.evict = int(c.pendingBytes.Load()), c.abort
	case why == forDescriptors:
		waiting, served := c.waitingFor(now)
		if !served && waiting < silentTime {
			return victim{}, false
		}
		v.idle, v.evict = waiting, c.closeIfIdle
		if !served {
			v.evict = c.abort
		}
		return v, waiting > 0
	}
	return v, v.evict != nil && (why == forDescriptors || v.bytes > memory.SmallBytes)
}

// waitingFor returns how long the connection has waited for a request, zero if it does not
// wait, and whether it has served one.
func (c *conn) waitingFor(now time.Time) (waiting time.Duration, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests > 0 || c.receiving || c.ending {
		return 0, true
	}
	return now.Sub(c.waitingSince), c.finishedRequests > 0
}
