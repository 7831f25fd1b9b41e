package traffic

import "galenaridge/core/once"

// Stopping reports whether a planned stop has begun, so that callers should move
// to other instances.
func (e *Engine) Stopping() bool { return e.stopping.Load() }

// InFlight returns the number of requests in progress at this instance, from
// callers and from peers.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// RecordCounts returns the number of records of this incarnation (held) and of
// ended incarnations (inherited).
func (e *Engine) RecordCounts() (held, inherited int) {
	inherited, _ = e.importedUsage()
	return e.ledger.Load().Len(), inherited
}

// importedUsage returns the number of records of ended incarnations and the
// bytes of their stored responses.
func (e *Engine) importedUsage() (count int, memory int64) {
	e.archives.Range(func(_, value any) bool {
		archive := value.(*once.Archive)
		count += archive.Len()
		memory += archive.Memory()
		return true
	})
	return count, memory
}
