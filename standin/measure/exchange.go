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

// requestTimeout bounds one request of a measurement.
const requestTimeout = 2 * time.Second

// requester sends single requests. All measured paths use it, so that its own
// cost is in each of them alike.
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

// send sends a request, and returns the server that answered and the time it
// took.
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
		return "", 0, eris.Wrapf(err, "ask %s", address)
	}
	elapsed := time.Since(start)
	if response.StatusCode() != fasthttp.StatusOK {
		return "", elapsed, eris.Errorf("status %d: %.200s", response.StatusCode(), response.Body())
	}
	return fleet.ServerID(response.Header.Peek(server.HeaderServer)), elapsed, nil
}

// waitForResponse sends requests until one succeeds, so that a measurement begins
// with a path that works.
func (r requester) waitForResponse(ctx context.Context, address fleet.Address, path string) error {
	for {
		_, _, err := r.send(fasthttp.MethodGet, address, path)
		if err == nil {
			return nil
		}
		if pause.For(ctx, 100*time.Millisecond) != nil {
			return eris.Wrap(err, "no request succeeds")
		}
	}
}
