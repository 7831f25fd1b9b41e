package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
	"galenaridge/io/logging"
)

const (
	// The minimum time between the starts of successful calls. It limits the rate of
	// calls if the platform does not hold long polls or its values change often.
	configMinInterval = 500 * time.Millisecond
	listMinInterval   = time.Second

	// The limits of the exponential backoff after failed calls, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Sink handles the values that a watcher reads. Its methods may be called
// concurrently from the goroutines of the watcher.
type Sink interface {
	// HandleConfig is called with each configuration that was read.
	HandleConfig(raw RawConfig)
	// HandleListing is called with each listing that was read.
	HandleListing(listing fleet.Listing)
}

// Watcher watches the platform while it is enabled.
type Watcher struct {
	reader  *Reader
	sources []*source

	mu sync.Mutex
	// session is nil while the watcher is disabled. Disabling the watcher cancels
	// it, and thereby the calls of the goroutines of Run.
	session    context.Context
	endSession context.CancelFunc
	// enabled is closed when the watcher is enabled.
	enabled chan struct{}
}

// source is a watched value: the configuration or the listing.
type source struct {
	path        string
	holdTime    time.Duration
	minInterval time.Duration
	connection  *connection
	failures    *logging.FailureLog
	// lastSuccess is the time of the last successful call; nil if there was none
	// since the watcher was enabled.
	lastSuccess atomic.Pointer[time.Time]
	// deliver decodes a value and passes it to the sink.
	deliver func(result pollResult) error
}

// NewWatcher returns a disabled watcher. It returns an error if the base URL is not
// valid.
func NewWatcher(options Options, sink Sink) (*Watcher, error) {
	reader, err := NewReader(options)
	if err != nil {
		return nil, err
	}
	options = reader.options
	configSource := &source{
		path: pathConfig, holdTime: options.ConfigWait, minInterval: configMinInterval, connection: reader.newConnection(),
		failures: logging.NewFailureLog(options.Log, options.Clock, "watch of the configuration"),
		deliver: func(result pollResult) error {
			sink.HandleConfig(RawConfig{Revision: result.revision, YAML: result.value})
			return nil
		},
	}
	oddEntries := logging.NewFailureLog(options.Log, options.Clock, "reading all entries of the list")
	listingSource := &source{
		path: pathList, holdTime: options.ListWait, minInterval: listMinInterval, connection: reader.newConnection(),
		failures: logging.NewFailureLog(options.Log, options.Clock, "watch of the list"),
		deliver: func(result pollResult) error {
			listing, leftOut, err := decodeListing(result.value)
			if err != nil {
				return err
			}
			if leftOut > 0 {
				oddEntries.RecordFailure(eris.Errorf("%d entries cannot be used", leftOut))
			} else {
				oddEntries.RecordSuccess()
			}
			sink.HandleListing(listing)
			return nil
		},
	}
	return &Watcher{reader: reader, sources: []*source{configSource, listingSource}, enabled: make(chan struct{})}, nil
}

// SetEnabled enables or disables the watcher. Disabling it cancels pending calls at
// once.
func (w *Watcher) SetEnabled(enabled bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case enabled && w.session == nil:
		w.session, w.endSession = context.WithCancel(context.Background())
		close(w.enabled)
	case !enabled && w.session != nil:
		w.endSession()
		w.session = nil
		w.enabled = make(chan struct{})
	}
}

// FailingSince returns the time of the first of the latest consecutive failed
// calls. It returns false if the watcher is disabled or its latest calls succeeded.
func (w *Watcher) FailingSince() (time.Time, bool) {
	var earliest time.Time
	for _, source := range w.sources {
		since, failing := source.failures.FailingSince()
		if failing && (earliest.IsZero() || since.Before(earliest)) {
			earliest = since
		}
	}
	return earliest, !earliest.IsZero()
}

// RecentlyRead reports whether the watcher is enabled and the latest call for each
// value succeeded a short time ago. The absence of failed calls does not suffice,
// since a call without a response fails only after its timeout.
func (w *Watcher) RecentlyRead() bool {
	now := w.reader.options.Clock.Now()
	for _, source := range w.sources {
		lastSuccess := source.lastSuccess.Load()
		limit := source.holdTime + source.minInterval + w.reader.options.Timeout
		if _, failing := source.failures.FailingSince(); failing || lastSuccess == nil || now.Sub(*lastSuccess) > limit {
			return false
		}
	}
	return true
}

// Run watches the platform while the watcher is enabled, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for _, source := range w.sources {
		wg.Go(func() { w.watch(ctx, source) })
	}
	wg.Wait()
}

// watch follows a source in each session, until the context ends.
func (w *Watcher) watch(ctx context.Context, source *source) {
	for {
		session, ok := w.nextSession(ctx)
		if !ok {
			return
		}
		sessionCtx, cancel := context.WithCancel(session)
		stop := context.AfterFunc(ctx, cancel)
		w.follow(sessionCtx, source)
		stop()
		cancel()
		source.connection.close()
		source.failures.Reset()
		source.lastSuccess.Store(nil)
	}
}

// nextSession waits until the watcher is enabled; it returns false if the
// context ends first.
func (w *Watcher) nextSession(ctx context.Context) (context.Context, bool) {
	for {
		w.mu.Lock()
		session, enabled := w.session, w.enabled
		w.mu.Unlock()
		if ctx.Err() != nil {
			return nil, false
		}
		if session != nil {
			return session, true
		}
		select {
		case <-ctx.Done():
		case <-enabled:
		}
	}
}

// follow watches a source until the context ends. It starts with a plain read,
// since the value may have changed while the watcher was disabled.
func (w *Watcher) follow(ctx context.Context, source *source) {
	clock := w.reader.options.Clock
	var after fleet.Revision
	backoff := minBackoff
	for ctx.Err() == nil {
		started := clock.Now()
		next, err := w.call(ctx, source, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			source.failures.RecordFailure(err)
			// The next call is a plain read, which returns as soon as the platform
			// works again. The platform would hold a long poll for its full time, and
			// the recovery would be detected only after that.
			after = 0
			w.sleep(ctx, w.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		source.failures.RecordSuccess()
		succeeded := clock.Now()
		source.lastSuccess.Store(&succeeded)
		backoff = minBackoff
		after = next
		w.sleep(ctx, source.minInterval-clock.Now().Sub(started))
	}
}

// call makes one call and returns the revision for the next one; zero requests a
// plain read.
func (w *Watcher) call(ctx context.Context, source *source, after fleet.Revision) (fleet.Revision, error) {
	var holdTime time.Duration
	if after != 0 {
		holdTime = source.holdTime
	}
	result, err := source.connection.get(ctx, w.reader.watchURI(source.path, after, source.holdTime), holdTime)
	if err != nil {
		return 0, err
	}
	if result.changed {
		return result.revision, source.deliver(result)
	}
	if result.revision < after {
		// The platform was reset to an older revision. A long poll after the current
		// revision would never return a value, so a plain read follows.
		return 0, nil
	}
	return after, nil
}

// jitter returns a random duration between half of the given one and all of it.
func (w *Watcher) jitter(backoff time.Duration) time.Duration {
	half := float64(backoff) / 2
	return time.Duration(half + half*w.reader.options.Random.Float64())
}

// sleep waits for the given time or until the context ends.
func (w *Watcher) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := w.reader.options.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
