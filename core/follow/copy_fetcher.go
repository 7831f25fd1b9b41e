package follow

import (
	"context"
	"time"

	"galenaridge/core/fleet"
)

const (
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 400 * time.Millisecond
	// fetchInterval is the minimum time between two fetches, so that changes made
	// shortly after each other are fetched together.
	fetchInterval = 100 * time.Millisecond
)

// CopyFetcherOptions configures a CopyFetcher.
type CopyFetcherOptions struct {
	Peers Peers
	Sink  Sink
	Clock Timer
}

// CopyFetcher fetches the copies of the store that peers have, one at a time.
type CopyFetcher struct {
	options  CopyFetcherOptions
	requests chan fetchRequest
}

// fetchRequest names a peer whose copy is newer than the known revision.
type fetchRequest struct {
	peer  fleet.Address
	known fleet.Revision
}

// NewCopyFetcher returns a fetcher. Its requests are handled by Run.
func NewCopyFetcher(options CopyFetcherOptions) *CopyFetcher {
	return &CopyFetcher{options: options, requests: make(chan fetchRequest, 1)}
}

// Fetch requests a fetch of the copy of a peer. It does not block, and does nothing while
// another request is queued: the next heartbeat of the peer leads to the next call.
func (c *CopyFetcher) Fetch(peer fleet.Address, known fleet.Revision) {
	select {
	case c.requests <- fetchRequest{peer: peer, known: known}:
	default:
	}
}

// Run handles requests until the context ends.
func (c *CopyFetcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-c.requests:
			c.fetch(ctx, request)
		}
		if c.options.Clock.Sleep(ctx, fetchInterval) != nil {
			return
		}
	}
}

func (c *CopyFetcher) fetch(ctx context.Context, request fetchRequest) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	startedAt, receivedBefore := c.options.Clock.Now(), c.options.Peers.ReceivedBytes()
	listing, err := c.options.Peers.Fetch(fetchCtx, request.peer, request.known)
	c.options.Sink.ReportFetch(FetchReport{
		Peer:          request.peer,
		Known:         request.known,
		Duration:      c.options.Clock.Now().Sub(startedAt),
		ReceivedBytes: c.options.Peers.ReceivedBytes() - receivedBefore,
		Listing:       listing,
		Err:           err,
	})
	if err == nil {
		c.options.Sink.ApplyListing(listing, false)
	}
}
