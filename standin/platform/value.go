package platform

import (
	"time"

	"galenaridge/core/fleet"
)

// publication is one published revision of a value.
type publication struct {
	revision    fleet.Revision
	publishedAt time.Time
	encoded     []byte
}

// maxHistoryBytes is the maximum total size of the history of a value. A single
// revision may have 1 MB.
const maxHistoryBytes = 64 << 20

// history holds the recent revisions of one value, oldest first.
type history []publication

// add appends a revision and drops the oldest ones beyond maxHistoryBytes.
func (h history) add(p publication) history {
	h = append(h, p)
	size := 0
	for i := len(h) - 1; i >= 0; i-- {
		size += len(h[i].encoded)
		if size > maxHistoryBytes {
			return append(history(nil), h[i+1:]...)
		}
	}
	return h
}

// latestAt returns the newest revision published at or before the given time.
func (h history) latestAt(t time.Time) (publication, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if !h[i].publishedAt.After(t) {
			return h[i], true
		}
	}
	return publication{}, false
}

// nextAfter returns the publication time of the first revision published after the
// given time.
func (h history) nextAfter(t time.Time) (time.Time, bool) {
	for _, p := range h {
		if p.publishedAt.After(t) {
			return p.publishedAt, true
		}
	}
	return time.Time{}, false
}

// withRevision returns the publication with the given revision number.
func (h history) withRevision(r fleet.Revision) (publication, bool) {
	for _, p := range h {
		if p.revision == r {
			return p, true
		}
	}
	return publication{}, false
}
