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
	// StartedAt is the zero of the home's elapsed time.
	StartedAt time.Time
	// Random gives the secret and the nonces; crypto/rand.Reader in production.
	Random io.Reader
	// TokenTTL is how long a token and its records are kept.
	TokenTTL time.Duration
	// MaxRecords is the largest number of records held.
	MaxRecords int
	// MaxBodyBytes is the largest response body in bytes that a record holds.
	MaxBodyBytes int
	// MaxMemoryBytes is the largest sum in bytes of all response bodies held, beyond
	// which bodies are dropped. New keys are answered with records_full once
	// the headers of responses reach the same sum.
	MaxMemoryBytes int64
}

// Ledger holds the at-most-once records of one incarnation. It is safe for
// concurrent use.
type Ledger struct {
	options   Options
	authority authority
	table     *table
	// random guards Options.Random, which need not be safe for concurrent use.
	random sync.Mutex
	// ending is when End was called, in elapsed time; nil before.
	ending atomic.Pointer[time.Duration]
}
