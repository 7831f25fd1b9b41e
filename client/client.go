package client

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// maxAssignments bounds how many assignments one request tries.
const maxAssignments = 3

var (
	errUnreachable = eris.New("no assigned address accepts a connection")
	errService     = eris.New("a request needs a service")
)

// Client sends requests to one fleet. It is safe for concurrent use.
type Client struct {
	options     Options
	transport   transport
	assignments *assignments
	tasks       *conc.WaitGroup
}

// New returns a client. It fails if the options name no entry address.
func New(options Options) (*Client, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c := &Client{options: options, transport: newTransport(options), tasks: conc.NewWaitGroup()}
	c.assignments = &assignments{
		options:   options,
		transport: c.transport,
		tasks:     c.tasks,
		rng:       rand.New(rand.NewPCG(seed, 3)),
		services:  map[fleet.ServiceName]*serviceEntry{},
	}
	return c, nil
}

// Close waits for exchanges in progress and ends all connections. Do must not
// be called after it.
func (c *Client) Close() {
	c.tasks.Wait()
	c.transport.close()
}

// Do sends a request and returns what is known about it. The error says why
// there is no answer; the outcome of the result holds in any case.
func (c *Client) Do(ctx context.Context, request Request) (Result, error) {
	if request.Service == "" {
		return Result{Outcome: fleet.NotRun, Code: exchange.BadRequest}, errService
	}
	if request.Protected && request.Key == "" {
		request.Key = newKey()
	}
	deadline := c.options.Clock.Now().Add(c.options.Deadline)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	a := &attempt{client: c, request: request, deadline: deadline}
	if ctx.Done() == nil {
		return a.run(ctx)
	}
	return c.doCancelable(ctx, a)
}

// doCancelable leaves an exchange to itself when the context ends.
func (c *Client) doCancelable(ctx context.Context, a *attempt) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{Outcome: fleet.NotRun, Code: exchange.Canceled, Key: a.request.Key}, err
	}
	type ended struct {
		result Result
		err    error
	}
	done := make(chan ended, 1)
	c.tasks.Go(func() {
		result, err := a.run(ctx)
		done <- ended{result, err}
	})
	select {
	case e := <-done:
		return e.result, e.err
	case <-ctx.Done():
	}
	// The exchange ends at the same time if the context has a deadline; its
	// result says more than the end of the context.
	grace := c.options.Clock.NewTimer(cancelGrace)
	defer grace.Stop()
	select {
	case e := <-done:
		return e.result, e.err
	case <-grace.Chan():
	}
	code := exchange.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = NoAnswer
	}
	return Result{Outcome: fleet.Unknown, Code: code, Key: a.request.Key}, ctx.Err()
}

// cancelGrace is how long Do waits for an exchange that ends together with
// its context.
const cancelGrace = 10 * time.Millisecond

// newKey returns a random key of 128 bits.
func newKey() fleet.Key {
	var b [16]byte
	_, _ = crand.Read(b[:])
	return fleet.Key(hex.EncodeToString(b[:]))
}
