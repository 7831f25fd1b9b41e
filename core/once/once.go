package once

import (
	"io"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Fingerprint is the SHA-256 digest of a request's service, method, URI and
// body. It detects a key that is used for a second, different request.
type Fingerprint [32]byte

// Arrival is one arrival of a protected request, the first or a duplicate.
type Arrival struct {
	Token       Token
	Key         fleet.Key
	Service     fleet.ServiceName
	Fingerprint Fingerprint
}

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	// Ticket is set when Verdict is Start.
	Ticket *Ticket
	// Response is set when Verdict is Replay or Refuse.
	Response exchange.Response
	// BodyDropped means that the replayed response had a body that is no
	// longer held; its status and headers are complete.
	BodyDropped bool
	// Ended is closed when the running arrival ends; then ask again. It is
	// set when Verdict is Wait.
	Ended <-chan struct{}
}

// Ticket is the right to start one request once, and the duty to finish it.
type Ticket struct{}

// Options configures a ledger.
type Options struct {
	Home fleet.Member
	// Start is the zero of the home's elapsed time.
	Start time.Time
	// Random gives the secret and the nonces; crypto/rand.Reader in production.
	Random io.Reader
	// Life is how long a token and its records are kept.
	Life time.Duration
	// Records is the largest number of records held.
	Records int
	// Body is the largest response body in bytes that a record holds.
	Body int
	// Memory is the largest sum in bytes of all response bodies held.
	Memory int64
}

// Ledger holds the at-most-once records of one incarnation. It is safe for
// concurrent use.
type Ledger struct{}

// Archive holds the records of an incarnation that ended. It starts nothing.
type Archive struct{}

// Record is one key of an ended incarnation, as handed to a successor.
type Record struct {
	Token       Token
	Key         fleet.Key
	Fingerprint Fingerprint
	// Response has the outcome Done, NotRun or Unknown.
	Response    exchange.Response
	BodyDropped bool
	// Life is how long the record is still needed.
	Life time.Duration
}

// Handover is a batch of an ended incarnation's records.
type Handover struct {
	Home fleet.Member
	// Secret lets the successor tell genuine tokens from others.
	Secret []byte
	// Elapsed is the home's elapsed time when the records were exported.
	Elapsed time.Duration
	// TokenLife is how long after Elapsed the last token of the home expires.
	TokenLife time.Duration
	// Total counts the records in all batches.
	Total   int
	Records []Record
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r exchange.Request) Fingerprint { return Fingerprint{} }
