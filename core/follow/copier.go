package follow

import (
	"context"
	"time"

	"galenaridge/core/fleet"
)

const (
	// fetchLimit bounds a question to a peer.
	fetchLimit = 400 * time.Millisecond
	// fetchPause is the least time between questions, so that changes that come
	// together are fetched together.
	fetchPause = 100 * time.Millisecond
)

// CopyFetcherOptions configure a Copier.
type CopyFetcherOptions struct {
	Peers Peers
	Sink  Sink
	Clock Timer
}

// CopyFetcher fetches what peers know of the store.
type CopyFetcher struct {
	options CopyFetcherOptions
	wanted  chan want
}

// want is a peer that knows more than a revision.
type want struct {
	peer  fleet.Address
	known fleet.Revision
}

// NewCopyFetcher returns a copier without work.
func NewCopyFetcher(options CopyFetcherOptions) *CopyFetcher {
	return &CopyFetcher{options: options, wanted: make(chan want, 1)}
}

// Fetch asks for the copy of a peer. It does nothing while another question is
// under way: the next beat of the peer brings the next call.
func (c *CopyFetcher) Fetch(peer fleet.Address, known fleet.Revision) {
	select {
	case c.wanted <- want{peer: peer, known: known}:
	default:
	}
}

// Run fetches copies until the context ends.
func (c *CopyFetcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.wanted:
			c.fetch(ctx, w)
		}
		if c.options.Clock.Sleep(ctx, fetchPause) != nil {
			return
		}
	}
}

func (c *CopyFetcher) fetch(ctx context.Context, w want) {
	call, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	listing, err := c.options.Peers.Fetch(call, w.peer, w.known)
	if err != nil {
		c.options.Sink.HandleCopyFetchFailure(w.peer, err)
		return
	}
	c.options.Sink.ApplyListing(listing, false)
}
