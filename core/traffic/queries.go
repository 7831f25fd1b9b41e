package traffic

// Stopping reports whether callers should move to other instances.
func (e *Engine) Stopping() bool { return e.stopping.Load() }

// InFlight counts the requests that this instance works on.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// RecordCounts counts the records of this incarnation, and the ended
// incarnations whose records this instance answers from.
func (e *Engine) RecordCounts() (held, archives int) {
	e.archives.Range(func(_, _ any) bool {
		archives++
		return true
	})
	return e.ledger.Load().Len(), archives
}
