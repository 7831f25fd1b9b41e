package once

import (
	"sync"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Archive holds the records of an ended incarnation. It decides about
// duplicates and never starts a request. It is safe for concurrent use.
type Archive struct {
	home fleet.Member
	// mu guards homeRecords and imports; the shards have their own mutexes.
	mu          sync.RWMutex
	homeRecords homeRecords
	imports     importState
}

// homeRecords holds the records of the home, and the data to verify its tokens.
type homeRecords struct {
	// table is nil until the first batch arrives.
	table     *table
	authority authority
	// complete means that no record is missing, so that a request whose key has no
	// record was never started.
	complete bool
	// lastTokenExpiry is the home's elapsed time at which its last token expires.
	lastTokenExpiry time.Duration
}

// importState tracks the batches of a handover.
type importState struct {
	received map[int]bool
	// unreadable means that an imported record had an invalid token, so the
	// archive can never be complete.
	unreadable bool
}

// Record is the record of one key of an ended incarnation, in a handover.
type Record struct {
	Token       Token
	Key         fleet.Key
	Fingerprint Fingerprint
	// Response has the outcome Done, NotRun or Unknown.
	Response    exchange.Response
	BodyDropped bool
}

// Handover is one batch of the records of an ended incarnation, for its
// successor.
type Handover struct {
	Home fleet.Member
	// Secret is the MAC key of the home, with which the successor verifies tokens.
	Secret []byte
	// Elapsed is the home's elapsed time at which the records were exported.
	Elapsed time.Duration
	// LastTokenExpiry is the home's elapsed time at which its last token expires.
	LastTokenExpiry time.Duration
	// Complete means that all batches together contain all records of the home.
	Complete bool
	// BatchIndex is in the range 0 to BatchCount-1.
	BatchIndex int
	BatchCount int
	Records    []Record
}
