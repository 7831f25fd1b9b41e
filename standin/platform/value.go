package platform

import (
	"time"

	"galenaridge/core/fleet"
)

// entry is one published state of a value.
type entry struct {
	revision  fleet.Revision
	published time.Time
	bytes     []byte
}

// maxHistoryBytes bounds the history of a value, whose entries may hold 1 MB.
const maxHistoryBytes = 64 << 20

// history holds the recent states of one value, oldest first.
type history []entry

// add appends a state and forgets the oldest beyond the bound.
func (h history) add(e entry) history {
	h = append(h, e)
	size := 0
	for i := len(h) - 1; i >= 0; i-- {
		size += len(h[i].bytes)
		if size > maxHistoryBytes {
			return append(history(nil), h[i+1:]...)
		}
	}
	return h
}

// at returns the newest state published at or before the time.
func (h history) at(t time.Time) (entry, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].published.After(t) {
			return h[i], true
		}
	}
	return entry{}, false
}

// next returns when the first state after the time was published.
func (h history) next(t time.Time) (time.Time, bool) {
	for _, e := range h {
		if e.published.After(t) {
			return e.published, true
		}
	}
	return time.Time{}, false
}

// numbered returns the state with the revision.
func (h history) numbered(r fleet.Revision) (entry, bool) {
	for _, e := range h {
		if e.revision == r {
			return e, true
		}
	}
	return entry{}, false
}
