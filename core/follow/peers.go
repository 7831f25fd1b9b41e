package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/route"
)

// ErrBusy means that a peer sends to too many others at the moment.
var ErrBusy = errors.New("the peer is sending to other instances")

// Peers fetches the copies of other instances.
type Peers interface {
	// FetchChanges returns the changes of the server listing of a peer since a known
	// position. It returns ErrCompacted if the peer does not have all of them, which is so
	// if its listing is of another era.
	FetchChanges(ctx context.Context, peer fleet.Address, known fleet.Position) (Listing, error)
	// FetchPart returns a part of a document. It returns ErrBusy if the peer sends to
	// too many other instances.
	FetchPart(ctx context.Context, peer fleet.Address, request PartRequest) (Part, error)
	// Decode returns the Servers or the Routes of a complete document.
	Decode(kind Kind, encoded []byte) (Listing, error)
	// ReceivedBytes returns the number of bytes received from peers so far, also by
	// fetches that failed.
	ReceivedBytes() int64
}

// PeerSink receives what was fetched from peers.
type PeerSink interface {
	// ApplyListing receives the changes of the server listing, or a complete one.
	ApplyListing(listing Listing, outage bool)
	// ApplyConfiguration receives a configuration.
	ApplyConfiguration(document *route.Document)
	// ReportFetch is called at the end of each transfer and at each failure.
	ReportFetch(report FetchReport)
}

// Copy tells which documents this instance has.
type Copy interface {
	Generation(kind Kind) Generation
}

// Random returns random numbers from 0 up to, but not including, 1.
type Random interface {
	Float64() float64
}

// FetchReport describes a finished transfer from peers, or a call to one that failed.
type FetchReport struct {
	Kind Kind
	// Peer is the peer of the last call.
	Peer fleet.Address
	// Known is the generation of the own copy, Fetched the generation that was fetched.
	Known   Generation
	Fetched Generation
	// Duration is the time of the whole transfer, or of the call that failed.
	Duration time.Duration
	// ReceivedBytes is what arrived in that time.
	ReceivedBytes int64
	// Err is set if a call failed. What was received before is kept.
	Err error
}
