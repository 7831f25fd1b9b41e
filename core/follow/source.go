package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/route"
)

// Change is the decoded change of one entry of the store. Exactly one field besides Position
// is set.
type Change struct {
	// Position is the position at which the entry was changed; zero if it is not known.
	Position fleet.Position
	// Server is a new or changed server.
	Server *registry.Server
	// Removed is a server whose entry was removed or cannot be decoded.
	Removed fleet.ServerID
	// Routes is a new configuration.
	Routes *route.Document
	// Refused is set if the entry of the configuration cannot be used.
	Refused *ConfigError
}

// ConfigError is the error for a configuration that an instance cannot use. The
// configuration that was active before stays active.
type ConfigError struct {
	// Version is zero if it cannot be read.
	Version fleet.Version
	Reason  error
}

// Error implements error.
func (r *ConfigError) Error() string {
	return fmt.Sprintf("configuration %d refused: %v", r.Version, r.Reason)
}

// Unwrap returns the reason.
func (r *ConfigError) Unwrap() error { return r.Reason }

// Batch holds the changes of the store between two positions.
type Batch struct {
	From, To fleet.Position
	Changes  []Change
}

// Listing is the complete content of the store, or the changes since a position. A
// listing of a peer has no Routes, since the configuration is fetched apart.
type Listing struct {
	Servers []registry.Server
	Routes  *route.Document
	// Refused is set in place of Routes if the configuration cannot be used.
	Refused *ConfigError
	// Position is the position of the store at which the listing was read. Single entries
	// may be newer.
	Position fleet.Position
	// Age is the time since the listing was confirmed; zero if it comes from the store
	// itself.
	Age time.Duration
	// Settled is set by a peer if the servers that the listing lacks have left: none of their
	// entries can have lapsed in an outage of the store.
	Settled bool
	// OutageAge is the time since the peer knew for the last time that the store, or its path to
	// it, was out of service. It is valid if it is positive.
	OutageAge time.Duration
	// Partial is set if the listing has Changes in place of Servers and Routes.
	Partial bool
	Changes []Change
	// Since is the position from which Changes start.
	Since fleet.Position
}

// ErrCompacted means that the store no longer has all changes since a position, so that
// a complete listing is needed.
var ErrCompacted = errors.New("the store has dropped its history")

// Store is the client of the platform's store. A call fails if the store sends nothing for
// too long, but not because a large response takes its time.
type Store interface {
	// List returns all entries. It may lack changes made after its position.
	List(ctx context.Context) (Listing, error)
	// Watch waits for changes after a position. It returns them up to the latest
	// position, or no changes if there are none within the wait. It returns
	// ErrCompacted if the store has dropped some of them. If the batch ends in a later era
	// than it begins, the store was restored, and its changes mean nothing.
	Watch(ctx context.Context, after fleet.Position, wait time.Duration) (Batch, error)
	// Configuration returns the latest configuration, or nil if there is none. It
	// returns a *ConfigError if the configuration cannot be used.
	Configuration(ctx context.Context) (*route.Document, error)
}

// Sink receives the content of the store and the failures to read it.
type Sink interface {
	// ApplyListing receives a listing. The outage flag is set after an outage of the
	// store: live servers that have not renewed their entries yet are missing from it.
	ApplyListing(listing Listing, outage bool)
	// ApplyChanges receives all changes between two positions. Without changes it
	// confirms that the copy is current.
	ApplyChanges(batch Batch)
	// ApplyConfiguration receives a configuration that was read by itself.
	ApplyConfiguration(document *route.Document)
	// RefuseConfiguration receives the reason why a configuration that was read by
	// itself cannot be used.
	RefuseConfiguration(refused *ConfigError)
	// HandleStoreLost is called at each failure with the time at which the call began,
	// HandleStoreRegained at the next success with the time since the first failure.
	HandleStoreLost(err error, calledAt time.Time)
	HandleStoreRegained(after time.Duration)
}
