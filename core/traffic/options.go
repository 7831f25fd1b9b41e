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

// Control gives the published control state.
type Control interface {
	View() *control.View
}

// DrainListener takes the announcements of servers that they leave. It must not block.
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
	// MayWrite is asked right before the first byte is written.
	MayWrite func() bool
	// Deadline is when the server must have ended the work.
	Deadline time.Time
}

// Peers carries requests to other instances. Delivered is false if the peer
// provably did not get the request.
type Peers interface {
	Execute(ctx context.Context, to member.Peer, request exchange.Request) (response exchange.Response, delivered bool)
	Submit(ctx context.Context, to member.Peer, token once.Token, request exchange.Request) (response exchange.Response, delivered bool)
	Mint(ctx context.Context, to member.Peer, service fleet.ServiceName) (once.Token, error)
}

// Random gives random numbers and may be used concurrently.
type Random interface {
	IntN(n int) int
	Uint64() uint64
}

// RecordLimits bounds the at-most-once records.
type RecordLimits struct {
	// MaxRecords is the largest number of records held.
	MaxRecords int
	// MaxBodyBytes is the largest stored response body in bytes.
	MaxBodyBytes int
	// MaxMemoryBytes is the largest sum of stored bodies in bytes.
	MaxMemoryBytes int64
}

// Options set up an Engine.
type Options struct {
	Control       Control
	DrainListener DrainListener
	Sender        Sender
	Peers         Peers
	Clock         fleet.Clock
	Random        Random
	// SecretSource gives the secrets and nonces of tokens.
	SecretSource io.Reader
	RecordLimits RecordLimits
}

const (
	// maxTargets bounds how many owners and servers one request may try.
	maxTargets = 4
	// avoidFor is how long an instance that could not be reached is not chosen.
	avoidFor = time.Second
	// loadLife is how long a load that a peer reported is believed.
	loadLife = 2 * time.Second
	// mintTimeout keeps an assignment fast when the preferred owner is slow.
	mintTimeout = 250 * time.Millisecond
	// defaultTokenLife is used until a configuration is in force.
	defaultTokenLife = 10 * time.Minute
	// maxAddresses is the number of addresses in an assignment.
	maxAddresses = 3
)
