package traffic

import (
	"context"
	"io"
	"time"

	"galenaridge/core/attempt"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
)

// Control provides the published control state.
type Control interface {
	View() *control.View
}

// DrainListener receives the announcements of servers that they are draining. It
// must not block.
type DrainListener interface {
	ReportServerDraining(service fleet.ServiceName, server fleet.ServerID)
}

// Sender makes one attempt on one slot of one server and never repeats it.
type Sender interface {
	Send(ctx context.Context, a Attempt) (exchange.Response, attempt.Evidence)
}

// Attempt is one request to one slot of one server.
type Attempt struct {
	Server  fleet.ListedServer
	Slot    int
	Request exchange.Request
	// MayWrite must be called right before the first byte is written; nothing
	// may be written if it returns false.
	MayWrite func() bool
	// Deadline is the time by which the server must have finished.
	Deadline time.Time
}

// Peers sends requests to other instances. Delivered is false only if the peer
// certainly did not receive the request.
type Peers interface {
	Execute(ctx context.Context, to member.Peer, request exchange.Request) (response exchange.Response, delivered bool)
	Submit(ctx context.Context, to member.Peer, token once.Token, request exchange.Request) (response exchange.Response, delivered bool)
	Mint(ctx context.Context, to member.Peer, service fleet.ServiceName) (once.Token, error)
}

// Random generates random numbers. It must be safe for concurrent use.
type Random interface {
	IntN(n int) int
	Uint64() uint64
}

// RecordLimits bounds the at-most-once records of an instance. MaxRecords and
// MaxMemoryBytes apply to its own records, and once more to the imported ones.
type RecordLimits struct {
	MaxRecords int
	// MaxBodyBytes is the size of the largest response body that is stored.
	MaxBodyBytes int
	// MaxMemoryBytes bounds the sum of the stored response bodies.
	MaxMemoryBytes int64
}

// Options configures an Engine.
type Options struct {
	Control       Control
	DrainListener DrainListener
	Sender        Sender
	Peers         Peers
	Clock         fleet.Clock
	Random        Random
	// SecretSource provides the random bytes for the secrets and nonces of
	// tokens.
	SecretSource io.Reader
	RecordLimits RecordLimits
}

const (
	// maxOwnersTried bounds the owners that one request may try.
	maxOwnersTried = 4
	// avoidDuration is how long an instance is not chosen after it could not be
	// reached.
	avoidDuration = time.Second
	// loadTTL is how long a reported load is used.
	loadTTL = 2 * time.Second
	// mintTimeout bounds a token request to one owner, so that a slow owner does
	// not delay the assignment.
	mintTimeout = 250 * time.Millisecond
	// defaultTokenTTL applies until a configuration is active.
	defaultTokenTTL = 10 * time.Minute
	// maxEndpoints bounds the addresses in an assignment.
	maxEndpoints = 3
)
