package platform

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

const (
	headerRevision = "Platform-Revision"
	// maxResponseBytes is the largest accepted response. A configuration has up to
	// 1 MB; a listing of 5,800 processes is somewhat larger.
	maxResponseBytes = 8 << 20
)

// connection is a connection to the platform for one call at a time. It uses
// fasthttp only to encode and decode messages, since the client of fasthttp cannot
// cancel a pending long poll.
type connection struct {
	address string
	clock   clockwork.Clock
	timeout time.Duration
	socket  net.Conn
	reader  *bufio.Reader
}

// pollResult is a decoded response of the platform.
type pollResult struct {
	// changed is false if there is no value newer than the given revision.
	changed  bool
	revision fleet.Revision
	value    []byte
}

// get calls the platform, which may delay its response by up to holdTime. It opens
// the connection if necessary.
func (c *connection) get(ctx context.Context, uri string, holdTime time.Duration) (pollResult, error) {
	if err := c.open(ctx); err != nil {
		return pollResult{}, &Error{Fault: Unreachable, cause: withoutAddresses(err)}
	}
	socket := c.socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := c.roundTrip(uri, c.clock.Now().Add(holdTime+c.timeout), response)
	if !stop() || err != nil || response.ConnectionClose() || c.reader.Buffered() > 0 {
		c.close()
	}
	if err != nil {
		return pollResult{}, &Error{Fault: Unreachable, cause: withoutAddresses(err)}
	}
	return decodeResponse(response)
}

// open connects unless the connection is already open.
func (c *connection) open(ctx context.Context) error {
	if c.socket != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: c.timeout}
	socket, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	c.socket = socket
	c.reader = bufio.NewReader(socket)
	return nil
}

// close closes the connection if it is open.
func (c *connection) close() {
	if c.socket != nil {
		_ = c.socket.Close()
		c.socket = nil
	}
}

// roundTrip writes a request and reads its response.
func (c *connection) roundTrip(uri string, deadline time.Time, response *fasthttp.Response) error {
	if err := c.socket.SetDeadline(deadline); err != nil {
		return err
	}
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodGet)
	header.SetRequestURI(uri)
	header.SetHost(c.address)
	if _, err := c.socket.Write(header.Header()); err != nil {
		return err
	}
	return http1.ReadResponse(response, c.reader, maxResponseBytes, http1.SelfDelimited, http1.Unbounded{})
}

// withoutAddresses removes the addresses from a network error. The local port
// differs between calls, so that repetitions of the same failure would be logged
// as new failures.
func withoutAddresses(err error) error {
	var network *net.OpError
	if errors.As(err, &network) {
		return eris.Wrap(network.Err, network.Op)
	}
	return err
}

// decodeResponse converts a response and copies its body.
func decodeResponse(response *fasthttp.Response) (pollResult, error) {
	status := response.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusNotModified {
		return pollResult{}, &Error{Fault: Rejected, cause: eris.Errorf("status %d", status)}
	}
	revision, err := strconv.ParseUint(string(response.Header.Peek(headerRevision)), 10, 64)
	if err != nil {
		return pollResult{}, &Error{Fault: Invalid, cause: eris.Wrap(err, headerRevision)}
	}
	result := pollResult{revision: fleet.Revision(revision)}
	if status == fasthttp.StatusOK {
		result.changed = true
		result.value = bytes.Clone(response.Body())
	}
	return result, nil
}
