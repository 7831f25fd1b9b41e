package listing

import "galenaridge/core/fleet"

// kept is the number of deltas that a history holds. At 5,000 changes a day it
// covers more than ten minutes, and an instance that is further behind reads
// the whole list once.
const kept = 64

// History holds the latest deltas in order. It is an immutable value; the zero
// value is empty.
type History struct{ deltas []Delta }

// Add returns the history with one more delta. Deltas that do not lead to the
// new one are dropped.
func (h History) Add(d Delta) History {
	deltas := h.deltas
	if len(deltas) > 0 && deltas[len(deltas)-1].To != d.From {
		deltas = nil
	}
	if len(deltas) >= kept {
		deltas = deltas[len(deltas)-kept+1:]
	}
	next := make([]Delta, 0, len(deltas)+1)
	return History{deltas: append(append(next, deltas...), d)}
}

// Since returns the delta from a revision to the latest, and false if the
// history does not reach back to it.
func (h History) Since(known fleet.Revision) (Delta, bool) {
	for i, d := range h.deltas {
		if d.From != known {
			continue
		}
		joined := d
		for _, next := range h.deltas[i+1:] {
			// Deltas in a history follow each other, so joining cannot fail.
			joined, _ = Compose(joined, next)
		}
		return joined, true
	}
	return Delta{}, false
}
