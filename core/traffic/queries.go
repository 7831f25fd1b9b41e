package traffic

import "galenaridge/core/once"

// Stopping reports whether callers should move to other instances.
func (e *Engine) Stopping() bool { return e.stopping.Load() }

// InFlight counts the requests that this instance works on.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// RecordCounts counts the records of this incarnation and those of ended ones
// that this instance answers from.
func (e *Engine) RecordCounts() (held, inherited int) {
	return e.ledger.Load().Len(), e.imported()
}

func (e *Engine) imported() int {
	count := 0
	e.archives.Range(func(_, archive any) bool {
		count += archive.(*once.Archive).Len()
		return true
	})
	return count
}
