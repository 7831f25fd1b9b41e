package once

import (
	"sync"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Archive holds the records of an incarnation that ended. It starts nothing.
// It is safe for concurrent use.
type Archive struct {
	home fleet.Member
	// mu guards origin and imports.
	mu      sync.RWMutex
	origin  origin
	imports imports
}

// origin is what an archive knows of its home beyond the records.
type origin struct {
	// table is nil until the first batch arrives.
	table     *table
	authority authority
	// complete means that a key that is not recorded never started.
	complete bool
	// until is when the last token expires, in elapsed time.
	until time.Duration
}

// imports says which batches have arrived.
type imports struct {
	seen map[int]bool
	// damaged means that a record could not be read, so that the archive can
	// never be complete.
	damaged bool
}

// Record is one key of an ended incarnation, as handed to a successor.
type Record struct {
	Token       Token
	Key         fleet.Key
	Fingerprint Fingerprint
	// Response has the outcome Done, NotRun or Unknown.
	Response    exchange.Response
	BodyDropped bool
}

// Handover is a batch of an ended incarnation's records.
type Handover struct {
	Home fleet.Member
	// Secret lets the successor tell genuine tokens from others.
	Secret []byte
	// Elapsed is the home's elapsed time when the records were exported.
	Elapsed time.Duration
	// LastTokenExpiry is the home's elapsed time when its last token expires.
	LastTokenExpiry time.Duration
	// Complete means that all batches together hold all of the home's records.
	Complete bool
	// BatchIndex counts from zero to Batches-1.
	BatchIndex int
	BatchCount int
	Records    []Record
}
