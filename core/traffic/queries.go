package traffic

import "galenaridge/core/once"

// Stopping reports whether callers should move to other instances.
func (e *Engine) Stopping() bool { return e.stopping.Load() }

// InFlight counts the requests that this instance works on.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// RecordCounts counts the records of this incarnation and those of ended ones
// that this instance answers from.
func (e *Engine) RecordCounts() (held, inherited int) {
	inherited, _ = e.imported()
	return e.ledger.Load().Len(), inherited
}

// imported counts the records of ended incarnations and the bytes of their
// stored responses.
func (e *Engine) imported() (count int, memory int64) {
	e.archives.Range(func(_, found any) bool {
		archive := found.(*once.Archive)
		count += archive.Len()
		memory += archive.Memory()
		return true
	})
	return count, memory
}
