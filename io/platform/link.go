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
	// maxValue bounds a response in bytes. A configuration has up to 1 MB; a
	// list of 5,800 processes has somewhat more.
	maxValue = 8 << 20
)

// link is one connection to the platform, for one call at a time. fasthttp
// encodes and decodes; its client cannot cancel a call that is held.
type link struct {
	address string
	clock   clockwork.Clock
	timeout time.Duration
	socket  net.Conn
	reader  *bufio.Reader
}

// answer is a response of the platform.
type answer struct {
	// changed is false if the platform has nothing newer.
	changed  bool
	revision fleet.Revision
	value    []byte
}

// get calls the platform, which may hold the call for the given time.
func (l *link) get(ctx context.Context, uri string, hold time.Duration) (answer, error) {
	if err := l.open(ctx); err != nil {
		return answer{}, &Error{Fault: Unreachable, cause: plain(err)}
	}
	socket := l.socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := l.exchange(uri, l.clock.Now().Add(hold+l.timeout), response)
	if !stop() || err != nil || response.ConnectionClose() || l.reader.Buffered() > 0 {
		l.close()
	}
	if err != nil {
		return answer{}, &Error{Fault: Unreachable, cause: plain(err)}
	}
	return decode(response)
}

// open connects unless there is a connection.
func (l *link) open(ctx context.Context) error {
	if l.socket != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: l.timeout}
	socket, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	l.socket = socket
	l.reader = bufio.NewReader(socket)
	return nil
}

// close closes the connection, if there is one.
func (l *link) close() {
	if l.socket != nil {
		_ = l.socket.Close()
		l.socket = nil
	}
}

// exchange writes a request and reads its response.
func (l *link) exchange(uri string, deadline time.Time, response *fasthttp.Response) error {
	if err := l.socket.SetDeadline(deadline); err != nil {
		return err
	}
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodGet)
	header.SetRequestURI(uri)
	header.SetHost(l.address)
	if _, err := l.socket.Write(header.Header()); err != nil {
		return err
	}
	return http1.ReadResponse(response, l.reader, maxValue, http1.SelfDelimited)
}

// plain removes the addresses from an error of the network: the local port
// differs between calls, and so the same failure would look like a new one.
func plain(err error) error {
	var network *net.OpError
	if errors.As(err, &network) {
		return eris.Wrap(network.Err, network.Op)
	}
	return err
}

// decode copies what the platform answered out of the response.
func decode(response *fasthttp.Response) (answer, error) {
	status := response.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusNotModified {
		return answer{}, &Error{Fault: Rejected, cause: eris.Errorf("status %d", status)}
	}
	revision, err := strconv.ParseUint(string(response.Header.Peek(headerRevision)), 10, 64)
	if err != nil {
		return answer{}, &Error{Fault: Invalid, cause: eris.Wrap(err, headerRevision)}
	}
	found := answer{revision: fleet.Revision(revision)}
	if status == fasthttp.StatusOK {
		found.changed = true
		found.value = bytes.Clone(response.Body())
	}
	return found, nil
}
