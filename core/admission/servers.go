package admission

import (
	"math/bits"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

const (
	// maxSlots is the largest number of slots of a server; one word holds them.
	maxSlots = 64
	// maxRank bounds the ranks of free slots that are told apart when a server
	// is chosen; deployments use 2 and 4 slots.
	maxRank = 8
)

// server is one server with its slots in use.
type server struct {
	id       fleet.ServerID
	slots    int
	use      Use
	until    time.Time
	draining bool
	// listed is false after the server was left out of SetServers.
	listed bool
	// busy has a bit for each slot in use.
	busy uint64
	// idle is closed when no request is in flight; nil if nobody waits.
	idle chan struct{}
	// rank is the free list that holds the server; zero if none does.
	rank int
	// index is the position in that list.
	index int
}

// limit returns how many requests the server may get at a time.
func (s *server) limit() int {
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
func (s *server) inFlight() int { return bits.OnesCount64(s.busy) }

// free returns how many more requests the server may get.
func (s *server) free() int { return max(s.limit()-s.inFlight(), 0) }

// take marks the lowest free slot as used and returns its index.
func (s *server) take() int {
	slot := bits.TrailingZeros64(^s.busy)
	s.busy |= 1 << slot
	return slot
}

// freeLists holds servers of one use by their number of free slots, so that a
// choice does not depend on the number of servers.
type freeLists struct {
	lists [maxRank + 1][]*server
	// turn rotates the choice among servers of the same rank; it rises with
	// each insertion.
	turn int
}

// remove takes a server out of its list.
func (f *freeLists) remove(s *server) {
	list := f.lists[s.rank]
	last := list[len(list)-1]
	list[s.index] = last
	last.index = s.index
	f.lists[s.rank] = list[:len(list)-1]
	s.rank = 0
}

// insert puts a server into the list of its rank.
func (f *freeLists) insert(s *server) {
	f.turn++
	s.rank = min(s.free(), maxRank)
	s.index = len(f.lists[s.rank])
	f.lists[s.rank] = append(f.lists[s.rank], s)
}

// any reports whether a server has a free slot.
func (f *freeLists) any() bool {
	for _, list := range f.lists {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// choose returns a server with the most free slots that is not excluded; nil
// if there is none.
func (f *freeLists) choose(exclude []fleet.ServerID) *server {
	for rank := maxRank; rank > 0; rank-- {
		list := f.lists[rank]
		for i := range min(len(list), len(exclude)+1) {
			s := list[(f.turn+i)%len(list)]
			if !slices.Contains(exclude, s.id) {
				return s
			}
		}
	}
	return nil
}

// servers holds all servers of a pool.
type servers struct {
	byID map[fleet.ServerID]*server
	free [Trial + 1]freeLists
	// slots counts the slots that any request may get, and trials those for
	// idempotent requests only.
	slots  int
	trials int
	busy   int
	// draining counts listed servers that are drained.
	draining int
	// nextLapse is the earliest end of a use; zero if none ends.
	nextLapse time.Time
}

// update runs a change of one server and keeps lists and counts right.
func (t *servers) update(s *server, change func(*server)) {
	if s.rank > 0 {
		t.free[s.use].remove(s)
	}
	t.count(s, -1)
	change(s)
	t.count(s, 1)
	if s.free() > 0 {
		t.free[s.use].insert(s)
	}
	if s.busy != 0 {
		return
	}
	if s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
	if !s.listed {
		delete(t.byID, s.id)
	}
}

// count adds a server to the counts, or subtracts it.
func (t *servers) count(s *server, sign int) {
	if s.use == Trial {
		t.trials += sign * s.limit()
	} else {
		t.slots += sign * s.limit()
	}
	t.busy += sign * s.inFlight()
	if s.listed && s.draining {
		t.draining += sign
	}
}

// set replaces the list of servers.
func (t *servers) set(listed []ServerSlots) {
	keep := make(map[fleet.ServerID]bool, len(listed))
	for _, l := range listed {
		keep[l.Server] = true
		s, known := t.byID[l.Server]
		if !known {
			s = &server{id: l.Server}
			t.byID[l.Server] = s
		}
		t.update(s, func(s *server) {
			s.listed = true
			s.slots = min(int(l.Slots), maxSlots)
			s.use = l.Use
			s.until = l.UseUntil
		})
	}
	for id, s := range t.byID {
		if !keep[id] {
			t.update(s, func(s *server) { s.listed, s.draining = false, false })
		}
	}
	t.schedule()
}

// schedule finds the earliest end of a use.
func (t *servers) schedule() {
	t.nextLapse = time.Time{}
	for _, s := range t.byID {
		if !s.until.IsZero() && (t.nextLapse.IsZero() || s.until.Before(t.nextLapse)) {
			t.nextLapse = s.until
		}
	}
}

// lapse ends the uses whose time has passed.
func (t *servers) lapse(now time.Time) {
	if t.nextLapse.IsZero() || now.Before(t.nextLapse) {
		return
	}
	for _, s := range t.byID {
		if s.until.IsZero() || now.Before(s.until) {
			continue
		}
		t.update(s, func(s *server) { s.use, s.until = LastResort, time.Time{} })
	}
	t.schedule()
}

// choose returns a server for a request; nil if no slot is free for it.
// Servers on trial come first, as they would get no requests otherwise.
func (t *servers) choose(ask *Request) *server {
	if ask.Idempotent {
		if s := t.free[Trial].choose(ask.Exclude); s != nil {
			return s
		}
	}
	if s := t.free[Normal].choose(ask.Exclude); s != nil {
		return s
	}
	return t.free[LastResort].choose(ask.Exclude)
}

// anyFree reports whether a slot is free, and whether one is free for
// idempotent requests only.
func (t *servers) anyFree() (general, trial bool) {
	return t.free[Normal].any() || t.free[LastResort].any(), t.free[Trial].any()
}

// capacity returns the number of slots that a request may ever get.
func (t *servers) capacity(ask *Request) int {
	sum := t.slots
	if ask.Idempotent {
		sum += t.trials
	}
	for _, id := range ask.Exclude {
		s, known := t.byID[id]
		if known && (s.use != Trial || ask.Idempotent) {
			sum -= s.limit()
		}
	}
	return sum
}
