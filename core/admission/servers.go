package admission

import (
	"math/bits"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

const (
	// maxSlots is the largest number of slots of a server, as one word holds a bit
	// for each.
	maxSlots = 64
	// maxRank is the number of free slots from which servers have the same rank
	// when one is chosen; deployments use 2 and 4 slots.
	maxRank = 8
)

// server is one server of a pool and the state of its slots.
type server struct {
	id       fleet.ServerID
	slots    int
	use      Use
	useUntil time.Time
	draining bool
	// listed is false after a call of SetServers without the server.
	listed bool
	// busySlots has a bit for each slot in use.
	busySlots uint64
	// idleSignal is closed when no request is in flight; nil if Drain was not
	// called.
	idleSignal chan struct{}
	// rank is the index of the free list that holds the server; zero if the server
	// is in no list.
	rank int
	// rankIndex is the position of the server in its free list.
	rankIndex int
}

// maxRequests returns the number of requests that the server may have in flight.
func (s *server) maxRequests() int {
	switch {
	case !s.listed || s.draining || s.use == None:
		return 0
	case s.use == Trial:
		return min(s.slots, 1)
	default:
		return s.slots
	}
}

// inFlight returns the number of slots in use.
func (s *server) inFlight() int { return bits.OnesCount64(s.busySlots) }

// freeSlots returns the number of further requests that the server may get.
func (s *server) freeSlots() int { return max(s.maxRequests()-s.inFlight(), 0) }

// takeSlot marks the lowest free slot as busy and returns its index.
func (s *server) takeSlot() int {
	slot := bits.TrailingZeros64(^s.busySlots)
	s.busySlots |= 1 << slot
	return slot
}

// freeLists holds the servers of one use by their number of free slots, so that
// the cost of a choice does not depend on the number of servers.
type freeLists struct {
	lists [maxRank + 1][]*server
	// rotation is the offset of the choice among servers of the same rank; each
	// insertion increments it.
	rotation int
}

func (f *freeLists) remove(s *server) {
	list := f.lists[s.rank]
	last := list[len(list)-1]
	list[s.rankIndex] = last
	last.rankIndex = s.rankIndex
	f.lists[s.rank] = list[:len(list)-1]
	s.rank = 0
}

// insert adds a server to the list of its rank.
func (f *freeLists) insert(s *server) {
	f.rotation++
	s.rank = min(s.freeSlots(), maxRank)
	s.rankIndex = len(f.lists[s.rank])
	f.lists[s.rank] = append(f.lists[s.rank], s)
}

// hasServer reports whether a server has a free slot.
func (f *freeLists) hasServer() bool {
	for _, list := range f.lists {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// choose returns one of the servers with the most free slots that are not
// excluded; nil if there is none.
func (f *freeLists) choose(exclude []fleet.ServerID) *server {
	for rank := maxRank; rank > 0; rank-- {
		list := f.lists[rank]
		for i := range min(len(list), len(exclude)+1) {
			s := list[(f.rotation+i)%len(list)]
			if !slices.Contains(exclude, s.id) {
				return s
			}
		}
	}
	return nil
}

// serverSet holds all servers of a pool.
type serverSet struct {
	byID map[fleet.ServerID]*server
	free [Trial + 1]freeLists
	// generalSlots counts the slots that any request may get, and trialSlots the
	// slots for idempotent requests only.
	generalSlots int
	trialSlots   int
	busySlots    int
	// drainingCount is the number of listed servers that are draining.
	drainingCount int
	// nextUseEnd is the earliest end of the use of a server; zero if no use ends.
	nextUseEnd time.Time
}

// update changes one server and updates the free lists and counts. It removes the
// server if it is neither listed nor busy.
func (t *serverSet) update(s *server, change func(*server)) {
	if s.rank > 0 {
		t.free[s.use].remove(s)
	}
	t.adjustCounts(s, -1)
	change(s)
	t.adjustCounts(s, 1)
	if s.freeSlots() > 0 {
		t.free[s.use].insert(s)
	}
	if s.busySlots != 0 {
		return
	}
	if s.idleSignal != nil {
		close(s.idleSignal)
		s.idleSignal = nil
	}
	if !s.listed {
		delete(t.byID, s.id)
	}
}

// adjustCounts adds a server to the counts if sign is 1 and subtracts it if sign
// is -1.
func (t *serverSet) adjustCounts(s *server, sign int) {
	if s.use == Trial {
		t.trialSlots += sign * s.maxRequests()
	} else {
		t.generalSlots += sign * s.maxRequests()
	}
	t.busySlots += sign * s.inFlight()
	if s.listed && s.draining {
		t.drainingCount += sign
	}
}

// replace replaces the list of servers. Unlisted servers that are busy stay in
// the set until their requests end.
func (t *serverSet) replace(listed []ServerSlots) {
	keep := make(map[fleet.ServerID]bool, len(listed))
	for _, entry := range listed {
		keep[entry.Server] = true
		s, known := t.byID[entry.Server]
		if !known {
			s = &server{id: entry.Server}
			t.byID[entry.Server] = s
		}
		t.update(s, func(s *server) {
			s.listed = true
			s.slots = min(int(entry.Slots), maxSlots)
			s.use = entry.Use
			s.useUntil = entry.UseUntil
		})
	}
	for id, s := range t.byID {
		if !keep[id] {
			t.update(s, func(s *server) { s.listed, s.draining = false, false })
		}
	}
	t.updateNextUseEnd()
}

// updateNextUseEnd updates the earliest end of the use of a server.
func (t *serverSet) updateNextUseEnd() {
	t.nextUseEnd = time.Time{}
	for _, s := range t.byID {
		if !s.useUntil.IsZero() && (t.nextUseEnd.IsZero() || s.useUntil.Before(t.nextUseEnd)) {
			t.nextUseEnd = s.useUntil
		}
	}
}

// endExpiredUses changes the use of servers whose use has ended to LastResort.
func (t *serverSet) endExpiredUses(now time.Time) {
	if t.nextUseEnd.IsZero() || now.Before(t.nextUseEnd) {
		return
	}
	for _, s := range t.byID {
		if s.useUntil.IsZero() || now.Before(s.useUntil) {
			continue
		}
		t.update(s, func(s *server) { s.use, s.useUntil = LastResort, time.Time{} })
	}
	t.updateNextUseEnd()
}

// choose returns a server for a request; nil if no slot is free for it.
// Servers on trial come first, as they would get no requests otherwise.
func (t *serverSet) choose(request *Request) *server {
	if request.Idempotent {
		if s := t.free[Trial].choose(request.Exclude); s != nil {
			return s
		}
	}
	if s := t.free[Normal].choose(request.Exclude); s != nil {
		return s
	}
	return t.free[LastResort].choose(request.Exclude)
}

// anyFree reports whether a slot is free, and whether one is free for
// idempotent requests only.
func (t *serverSet) anyFree() (general, trial bool) {
	return t.free[Normal].hasServer() || t.free[LastResort].hasServer(), t.free[Trial].hasServer()
}

// usableSlots returns the number of slots, free or busy, that a request may get.
func (t *serverSet) usableSlots(request *Request) int {
	sum := t.generalSlots
	if request.Idempotent {
		sum += t.trialSlots
	}
	for _, id := range request.Exclude {
		s, known := t.byID[id]
		if known && (s.use != Trial || request.Idempotent) {
			sum -= s.maxRequests()
		}
	}
	return sum
}
