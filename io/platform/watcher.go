package platform

import (
	"context"
	"time"

	"galenaridge/core/fleet"
)

// Sink receives what a watcher reads. Its methods are called from the
// goroutines of the watcher and may be called concurrently.
type Sink interface {
	// ConfigRead hands on a value of the configuration.
	ConfigRead(value Config)
	// ListRead hands on the list of processes.
	ListRead(listing fleet.Listing)
}

// Watcher watches the platform while it is enabled.
type Watcher struct{}

// NewWatcher returns a watcher that is off.
func NewWatcher(options Options, sink Sink) (*Watcher, error) { return &Watcher{}, nil }

// Enable switches the watcher on or off; a pending watch ends at once.
func (w *Watcher) Enable(on bool) {}

// FailingSince returns since when calls to the platform fail, and false if
// the watcher is off or its latest calls succeeded.
func (w *Watcher) FailingSince() (time.Time, bool) { return time.Time{}, false }

// Run watches while enabled, until the context ends.
func (w *Watcher) Run(ctx context.Context) {}
