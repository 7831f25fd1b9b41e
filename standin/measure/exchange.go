package measure

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/fleet"
	"galenaridge/standin/pause"
	"galenaridge/standin/server"
)

// requestTimeout bounds one request with its response.
const requestTimeout = 2 * time.Second

// requester sends single HTTP requests. All measured paths use it, so that each
// of them includes the same client overhead.
type requester struct{ client *fasthttp.Client }

func newRequester() requester {
	return requester{&fasthttp.Client{
		MaxConnsPerHost:           4096,
		MaxIdleConnDuration:       time.Minute,
		MaxIdemponentCallAttempts: 1,
		ReadBufferSize:            16 << 10,
	}}
}

func (r requester) close() { r.client.CloseIdleConnections() }

// send sends one request, and returns the id of the server that sent the
// response and the time until the response. A status other than 200 is an error.
func (r requester) send(method string, address fleet.Address, path string) (fleet.ServerID, time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + string(address) + path)
	request.Header.Set(server.HeaderCaller, "measure")
	request.Header.Set(server.HeaderBodySize, "512")
	start := time.Now()
	if err := r.client.DoTimeout(request, response, requestTimeout); err != nil {
		return "", 0, eris.Wrapf(err, "send a request to %s", address)
	}
	elapsed := time.Since(start)
	if response.StatusCode() != fasthttp.StatusOK {
		return "", elapsed, eris.Errorf("status %d: %.200s", response.StatusCode(), response.Body())
	}
	return fleet.ServerID(response.Header.Peek(server.HeaderServer)), elapsed, nil
}

// waitForResponse sends requests every 100 ms until one succeeds, so that a
// measurement starts only after instances accept requests. It returns the last
// error if the context ends first.
func (r requester) waitForResponse(ctx context.Context, address fleet.Address, path string) error {
	for {
		_, _, err := r.send(fasthttp.MethodGet, address, path)
		if err == nil {
			return nil
		}
		if pause.For(ctx, 100*time.Millisecond) != nil {
			return eris.Wrap(err, "no request succeeded")
		}
	}
}
