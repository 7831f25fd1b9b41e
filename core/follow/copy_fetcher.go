package follow

import (
	"context"

	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
)

// CopyFetcherOptions configures a CopyFetcher.
type CopyFetcherOptions struct {
	Peers  Peers
	Sink   PeerSink
	Copy   Copy
	Clock  Timer
	Random Random
}

// CopyFetcher fetches the copies of the store that peers have. Changes of servers are
// fetched apart from documents, so that they never wait for a large one.
type CopyFetcher struct {
	changes   changeFetcher
	documents documentFetcher
}

// NewCopyFetcher returns a fetcher. Its requests are handled by Run.
func NewCopyFetcher(options CopyFetcherOptions) *CopyFetcher {
	c := &CopyFetcher{documents: newDocumentFetcher(options)}
	c.changes = newChangeFetcher(options, c.documents.offer)
	return c
}

// FetchChanges requests the changes of the server listing of a peer since a position. It
// does not block, and does nothing while another request is queued: the next heartbeat of
// the peer leads to the next call.
func (c *CopyFetcher) FetchChanges(peer fleet.Address, known fleet.Position) {
	c.changes.request(changeRequest{peer: peer, known: known})
}

// FetchConfiguration names a peer that has a newer configuration. It does not block.
func (c *CopyFetcher) FetchConfiguration(peer fleet.Address, version fleet.Version) {
	c.documents.offer(offer{kind: Configuration, peer: peer, generation: VersionGeneration(version)})
}

// Run handles requests until the context ends.
func (c *CopyFetcher) Run(ctx context.Context) {
	var running conc.WaitGroup
	running.Go(func() { c.changes.run(ctx) })
	running.Go(func() { c.documents.run(ctx) })
	running.Wait()
}
