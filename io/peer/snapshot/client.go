package snapshot

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/io/peer/peerpb"
)

// maxBodyBytes is the largest response that the client accepts: a part, or changes.
const maxBodyBytes = 1 << 20

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

// connectTimeout bounds the time to open a connection. The limit of a call does not cover
// it, and a machine without power does not answer at all.
const connectTimeout = 250 * time.Millisecond

func (c *Client) dial(address string) (net.Conn, error) {
	socket, err := net.DialTimeout("tcp4", address, connectTimeout)
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

// FetchChanges implements follow.Peers. The context must have a deadline.
func (c *Client) FetchChanges(ctx context.Context, peer fleet.Address, known fleet.Position) (follow.Listing, error) {
	var listing follow.Listing
	err := c.get(ctx, peer, pathChanges, url.Values{paramKnown: {known.String()}}, func(response *fasthttp.Response) (err error) {
		listing, err = decodeServers(response.Body())
		return err
	})
	if err != nil {
		return follow.Listing{}, err
	}
	return listing, nil
}

// FetchPart implements follow.Peers. The context must have a deadline.
func (c *Client) FetchPart(ctx context.Context, peer fleet.Address, request follow.PartRequest) (follow.Part, error) {
	var part follow.Part
	query := url.Values{
		paramKind:       {request.Kind.String()},
		paramGeneration: {formatGeneration(request.Generation)},
		paramOffset:     {strconv.Itoa(request.Offset)},
	}
	err := c.get(ctx, peer, pathDocument, query, func(response *fasthttp.Response) error {
		var err error
		part, err = parsePart(response)
		return err
	})
	return part, err
}

// parsePart returns the part in a response.
func parsePart(response *fasthttp.Response) (follow.Part, error) {
	header := &response.Header
	generation, generationErr := parseGeneration(string(header.Peek(headerGeneration)))
	size, sizeErr := strconv.ParseUint(string(header.Peek(headerSize)), 10, 31)
	offset, offsetErr := strconv.ParseUint(string(header.Peek(headerOffset)), 10, 31)
	age, ageErr := time.ParseDuration(string(header.Peek(headerAge)))
	if err := errors.Join(generationErr, sizeErr, offsetErr, ageErr); err != nil {
		return follow.Part{}, eris.Wrap(err, "invalid header of a part")
	}
	if size > maxDocumentBytes {
		return follow.Part{}, eris.Errorf("the document of %d bytes is too large", size)
	}
	return follow.Part{
		Generation: generation,
		Digest:     fleet.Digest(header.Peek(headerDigest)),
		Size:       int(size),
		Offset:     int(offset),
		Data:       bytes.Clone(response.Body()),
		Age:        max(age, 0),
	}, nil
}

// Decode implements follow.Peers.
func (c *Client) Decode(kind follow.Kind, encoded []byte) (follow.Listing, error) {
	if kind != follow.Configuration {
		return decodeServers(encoded)
	}
	var message peerpb.Routes
	if err := decode(encoded, &message); err != nil {
		return follow.Listing{}, err
	}
	document, err := fromRoutes(&message)
	return follow.Listing{Routes: document}, err
}

// decodeServers decodes a server listing or the changes of one.
func decodeServers(encoded []byte) (follow.Listing, error) {
	var message peerpb.Servers
	if err := decode(encoded, &message); err != nil {
		return follow.Listing{}, err
	}
	return fromServers(&message)
}

// get makes one call to a peer and passes a successful response to read.
func (c *Client) get(ctx context.Context, peer fleet.Address, path string, query url.Values, read func(*fasthttp.Response) error) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(peer) + path + "?" + query.Encode())
	deadline, _ := ctx.Deadline()
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return eris.Wrapf(err, "cannot fetch the store copy of %s", peer)
	}
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
		return read(response)
	case fasthttp.StatusGone:
		return follow.ErrCompacted
	case fasthttp.StatusTooManyRequests:
		return follow.ErrBusy
	default:
		return eris.Errorf("cannot fetch the store copy of %s: status %d", peer, status)
	}
}
