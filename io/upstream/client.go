package upstream

import (
	"context"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Options configures a Client; zero numbers select the defaults.
type Options struct {
	Clock fleet.Clock
	// Body is the largest response body in bytes; 1 MiB by default.
	Body int
	// Header is the largest response header in bytes; 16 KiB by default.
	Header int
	// Connect bounds the opening of a connection; 1 s by default.
	Connect time.Duration
	// Via maps the address of a server to the address to dial instead.
	Via map[fleet.Address]fleet.Address
}

// Client sends requests to servers. Its methods may be called concurrently.
type Client struct{}

// New returns a client without connections.
func New(options Options) *Client { return &Client{} }

// Do makes one attempt and never repeats it. The response is a refusal unless
// the evidence says Complete.
func (c *Client) Do(ctx context.Context, attempt Attempt) (exchange.Response, Evidence) {
	return exchange.Response{}, Evidence{}
}

// Probe sends GET /healthz on a connection of its own and returns the time
// that the server took, or a *Error. The context bounds it.
func (c *Client) Probe(ctx context.Context, server fleet.ListedServer) (time.Duration, error) {
	return 0, nil
}

// Forget closes the connections to a server that is no longer owned,
// including those in use.
func (c *Client) Forget(server fleet.ServerID) {}

// EndIdle closes all connections that carry no request, as when the lease
// ends.
func (c *Client) EndIdle() {}

// Close closes all connections, including those in use.
func (c *Client) Close() {}
