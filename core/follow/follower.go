package follow

import (
	"context"
	"errors"
	"time"

	"galenaridge/core/fleet"
)

const (
	// watchWait is how long the store keeps a watch open if there is no change. The end
	// of a watch confirms the copy, so watchWait bounds the age of the copy. A shorter
	// time costs more, since each call to the store is paid for.
	watchWait = 800 * time.Millisecond
	// transferTimeout bounds a call as a whole, in addition to watchWait. The store's
	// client ends a call long before if nothing arrives.
	transferTimeout = 10 * time.Second
	// batchDelay is the time between a change and the next watch, so that changes
	// made shortly after each other are read by one call.
	batchDelay = 60 * time.Millisecond
	// probeWait is the wait of a watch after a failed call. It ends at once, so that the return
	// of the store is seen as soon as it can be.
	probeWait = time.Millisecond
	// readerBackoff and backupBackoff are the times between the starts of the first failed call
	// to the store and of the next one. They double with each further failure, up to four times
	// as long. Four times readerBackoff bounds how long the return of the store, or of the path
	// to it, stays unseen by a reader; a call that is longer counts in place of it.
	readerBackoff = 200 * time.Millisecond
	backupBackoff = 600 * time.Millisecond
	// minBackoff is the shortest time from the end of a failed call to the next one.
	minBackoff = 100 * time.Millisecond
	// outageAfter is how long the store must have been unavailable before the entries of
	// live servers may have lapsed.
	outageAfter = time.Second
)

// Mode is how a Follower reads the store.
type Mode uint8

const (
	// Off means that the store is not read.
	Off Mode = iota
	// Reader means that other instances depend on this one, so that calls that failed are soon
	// repeated.
	Reader
	// Backup means that the instance reads the store because nothing else confirms its copy.
	// There may be many such instances, and each call costs.
	Backup
)

// Timer is a clock that can also wait.
type Timer interface {
	fleet.Clock
	// Sleep waits for a duration. It fails if the context ends first.
	Sleep(ctx context.Context, d time.Duration) error
}

// Options configures a Follower.
type Options struct {
	Store Store
	Sink  Sink
	Clock Timer
}

// Follower reads the store and passes its content to a Sink. Only Run uses the fields
// from mode on.
type Follower struct {
	options        Options
	modeRequests   chan Mode
	configRequests chan struct{}
	mode           Mode
	// listed is set if changes since position suffice to bring the copy up to date.
	listed   bool
	position fleet.Position
	// failingSince is when the first call failed after the last success.
	failingSince time.Time
	// failures counts the calls that failed since the last success.
	failures int
	// calledAt is when the latest call began.
	calledAt time.Time
}

// New returns a follower that does not read the store yet.
func New(options Options) *Follower {
	return &Follower{options: options, modeRequests: make(chan Mode, 1), configRequests: make(chan struct{}, 1)}
}

// SetMode starts or stops reading the store. It does not block; only the last of several
// calls has an effect.
func (f *Follower) SetMode(mode Mode) {
	for {
		select {
		case f.modeRequests <- mode:
			return
		default:
		}
		select {
		case <-f.modeRequests:
		default:
		}
	}
}

// ReadConfiguration reads the configuration once, while the follower does not read the store.
// It does not block.
func (f *Follower) ReadConfiguration() {
	select {
	case f.configRequests <- struct{}{}:
	default:
	}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.awaitMode(ctx) {
			return
		}
		if err := f.readStore(ctx); err != nil {
			f.handleFailure(ctx, err)
		}
	}
}

// awaitMode waits until the store is to be read. It returns false if the context ends first.
func (f *Follower) awaitMode(ctx context.Context) bool {
	for {
		if f.mode != Off {
			select {
			case f.mode = <-f.modeRequests:
			default:
				return true
			}
			continue
		}
		f.listed = false
		f.failingSince, f.failures = time.Time{}, 0
		select {
		case f.mode = <-f.modeRequests:
		case <-f.configRequests:
			f.readConfiguration(ctx)
		case <-ctx.Done():
			return false
		}
	}
}

// readConfiguration reads only the configuration. A failure is left to the next request.
func (f *Follower) readConfiguration(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	document, err := f.options.Store.Configuration(callCtx)
	var refused *ConfigError
	switch {
	case errors.As(err, &refused):
		f.options.Sink.RefuseConfiguration(refused)
	case err == nil && document != nil:
		f.options.Sink.ApplyConfiguration(document)
	}
}

// readStore makes one call to the store: a complete listing if there is none to start
// from, or else a watch for changes.
func (f *Follower) readStore(ctx context.Context) error {
	f.calledAt = f.options.Clock.Now()
	if !f.listed {
		return f.readListing(ctx)
	}
	wait := watchWait
	if f.failures > 0 {
		wait = probeWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+transferTimeout)
	defer cancel()
	batch, err := f.options.Store.Watch(callCtx, f.position, wait)
	if errors.Is(err, ErrCompacted) {
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.recordSuccess()
	if batch.To.Era != f.position.Era {
		// The store was restored, and its revisions were issued again for other content.
		f.listed = false
		return nil
	}
	if batch.To.Before(f.position) {
		batch.To = f.position
	}
	f.position = batch.To
	f.options.Sink.ApplyChanges(batch)
	if len(batch.Changes) > 0 {
		return f.options.Clock.Sleep(ctx, batchDelay)
	}
	return nil
}

func (f *Follower) readListing(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	listing, err := f.options.Store.List(callCtx)
	if err != nil {
		return err
	}
	outage := f.hadOutage()
	f.recordSuccess()
	f.listed = true
	f.position = listing.Position
	f.options.Sink.ApplyListing(listing, outage)
	return nil
}

// hadOutage reports whether the store failed for so long that entries of live servers
// may have lapsed.
func (f *Follower) hadOutage() bool {
	return !f.failingSince.IsZero() && f.options.Clock.Now().Sub(f.failingSince) > outageAfter
}

// recordSuccess resets the failures and reports the end of a loss of the store.
func (f *Follower) recordSuccess() {
	now := f.options.Clock.Now()
	if !f.failingSince.IsZero() {
		f.options.Sink.HandleStoreRegained(now.Sub(f.failingSince))
	}
	f.failingSince = time.Time{}
	f.failures = 0
}

// handleFailure reports the loss of the store and waits before the next call. Meanwhile
// the copies of peers that reach the store can be fetched.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.options.Clock.Now()
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	f.options.Sink.HandleStoreLost(err, f.calledAt)
	if now.Sub(f.failingSince) > outageAfter {
		// Changes made while the store was unavailable may have been dropped from its
		// history. In a complete listing, servers whose entries lapsed are missing.
		f.listed = false
	}
	f.failures++
	backoff := readerBackoff
	if f.mode == Backup {
		backoff = backupBackoff
	}
	backoff = backoff<<min(f.failures-1, 2) - now.Sub(f.calledAt)
	_ = f.options.Clock.Sleep(ctx, max(backoff, minBackoff))
}
