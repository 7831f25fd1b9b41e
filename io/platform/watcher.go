package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
	"galenaridge/io/logging"
)

const (
	// The least times between the starts of calls that succeed. They bound
	// the calls if the platform does not hold watches or changes often.
	configSpacing = 500 * time.Millisecond
	listSpacing   = time.Second

	// The waits after failed calls, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Sink receives what a watcher reads. Its methods are called from the
// goroutines of the watcher and may be called concurrently.
type Sink interface {
	// HandleConfig hands on a value of the configuration.
	HandleConfig(value RawConfig)
	// HandleListing hands on the list of processes.
	HandleListing(listing fleet.Listing)
}

// Watcher watches the platform while it is enabled.
type Watcher struct {
	reader  *Reader
	sources []*source

	mu sync.Mutex
	// session ends when the watcher is switched off; it is nil while off. It
	// carries that end to the goroutines of Run.
	session context.Context
	end     context.CancelFunc
	enabled chan struct{}
}

// source is one value that is watched.
type source struct {
	path    string
	wait    time.Duration
	spacing time.Duration
	link    *link
	once    *logging.FailureLog
	// read is when a call last succeeded while the watcher was on.
	read atomic.Pointer[time.Time]
	// deliver hands the value to the sink.
	deliver func(found answer) error
}

// NewWatcher returns a watcher that is off.
func NewWatcher(options Options, sink Sink) (*Watcher, error) {
	reader, err := NewReader(options)
	if err != nil {
		return nil, err
	}
	options = reader.options
	config := &source{
		path: pathConfig, wait: options.ConfigWait, spacing: configSpacing, link: reader.newLink(),
		once: logging.NewFailureLog(options.Log, options.Clock, "watch of the configuration"),
		deliver: func(found answer) error {
			sink.HandleConfig(RawConfig{Revision: found.revision, YAML: found.value})
			return nil
		},
	}
	list := &source{
		path: pathList, wait: options.ListWait, spacing: listSpacing, link: reader.newLink(),
		once: logging.NewFailureLog(options.Log, options.Clock, "watch of the list"),
		deliver: func(found answer) error {
			listing, err := decodeList(found.value)
			if err == nil {
				sink.HandleListing(listing)
			}
			return err
		},
	}
	return &Watcher{reader: reader, sources: []*source{config, list}, enabled: make(chan struct{})}, nil
}

// SetEnabled switches the watcher on or off; a pending watch ends at once.
func (w *Watcher) SetEnabled(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case on && w.session == nil:
		w.session, w.end = context.WithCancel(context.Background())
		close(w.enabled)
	case !on && w.session != nil:
		w.end()
		w.session = nil
		w.enabled = make(chan struct{})
	}
}

// FailingSince returns since when calls to the platform fail, and false if
// the watcher is off or its latest calls succeeded.
func (w *Watcher) FailingSince() (time.Time, bool) {
	var earliest time.Time
	for _, source := range w.sources {
		since, failing := source.once.FailingSince()
		if failing && (earliest.IsZero() || since.Before(earliest)) {
			earliest = since
		}
	}
	return earliest, !earliest.IsZero()
}

// RecentlyRead reports whether the watcher is on and the latest call for each value
// succeeded a short time ago. A call that gets no answer at all counts as
// failed only after its timeout, so "not failing" is not enough.
func (w *Watcher) RecentlyRead() bool {
	now := w.reader.options.Clock.Now()
	for _, source := range w.sources {
		read := source.read.Load()
		limit := source.wait + source.spacing + w.reader.options.Timeout
		if _, failing := source.once.FailingSince(); failing || read == nil || now.Sub(*read) > limit {
			return false
		}
	}
	return true
}

// Run watches while enabled, until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for _, source := range w.sources {
		wg.Go(func() { w.watch(ctx, source) })
	}
	wg.Wait()
}

// watch follows a source through all sessions.
func (w *Watcher) watch(ctx context.Context, source *source) {
	for {
		session, ok := w.nextSession(ctx)
		if !ok {
			return
		}
		running, cancel := context.WithCancel(session)
		stop := context.AfterFunc(ctx, cancel)
		w.follow(running, source)
		stop()
		cancel()
		source.link.close()
		source.once.Reset()
		source.read.Store(nil)
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

// follow watches a source until the context ends. It starts with a plain
// read, since the value may have changed while the watcher was off.
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
			source.once.RecordFailure(err)
			// A plain read is answered at once. A watch would be held, and its
			// end would be the first sign that the platform works again.
			after = 0
			w.sleep(ctx, w.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		source.once.RecordSuccess()
		read := clock.Now()
		source.read.Store(&read)
		backoff = minBackoff
		after = next
		w.sleep(ctx, source.spacing-clock.Now().Sub(started))
	}
}

// call makes one call and returns the revision to watch after.
func (w *Watcher) call(ctx context.Context, source *source, after fleet.Revision) (fleet.Revision, error) {
	var hold time.Duration
	if after != 0 {
		hold = source.wait
	}
	found, err := source.link.get(ctx, w.reader.watchURI(source.path, after, source.wait), hold)
	if err != nil {
		return 0, err
	}
	if found.changed {
		return found.revision, source.deliver(found)
	}
	if found.revision < after {
		// The platform went back to an older revision, so a watch after the
		// present one would be held for ever; a plain read follows.
		return 0, nil
	}
	return after, nil
}

// jitter returns a random time from half of the given one up to it.
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
