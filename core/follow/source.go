package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/route"
)

// Change is one entry of the store, decoded. One of the fields is set.
type Change struct {
	// Server is a new or changed server.
	Server *registry.Server
	// Removed is a server whose entry was removed or cannot be read.
	Removed fleet.ServerID
	// Routes is a new configuration.
	Routes *route.Document
}

// Listing is what the store says: all of it, or the changes since a revision.
type Listing struct {
	Servers  []registry.Server
	Routes   *route.Document
	Revision fleet.Revision
	// Age is how long ago the listing was confirmed; zero for the store itself.
	Age time.Duration
	// Partial listings have Changes in place of Servers and Routes.
	Partial bool
	Changes []Change
}

// ErrCompacted means that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the store has dropped its history")

// Store reads the store.
type Store interface {
	// List returns all entries. Changes made since its revision may be missing.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision, and none if there are none
	// before the wait ends. It fails with ErrCompacted.
	Watch(ctx context.Context, after fleet.Revision, wait time.Duration) ([]Change, fleet.Revision, error)
}

// Peers reads the copies of other instances.
type Peers interface {
	// Fetch returns what the copy of a peer has beyond the known revision.
	Fetch(ctx context.Context, peer fleet.Address, known fleet.Revision) (Listing, error)
}

// Sink takes what was read.
type Sink interface {
	// ApplyListing takes a listing. After an outage, servers that a complete one lacks
	// may only not have renewed their entries yet.
	ApplyListing(listing Listing, outage bool)
	// ApplyChanges takes changes up to a revision, maybe none.
	ApplyChanges(changes []Change, revision fleet.Revision)
	// HandleStoreLost and Regained report the state of the store.
	HandleStoreLost(err error)
	HandleStoreRegained(after time.Duration)
	// HandleCopyFetchFailure reports that a peer did not hand on its copy.
	HandleCopyFetchFailure(peer fleet.Address, err error)
}
