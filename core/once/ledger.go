package once

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"galenaridge/core/fleet"
)

// Options configures a ledger.
type Options struct {
	Home fleet.Member
	// StartedAt is the time from which the home's elapsed time is measured.
	StartedAt time.Time
	// Random provides the secret and the nonces; crypto/rand.Reader in
	// production.
	Random io.Reader
	// TokenTTL is how long a token is valid and its records are kept.
	TokenTTL time.Duration
	// MaxRecords bounds the number of records.
	MaxRecords int
	// MaxBodyBytes is the size of the largest response body that is stored.
	MaxBodyBytes int
	// MaxMemoryBytes bounds the sum of all stored response bodies, beyond which
	// bodies are dropped, and also the sum of all stored response headers, at
	// which new keys are refused with records_full.
	MaxMemoryBytes int64
}

// Ledger holds the at-most-once records of one incarnation. It is safe for
// concurrent use.
type Ledger struct {
	options   Options
	authority authority
	table     *table
	// randomMu guards options.Random, which need not be safe for concurrent use.
	randomMu sync.Mutex
	// endedAt is the elapsed time at which End was called; nil before.
	endedAt atomic.Pointer[time.Duration]
}
