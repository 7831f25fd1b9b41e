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
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxHeaderBytes = 16 << 10
	defaultConnectTimeout = time.Second
)

// Options configures a Client; zero numbers select the defaults.
type Options struct {
	Clock fleet.Clock
	// MaxBodyBytes is the size of the largest response body; 1 MiB by default.
	MaxBodyBytes int
	// MaxHeaderBytes is the size of the largest response header; 16 KiB by default.
	MaxHeaderBytes int
	// ConnectTimeout bounds the time to open a connection; 1 s by default.
	ConnectTimeout time.Duration
	// DialAddresses maps the address of a server to an address that is dialed in its
	// place.
	DialAddresses map[fleet.Address]fleet.Address
}

// withDefaults returns the options with zero numbers replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	return o
}

// Client sends requests to servers over one connection for each slot. Its methods may
// be called concurrently.
type Client struct {
	options Options

	mu        sync.Mutex
	slotConns map[fleet.ServerID]map[int]*slotConn
	closed    bool
}

// New returns a client without connections.
func New(options Options) *Client {
	return &Client{
		options:   options.withDefaults(),
		slotConns: make(map[fleet.ServerID]map[int]*slotConn),
	}
}

// Do makes one attempt and never retries. The response is a refusal unless the
// progress in the evidence is Complete.
func (c *Client) Do(ctx context.Context, attempt Attempt) (exchange.Response, Evidence) {
	started := c.options.Clock.Now()
	var evidence Evidence
	response, err := c.doAttempt(ctx, attempt, &evidence)
	evidence.Duration = c.options.Clock.Now().Sub(started)
	if err != nil {
		evidence.Err = err
		return refusal(err.Fault, evidence.Progress), evidence
	}
	return response, evidence
}

func (c *Client) doAttempt(ctx context.Context, attempt Attempt, evidence *Evidence) (exchange.Response, *Error) {
	var none exchange.Response
	slot := c.slotConn(attempt.Server.ID, attempt.Slot)
	if slot == nil {
		return none, &Error{Fault: Canceled, cause: eris.New("the client is closed")}
	}
	if !slot.acquire() {
		return none, &Error{Fault: SlotBusy}
	}
	defer slot.release()
	conn, err := c.connect(ctx, slot, attempt, evidence)
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

// connect returns the idle connection of the slot if it can be reused, and a new one
// otherwise.
func (c *Client) connect(ctx context.Context, slot *slotConn, attempt Attempt, evidence *Evidence) (*conn, *Error) {
	if conn := slot.reuse(attempt.Server.Address); conn != nil {
		evidence.ReusedConnection = true
		return conn, nil
	}
	conn, err := c.dial(ctx, attempt.Server.Address, attempt.Deadline)
	if err != nil {
		evidence.Refused = errors.Is(err.cause, syscall.ECONNREFUSED)
		return nil, err
	}
	if !slot.attach(conn, attempt.Server.Address) {
		conn.close()
		return nil, &Error{Fault: Canceled, cause: eris.New("the server is no longer owned")}
	}
	return conn, nil
}

// dial opens a connection to an address, or to its replacement in DialAddresses.
func (c *Client) dial(ctx context.Context, address fleet.Address, deadline time.Time) (*conn, *Error) {
	if dialAddress, ok := c.options.DialAddresses[address]; ok {
		address = dialAddress
	}
	return dialConn(ctx, dialOptions{
		clock:          c.options.Clock,
		address:        address,
		timeout:        c.options.ConnectTimeout,
		deadline:       deadline,
		maxHeaderBytes: c.options.MaxHeaderBytes,
	})
}

// Probe sends GET /healthz on a new connection and returns the time from the dial to
// the response, or a *Error. It ends with the context or after 2 s.
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

// slotConn returns the connection holder of a slot, or nil if the client is closed.
func (c *Client) slotConn(server fleet.ServerID, slot int) *slotConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	slots, ok := c.slotConns[server]
	if !ok {
		slots = make(map[int]*slotConn)
		c.slotConns[server] = slots
	}
	entry, ok := slots[slot]
	if !ok {
		entry = &slotConn{}
		slots[slot] = entry
	}
	return entry
}

// CloseConnections closes the connections to a server that this instance no longer
// owns, including connections in use.
func (c *Client) CloseConnections(server fleet.ServerID) {
	c.mu.Lock()
	slots := c.slotConns[server]
	delete(c.slotConns, server)
	c.mu.Unlock()
	for _, slot := range slots {
		slot.retire()
	}
}

// CloseIdleConnections closes all connections without a request in flight, for
// example when the lease ends.
func (c *Client) CloseIdleConnections() {
	for _, slot := range c.allSlotConns() {
		slot.closeIfIdle()
	}
}

// Close closes all connections, including connections in use.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, slot := range c.allSlotConns() {
		slot.retire()
	}
}

func (c *Client) allSlotConns() []*slotConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*slotConn
	for _, slots := range c.slotConns {
		for _, slot := range slots {
			all = append(all, slot)
		}
	}
	return all
}
