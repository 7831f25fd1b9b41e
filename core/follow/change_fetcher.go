package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
)

const (
	// changesTimeout bounds a fetch of changes, which are few.
	changesTimeout = 400 * time.Millisecond
	// changesInterval is the minimum time between two fetches of changes, so that changes
	// made shortly after each other are fetched together.
	changesInterval = 100 * time.Millisecond
)

// changeRequest names a peer whose server listing is newer than the known position.
type changeRequest struct {
	peer  fleet.Address
	known fleet.Position
}

// changeFetcher fetches changes of the server listing, one request at a time.
type changeFetcher struct {
	options  CopyFetcherOptions
	requests chan changeRequest
	// offerListing is called if a peer no longer has all changes, so that its complete
	// listing is needed.
	offerListing func(offer)
}

func newChangeFetcher(options CopyFetcherOptions, offerListing func(offer)) changeFetcher {
	return changeFetcher{options: options, requests: make(chan changeRequest, 1), offerListing: offerListing}
}

func (c *changeFetcher) request(r changeRequest) {
	select {
	case c.requests <- r:
	default:
	}
}

func (c *changeFetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-c.requests:
			c.fetch(ctx, request)
		}
		if c.options.Clock.Sleep(ctx, changesInterval) != nil {
			return
		}
	}
}

func (c *changeFetcher) fetch(ctx context.Context, request changeRequest) {
	if request.known.IsZero() {
		c.offerListing(offer{kind: Servers, peer: request.peer, generation: Generation{Number: 1}})
		return
	}
	fetchCtx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	startedAt, receivedBefore := c.options.Clock.Now(), c.options.Peers.ReceivedBytes()
	listing, err := c.options.Peers.FetchChanges(fetchCtx, request.peer, request.known)
	if errors.Is(err, ErrCompacted) {
		next := PositionGeneration(request.known)
		next.Number++
		c.offerListing(offer{kind: Servers, peer: request.peer, generation: next})
		return
	}
	took := c.options.Clock.Now().Sub(startedAt)
	c.options.Sink.ReportFetch(FetchReport{
		Kind:          Changes,
		Peer:          request.peer,
		Known:         PositionGeneration(request.known),
		Fetched:       PositionGeneration(listing.Position),
		Duration:      took,
		ReceivedBytes: c.options.Peers.ReceivedBytes() - receivedBefore,
		Err:           err,
	})
	if err == nil {
		// The peer computed the age when it began to respond, at an unknown time of the call.
		listing.Since, listing.Age = request.known, listing.Age+took
		c.options.Sink.ApplyListing(listing, false)
	}
}
