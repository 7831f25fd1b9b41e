package listing

import "galenaridge/core/fleet"

// maxDeltas bounds the deltas in a history. At 5,000 changes a day they cover more than
// ten minutes. An instance that is further behind fetches the complete list once.
const maxDeltas = 64

// History holds the latest deltas in order. It is an immutable value. The zero value is
// an empty history.
type History struct{ deltas []Delta }

// Add returns the history with one more delta. If the delta does not start where the
// last one ends, all earlier deltas are dropped.
func (h History) Add(d Delta) History {
	deltas := h.deltas
	if len(deltas) > 0 && deltas[len(deltas)-1].To != d.From {
		deltas = nil
	}
	if len(deltas) >= maxDeltas {
		deltas = deltas[len(deltas)-maxDeltas+1:]
	}
	next := make([]Delta, 0, len(deltas)+1)
	return History{deltas: append(append(next, deltas...), d)}
}

// Since returns the delta from a known revision to the latest one, or false if no delta
// in the history starts at the known revision.
func (h History) Since(known fleet.Revision) (Delta, bool) {
	for i, d := range h.deltas {
		if d.From != known {
			continue
		}
		composed := d
		for _, next := range h.deltas[i+1:] {
			// Deltas in a history are consecutive, so Compose cannot fail.
			composed, _ = Compose(composed, next)
		}
		return composed, true
	}
	return Delta{}, false
}
