package once

import (
	"time"

	"galenaridge/core/fleet"
)

// Home returns the incarnation whose records the ledger holds.
func (l *Ledger) Home() fleet.Member { return fleet.Member{} }

// Len counts the records held.
func (l *Ledger) Len() int { return 0 }

// Archive returns the records for reading after End; nil before it.
func (l *Ledger) Archive() *Archive { return nil }

// Home returns the incarnation whose records the archive holds.
func (a *Archive) Home() fleet.Member { return fleet.Member{} }

// Answer answers an arrival for the ended incarnation: Replay, Wait or Refuse.
func (a *Archive) Answer(now time.Time, arrival Arrival) Decision { return Decision{} }

// Export returns all records in batches of at most size records, at least one
// batch. Requests that are still running are exported as unknown.
func (a *Archive) Export(now time.Time, size int) []Handover { return nil }

// Obsolete reports whether every token of the incarnation has expired.
func (a *Archive) Obsolete(now time.Time) bool { return false }
