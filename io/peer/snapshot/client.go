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

// maxBody is the largest snapshot in bytes that is read.
const maxBody = 16 << 20

// Client reads the copies of other instances.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxResponseBodySize:       maxBody,
		MaxIdleConnDuration:       time.Second,
		MaxIdemponentCallAttempts: 1,
	}}
}

// Fetch implements follow.Peers.
func (c *Client) Fetch(ctx context.Context, peer fleet.Address, known fleet.Revision) (follow.Listing, error) {
	var listing follow.Listing
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(peer) + path + "?" + paramKnown + "=" + strconv.FormatUint(uint64(known), 10))
	deadline, _ := ctx.Deadline()
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return listing, eris.Wrapf(err, "asking %s for its copy", peer)
	}
	ms, err := strconv.ParseInt(string(response.Header.Peek(headerAge)), 10, 64)
	if err != nil {
		return listing, eris.Errorf("%s answered %d without an age", peer, response.StatusCode())
	}
	switch response.StatusCode() {
	case fasthttp.StatusNoContent:
		listing.Age = time.Duration(ms) * time.Millisecond
		return listing, follow.ErrUnchanged
	case fasthttp.StatusOK:
		if err := json.Unmarshal(response.Body(), &listing); err != nil {
			return follow.Listing{}, eris.Wrapf(err, "the copy of %s is not valid", peer)
		}
		listing.Age = time.Duration(ms) * time.Millisecond
		return listing, nil
	default:
		return listing, eris.Errorf("%s answered %d", peer, response.StatusCode())
	}
}
