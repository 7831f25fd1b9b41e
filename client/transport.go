package client

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
)

// dialTimeout bounds the attempt to connect to one address.
const dialTimeout = time.Second

// idleTimeout is how long an idle connection is kept. It is short, so that an
// instance rarely closes a connection that the client is about to use.
const idleTimeout = 5 * time.Second

// maxClosedConnections bounds the closed idle connections that one request skips.
const maxClosedConnections = 64

// dialError means that no connection was made and therefore nothing was sent.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return "no connection: " + e.err.Error() }

// Unwrap returns the error of net.Dialer.
func (e *dialError) Unwrap() error { return e.err }

// provesUnsent reports whether an error of transport.exchange proves that nothing
// was sent.
func provesUnsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, errIdleClosed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// connectionRefused reports whether no process listens at the address, which means
// that the instance has stopped. Any other failure to connect may be a failure of
// the network.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// transport sends HTTP requests. It never repeats a request that may have been
// sent.
type transport struct{ http *fasthttp.Client }

func newTransport(options Options) transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return transport{&fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			if dialAddress, ok := options.DialAddresses[fleet.Address(address)]; ok {
				address = string(dialAddress)
			}
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, &dialError{err}
			}
			return &idleConn{Conn: conn}, nil
		},
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           options.MaxConnsPerAddress,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       options.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// exchange sends a request to an address and reads the whole response. It skips
// pooled connections that the peer has closed. The response is nil if and only if
// there is an error.
func (t transport) exchange(address fleet.Address, request *fasthttp.Request, deadline time.Time) (*fasthttp.Response, error) {
	request.URI().SetScheme("http")
	request.URI().SetHost(string(address))
	for range maxClosedConnections {
		response := &fasthttp.Response{}
		err := t.http.DoDeadline(request, response, deadline)
		if err == nil {
			return response, nil
		}
		if !errors.Is(err, errIdleClosed) {
			return nil, eris.Wrapf(err, "send a request to %s", address)
		}
	}
	return nil, eris.Wrapf(errIdleClosed, "send a request to %s", address)
}

func (t transport) close() { t.http.CloseIdleConnections() }
