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

// maxAssignments bounds the assignments that one send tries.
const maxAssignments = 3

var (
	errUnreachable = eris.New("no assigned address accepts a connection")
	errNoService   = eris.New("a request needs a service")
)

// Client sends requests to one fleet. It is safe for concurrent use.
type Client struct {
	options     Options
	transport   transport
	assignments *assignmentCache
	tasks       *conc.WaitGroup
}

// New returns a client. It fails if the options contain no entry address.
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
	c.assignments = &assignmentCache{
		options:   options,
		transport: c.transport,
		tasks:     c.tasks,
		random:    rand.New(rand.NewPCG(seed, 3)),
		services:  map[fleet.ServiceName]*serviceEntry{},
	}
	return c, nil
}

// Close waits for requests in flight and closes all connections. Do must not be
// called after Close.
func (c *Client) Close() {
	c.tasks.Wait()
	c.transport.close()
}

// Do sends a request and returns its result. The error is the reason if there is
// no response; Result.Outcome is valid with and without an error.
func (c *Client) Do(ctx context.Context, request Request) (Result, error) {
	if request.Service == "" {
		return Result{Outcome: fleet.NotRun, Code: exchange.BadRequest}, errNoService
	}
	if request.Protected && request.Key == "" {
		request.Key = newKey()
	}
	deadline := c.options.Clock.Now().Add(c.options.Deadline)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	current := &call{client: c, request: request, deadline: deadline}
	if ctx.Done() == nil {
		return current.run(ctx)
	}
	return c.doCancelable(ctx, current)
}

// doCancelable runs a call in a goroutine and returns when the context ends. The
// goroutine then ends at the deadline of the call at the latest.
func (c *Client) doCancelable(ctx context.Context, current *call) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{Outcome: fleet.NotRun, Code: exchange.Canceled, Key: current.request.Key}, err
	}
	type callResult struct {
		result Result
		err    error
	}
	done := make(chan callResult, 1)
	c.tasks.Go(func() {
		result, err := current.run(ctx)
		done <- callResult{result, err}
	})
	select {
	case ended := <-done:
		return ended.result, ended.err
	case <-ctx.Done():
	}
	// If the context ended by its deadline, the call ends at the same time, and
	// its result is more specific than the error of the context.
	grace := c.options.Clock.NewTimer(cancelGrace)
	defer grace.Stop()
	select {
	case ended := <-done:
		return ended.result, ended.err
	case <-grace.Chan():
	}
	code := exchange.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = NoAnswer
	}
	return Result{Outcome: fleet.Unknown, Code: code, Key: current.request.Key}, ctx.Err()
}

// cancelGrace is how long Do waits after the end of its context for the result
// of the call.
const cancelGrace = 10 * time.Millisecond

// newKey returns a random 128-bit key in hexadecimal.
func newKey() fleet.Key {
	var b [16]byte
	_, _ = crand.Read(b[:])
	return fleet.Key(hex.EncodeToString(b[:]))
}
