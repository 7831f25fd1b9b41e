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
	// Gone is a server whose entry was removed or cannot be read.
	Gone fleet.ServerID
	// Routes is a new configuration.
	Routes *route.Document
}

// Listing is all that the store says.
type Listing struct {
	Servers  []registry.Server
	Routes   *route.Document
	Revision fleet.Revision
	// Age is how long ago the listing was confirmed; zero for the store itself.
	Age time.Duration
}

// ErrCompacted means that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the store has dropped its history")

// ErrUnchanged means that a peer knows nothing newer.
var ErrUnchanged = errors.New("the peer has nothing newer")

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
	// Fetch returns the copy of a peer if its revision is higher than the known
	// one. It fails with ErrUnchanged, and returns the age of the copy then too.
	Fetch(ctx context.Context, peer fleet.Address, known fleet.Revision) (Listing, error)
}

// Sink takes what was read.
type Sink interface {
	// Listed takes a complete listing. After an outage, servers that it lacks may
	// only not have renewed their entries yet.
	Listed(listing Listing, outage bool)
	// Changed takes changes up to a revision, maybe none.
	Changed(changes []Change, revision fleet.Revision)
	// Confirmed says that the copy was current this long ago, by a peer.
	Confirmed(age time.Duration)
	// Lost and Regained report the state of the store.
	Lost(err error)
	Regained(after time.Duration)
	// Candidates returns the peers that may have a current copy.
	Candidates() []fleet.Address
}
