package once

import (
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// NewLedger returns an empty ledger with a new secret. It fails if the random
// source does.
func NewLedger(o Options) (*Ledger, error) { return &Ledger{}, nil }

// Mint issues a token for requests to a service. It fails if the random
// source does, and with ErrEnded after End.
func (l *Ledger) Mint(now time.Time, service fleet.ServiceName) (Token, error) { return "", nil }

// Begin records an arrival and decides whether it may start the request.
func (l *Ledger) Begin(now time.Time, a Arrival) Decision { return Decision{} }

// Finish records the end of a started request and wakes its duplicates. The
// outcome NotRun promises that nothing was written to a server. Only the
// first call for a ticket counts. The response must not be modified later.
func (l *Ledger) Finish(now time.Time, t *Ticket, r exchange.Response) {}

// Sweep drops at most limit expired records and returns how many it dropped.
func (l *Ledger) Sweep(now time.Time, limit int) int { return 0 }

// End stops all starts for good. Requests that are running can still finish.
func (l *Ledger) End(now time.Time) {}

// NewArchive returns the archive that a successor fills by Import.
func NewArchive(home fleet.Member) *Archive { return &Archive{} }

// Import adds a batch of records.
func (a *Archive) Import(now time.Time, batch Handover) {}

// Sweep drops at most limit expired records and returns how many it dropped.
func (a *Archive) Sweep(now time.Time, limit int) int { return 0 }
