package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
)

const (
	// watchWait is how long the store keeps a watch without changes. Its end
	// confirms the copy, so the copy is at most this old; each watch is a call
	// that is paid for.
	watchWait = 800 * time.Millisecond
	// callLimit bounds a call beyond the time that it waits.
	callLimit = 400 * time.Millisecond
	// listLimit bounds a complete listing, which may have many pages.
	listLimit = 5 * time.Second
	// gatherPause lets changes that come together arrive in one call.
	gatherPause = 60 * time.Millisecond
	// retryPause is the time between calls to a store that fails; it doubles up
	// to maxRetryPause.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// outageAfter is how long the store must have been away for servers to have
	// lapsed meanwhile.
	outageAfter = time.Second
)

// Timer waits for a duration or until the context ends.
type Timer interface {
	fleet.Clock
	Sleep(ctx context.Context, d time.Duration) error
}

// Options configure a Follower.
type Options struct {
	Store Store
	Sink  Sink
	Clock Timer
}

// Follower keeps the copy current. Run is its only user.
type Follower struct {
	options  Options
	wanted   chan bool
	enabled  bool
	listed   bool
	revision fleet.Revision
	// lostAt is the first failure since the last answer of the store.
	lostAt time.Time
	// failures counts the calls that failed in a row.
	failures int
}

// New returns a follower that is not enabled.
func New(options Options) *Follower {
	return &Follower{options: options, wanted: make(chan bool, 1)}
}

// SetEnabled starts or ends the reading. Only the last call counts.
func (f *Follower) SetEnabled(on bool) {
	for {
		select {
		case f.wanted <- on:
			return
		default:
		}
		select {
		case <-f.wanted:
		default:
		}
	}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.awaitEnabled(ctx) {
			return
		}
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
		}
	}
}

// awaitEnabled waits while the follower is not enabled.
func (f *Follower) awaitEnabled(ctx context.Context) bool {
	for {
		if f.enabled {
			select {
			case f.enabled = <-f.wanted:
			default:
				return true
			}
			continue
		}
		f.listed = false
		f.lostAt = time.Time{}
		select {
		case f.enabled = <-f.wanted:
		case <-ctx.Done():
			return false
		}
	}
}

// step makes one call to the store.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchWait+callLimit)
	defer cancel()
	changes, revision, err := f.options.Store.Watch(call, f.revision, watchWait)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.succeeded()
	f.revision = max(f.revision, revision)
	f.options.Sink.ApplyChanges(changes, f.revision)
	if len(changes) > 0 {
		return f.options.Clock.Sleep(ctx, gatherPause)
	}
	return nil
}

// list reads a complete listing.
func (f *Follower) list(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	listing, err := f.options.Store.List(call)
	if err != nil {
		return err
	}
	outage := f.wasAway()
	f.succeeded()
	f.listed = true
	f.revision = listing.Revision
	f.options.Sink.ApplyListing(listing, outage)
	return nil
}

// wasAway reports whether the store failed for so long that servers may have
// lapsed.
func (f *Follower) wasAway() bool {
	return !f.lostAt.IsZero() && f.options.Clock.Now().Sub(f.lostAt) > outageAfter
}

func (f *Follower) succeeded() {
	now := f.options.Clock.Now()
	if !f.lostAt.IsZero() {
		f.options.Sink.HandleStoreRegained(now.Sub(f.lostAt))
	}
	f.lostAt = time.Time{}
	f.failures = 0
}

// failed waits before the next call to the store. Peers hand on their copies
// meanwhile, if they reach it.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.options.Clock.Now()
	if f.lostAt.IsZero() {
		f.lostAt = now
		f.options.Sink.HandleStoreLost(err)
	}
	if now.Sub(f.lostAt) > outageAfter {
		// Changes that were made while the store was away may have been dropped
		// from its history, and a listing shows lapsed servers as missing.
		f.listed = false
	}
	f.failures++
	_ = f.options.Clock.Sleep(ctx, min(retryPause<<min(f.failures-1, 2), maxRetryPause))
}
