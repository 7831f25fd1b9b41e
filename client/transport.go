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

// idleLife is how long an unused connection is kept. It is short, so that
// instances seldom close one that the client is about to use.
const idleLife = 5 * time.Second

// maxIdleClosed bounds how many closed idle connections one request meets.
const maxIdleClosed = 64

// dialError means that no connection was made, so that nothing was sent.
type dialError struct{ err error }

// Error returns why there is no connection.
func (e *dialError) Error() string { return "no connection: " + e.err.Error() }

// Unwrap returns the error of the dialer.
func (e *dialError) Unwrap() error { return e.err }

// unsent reports whether an error of an exchange proves that nothing was sent.
func unsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, errIdleClosed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// refused reports whether nobody listens at the address, so that the process
// is gone; any other failure to connect may be one of the path alone.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// transport makes exchanges and never repeats one.
type transport struct{ http *fasthttp.Client }

func newTransport(o Options) transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return transport{&fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			if via, ok := o.Via[fleet.Address(address)]; ok {
				address = string(via)
			}
			conn, err := dialer.Dial("tcp", address)
			if err != nil {
				return nil, &dialError{err}
			}
			return &idleConn{Conn: conn}, nil
		},
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           o.MaxConnsPerAddress,
		MaxIdleConnDuration:       idleLife,
		MaxResponseBodySize:       o.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// exchange sends a request to an address and reads the whole answer. The
// answer is nil exactly if there is an error.
func (t transport) exchange(address fleet.Address, request *fasthttp.Request, deadline time.Time) (*fasthttp.Response, error) {
	request.URI().SetScheme("http")
	request.URI().SetHost(string(address))
	for range maxIdleClosed {
		response := &fasthttp.Response{}
		err := t.http.DoDeadline(request, response, deadline)
		if err == nil {
			return response, nil
		}
		if !errors.Is(err, errIdleClosed) {
			return nil, eris.Wrapf(err, "ask %s", address)
		}
	}
	return nil, eris.Wrapf(errIdleClosed, "ask %s", address)
}

// close ends idle connections.
func (t transport) close() { t.http.CloseIdleConnections() }
