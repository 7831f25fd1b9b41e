package snapshot

import (
	"context"
	"encoding/json"
	"strconv"
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
	http *fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxResponseBodySize:       maxBodyBytes,
		MaxIdleConnDuration:       time.Second,
		MaxIdemponentCallAttempts: 1,
	}}
}

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
