package snapshot

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
)

// maxBodyBytes is the largest snapshot that the client accepts.
const maxBodyBytes = 16 << 20

// Client fetches the store copies of other instances.
type Client struct {
	http          *fasthttp.Client
	receivedBytes atomic.Int64
}

// NewClient returns a client without connections.
func NewClient() *Client {
	c := &Client{}
	c.http = &fasthttp.Client{
		Dial:                      c.dial,
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdleConnDuration:       time.Second,
		MaxIdemponentCallAttempts: 1,
	}
	return c
}

func (c *Client) dial(address string) (net.Conn, error) {
	socket, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: socket, received: &c.receivedBytes}, nil
}

// countingConn adds the bytes that it receives to a counter.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// ReceivedBytes implements follow.Peers.
func (c *Client) ReceivedBytes() int64 { return c.receivedBytes.Load() }

// Fetch implements follow.Peers. The context must have a deadline.
func (c *Client) Fetch(ctx context.Context, peer fleet.Address, known fleet.Revision) (follow.Listing, error) {
	var listing follow.Listing
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(peer) + path + "?" + paramKnown + "=" + strconv.FormatUint(uint64(known), 10))
	deadline, _ := ctx.Deadline()
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return listing, eris.Wrapf(err, "cannot fetch the store copy of %s", peer)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return listing, eris.Errorf("cannot fetch the store copy of %s: status %d", peer, status)
	}
	if err := json.Unmarshal(response.Body(), &listing); err != nil {
		return follow.Listing{}, eris.Wrapf(err, "cannot decode the store copy of %s", peer)
	}
	return listing, nil
}
