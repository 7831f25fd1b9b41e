package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

const (
	defaultBody    = 1 << 20
	defaultHeader  = 16 << 10
	defaultConnect = time.Second
)

// Options configures a Client; zero numbers select the defaults.
type Options struct {
	Clock fleet.Clock
	// MaxBodyBytes is the largest response body in bytes; 1 MiB by default.
	MaxBodyBytes int
	// MaxHeaderBytes is the largest response header in bytes; 16 KiB by default.
	MaxHeaderBytes int
	// ConnectTimeout bounds the opening of a connection; 1 s by default.
	ConnectTimeout time.Duration
	// DialAddresses maps the address of a server to the address to dial instead.
	DialAddresses map[fleet.Address]fleet.Address
}

// withDefaults returns the options with defaults in place of zero numbers.
func (o Options) withDefaults() Options {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultBody
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultHeader
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnect
	}
	return o
}

// Client sends requests to servers. Its methods may be called concurrently.
type Client struct {
	options Options

	mu     sync.Mutex
	lines  map[fleet.ServerID]map[int]*line
	closed bool
}

// New returns a client without connections.
func New(options Options) *Client {
	return &Client{
		options: options.withDefaults(),
		lines:   make(map[fleet.ServerID]map[int]*line),
	}
}

// Do makes one attempt and never repeats it. The response is a refusal unless
// the evidence says Complete.
func (c *Client) Do(ctx context.Context, attempt Attempt) (exchange.Response, Evidence) {
	started := c.options.Clock.Now()
	var evidence Evidence
	response, err := c.attempt(ctx, attempt, &evidence)
	evidence.Duration = c.options.Clock.Now().Sub(started)
	if err != nil {
		evidence.Err = err
		return refusal(err.Fault, evidence.Progress), evidence
	}
	return response, evidence
}

func (c *Client) attempt(ctx context.Context, attempt Attempt, evidence *Evidence) (exchange.Response, *Error) {
	var none exchange.Response
	line := c.line(attempt.Server.ID, attempt.Slot)
	if line == nil {
		return none, &Error{Fault: Canceled, cause: eris.New("the client is closed")}
	}
	if !line.acquire() {
		return none, &Error{Fault: SlotBusy}
	}
	defer line.release()
	conn, err := c.connect(ctx, line, attempt, evidence)
	if err != nil {
		return none, err
	}
	stop := context.AfterFunc(ctx, conn.close)
	response, err := conn.roundTrip(ctx, attempt, c.options, evidence)
	if !stop() || err != nil {
		conn.close()
	}
	return response, err
}

// connect returns the idle connection of the line if it still works, and a
// new one otherwise.
func (c *Client) connect(ctx context.Context, line *line, attempt Attempt, evidence *Evidence) (*conn, *Error) {
	if conn := line.reuse(attempt.Server.Address); conn != nil {
		evidence.ReusedConnection = true
		return conn, nil
	}
	conn, err := c.dial(ctx, attempt.Server.Address, attempt.Deadline)
	if err != nil {
		evidence.Refused = errors.Is(err.cause, syscall.ECONNREFUSED)
		return nil, err
	}
	if !line.attach(conn, attempt.Server.Address) {
		conn.close()
		return nil, &Error{Fault: Canceled, cause: eris.New("the server is no longer owned")}
	}
	return conn, nil
}

// dial opens a connection to an address or to the one that stands for it.
func (c *Client) dial(ctx context.Context, address fleet.Address, deadline time.Time) (*conn, *Error) {
	if via, ok := c.options.DialAddresses[address]; ok {
		address = via
	}
	return open(ctx, opening{
		clock:    c.options.Clock,
		address:  address,
		within:   c.options.ConnectTimeout,
		deadline: deadline,
		header:   c.options.MaxHeaderBytes,
	})
}

// Probe sends GET /healthz on a connection of its own and returns the time
// that the server took, or a *Error. The context bounds it, and 2 s do.
func (c *Client) Probe(ctx context.Context, server fleet.ListedServer) (time.Duration, error) {
	const limit = 2 * time.Second
	started := c.options.Clock.Now()
	deadline := started.Add(limit)
	conn, err := c.dial(ctx, server.Address, deadline)
	if err != nil {
		return 0, err
	}
	defer conn.close()
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	attempt := Attempt{
		Server:     server,
		Request:    exchange.Request{Method: "GET", URI: "/healthz"},
		Permission: AlwaysAllowed{},
		Deadline:   deadline,
	}
	response, err := conn.roundTrip(ctx, attempt, c.options, &Evidence{})
	if err != nil {
		return 0, err
	}
	if response.Status < 200 || response.Status > 299 {
		return 0, &Error{Fault: Unhealthy, cause: eris.Errorf("status %d", response.Status)}
	}
	return c.options.Clock.Now().Sub(started), nil
}

// line returns the line of a slot, or nil if the client is closed.
func (c *Client) line(server fleet.ServerID, slot int) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	lines, ok := c.lines[server]
	if !ok {
		lines = make(map[int]*line)
		c.lines[server] = lines
	}
	found, ok := lines[slot]
	if !ok {
		found = &line{}
		lines[slot] = found
	}
	return found
}

// CloseConnections closes the connections to a server that is no longer owned,
// including those in use.
func (c *Client) CloseConnections(server fleet.ServerID) {
	c.mu.Lock()
	lines := c.lines[server]
	delete(c.lines, server)
	c.mu.Unlock()
	for _, line := range lines {
		line.abandon()
	}
}

// CloseIdleConnections closes all connections that carry no request, as when the lease
// ends.
func (c *Client) CloseIdleConnections() {
	for _, line := range c.allLines() {
		line.endIdle()
	}
}

// Close closes all connections, including those in use.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, line := range c.allLines() {
		line.abandon()
	}
}

func (c *Client) allLines() []*line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*line
	for _, lines := range c.lines {
		for _, line := range lines {
			all = append(all, line)
		}
	}
	return all
}
