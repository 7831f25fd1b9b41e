package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
	"galenaridge/core/route"
)

// realTimer is a Timer on the real clock.
type realTimer struct{ clockwork.Clock }

func (realTimer) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fakeStore is a store whose responses the test sets.
type fakeStore struct {
	mu       sync.Mutex
	listErr  error
	watchErr error
	// watchTakes is how long a response to a watch takes to arrive.
	watchTakes time.Duration
	lists      int
	watches    int
	// configReads counts the reads of the configuration alone.
	configReads int
	changes     []Change
	position    fleet.Position
}

func (s *fakeStore) List(context.Context) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return Listing{Position: s.position}, s.listErr
}

func (s *fakeStore) Watch(ctx context.Context, after fleet.Position, _ time.Duration) (Batch, error) {
	s.mu.Lock()
	s.watches++
	err, changes, position, takes := s.watchErr, s.changes, s.position, s.watchTakes
	s.changes = nil
	s.mu.Unlock()
	select {
	case <-time.After(takes):
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
	if err != nil || len(changes) > 0 {
		return Batch{From: after, To: position, Changes: changes}, err
	}
	select {
	case <-time.After(10 * time.Millisecond):
	case <-ctx.Done():
	}
	return Batch{From: after, To: position}, ctx.Err()
}

func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// recordingSink counts the calls of a follower or fetcher.
type recordingSink struct {
	mu       sync.Mutex
	listed   []bool
	changed  int
	lost     int
	regained int
	missed   int
	partial  int
	configs  []fleet.Version
}

func (s *recordingSink) ApplyListing(l Listing, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = append(s.listed, outage)
	if l.Partial {
		s.partial++
	}
}

func (s *recordingSink) ApplyChanges(batch Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed += len(batch.Changes)
}

func (s *recordingSink) HandleStoreLost(error, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

func (s *recordingSink) HandleStoreRegained(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regained++
}

func (s *recordingSink) ReportFetch(report FetchReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Err != nil {
		s.missed++
	}
}

// eventually fails the test unless the condition holds within 5 s.
func (s *recordingSink) eventually(t *testing.T, what string, condition func(s *recordingSink) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return condition(s)
	}, 5*time.Second, time.Millisecond, what)
}

func startFollower(t *testing.T) (*Follower, *fakeStore, *recordingSink) {
	t.Helper()
	source, target := &fakeStore{position: fleet.Position{Revision: 10}}, &recordingSink{}
	f := New(Options{Store: source, Sink: target, Clock: realTimer{clockwork.NewRealClock()}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, source, target
}

// TestFollower guards against missed changes after each kind of failure of the store.
func TestFollower(t *testing.T) {
	f, source, target := startFollower(t)
	time.Sleep(20 * time.Millisecond)
	source.set(func(s *fakeStore) { require.Zero(t, s.lists, "nothing is read before the follower is enabled") })
	f.SetMode(Reader)
	target.eventually(t, "first listing", func(s *recordingSink) bool { return len(s.listed) == 1 && !s.listed[0] })
	source.set(func(s *fakeStore) {
		s.changes, s.position = []Change{{Server: &registry.Server{}}}, fleet.Position{Revision: 11}
	})
	target.eventually(t, "a change", func(s *recordingSink) bool { return s.changed == 1 })
	source.set(func(s *fakeStore) { s.watchErr = ErrCompacted })
	target.eventually(t, "a listing after the history was dropped", func(s *recordingSink) bool { return len(s.listed) >= 2 && !s.listed[1] && s.lost == 0 })
	source.set(func(s *fakeStore) { s.watchErr = errors.New("503") })
	target.eventually(t, "loss", func(s *recordingSink) bool { return s.lost == 1 })
	source.set(func(s *fakeStore) { s.watchErr = nil })
	target.eventually(t, "return", func(s *recordingSink) bool { return s.regained == 1 })
}

// TestFollowerSlowTransfer guards against a change that never arrives, because its transfer
// takes longer than a watch without changes.
func TestFollowerSlowTransfer(t *testing.T) {
	f, source, target := startFollower(t)
	source.set(func(s *fakeStore) {
		s.watchTakes = watchWait + 600*time.Millisecond
		s.changes, s.position = []Change{{Server: &registry.Server{}}}, fleet.Position{Revision: 11}
	})
	f.SetMode(Reader)
	target.eventually(t, "the change", func(s *recordingSink) bool { return s.changed == 1 && s.lost == 0 })
}

// TestFollowerAfterOutage guards against dropping live servers whose entries lapsed while
// the store was unavailable: the listing must be marked as one after an outage.
func TestFollowerAfterOutage(t *testing.T) {
	f, source, target := startFollower(t)
	f.SetMode(Reader)
	target.eventually(t, "first listing", func(s *recordingSink) bool { return len(s.listed) == 1 })
	failure := errors.New("silent")
	source.set(func(s *fakeStore) { s.watchErr, s.listErr = failure, failure })
	time.Sleep(outageAfter + 500*time.Millisecond)
	source.set(func(s *fakeStore) { s.watchErr, s.listErr = nil, nil })
	target.eventually(t, "a listing marked as one after an outage", func(s *recordingSink) bool { return len(s.listed) >= 2 && s.listed[1] })
	f.SetMode(Off)
	time.Sleep(50 * time.Millisecond)
	var calls int
	source.set(func(s *fakeStore) { calls = s.lists + s.watches })
	time.Sleep(100 * time.Millisecond)
	source.set(func(s *fakeStore) {
		require.Equal(t, calls, s.lists+s.watches, "nothing is read after the follower is disabled")
	})
}

func (s *fakeStore) Configuration(context.Context) (*route.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configReads++
	return &route.Document{Version: 7}, s.listErr
}

func (s *recordingSink) ApplyConfiguration(document *route.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configs = append(s.configs, document.Version)
}

func (s *recordingSink) RefuseConfiguration(*ConfigError) {}

// fakePeers returns a partial listing and an error.
type fakePeers struct{ err error }

func (p fakePeers) FetchChanges(context.Context, fleet.Address, fleet.Position) (Listing, error) {
	return Listing{Partial: true}, p.err
}

func (fakePeers) FetchPart(context.Context, fleet.Address, PartRequest) (Part, error) {
	return Part{}, errors.New("no document")
}

func (fakePeers) Decode(Kind, []byte) (Listing, error) { return Listing{}, nil }

func (fakePeers) ReceivedBytes() int64 { return 0 }

// noCopy has no document.
type noCopy struct{}

func (noCopy) Generation(Kind) Generation { return Generation{} }

// firstOf selects the first of several peers.
type firstOf struct{}

func (firstOf) Float64() float64 { return 0 }

// TestCopyFetcher guards against fetched copies that are dropped, and against failed
// fetches that are handled as copies.
func TestCopyFetcher(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		missed int
		copies int
	}{
		{"a copy", nil, 0, 1},
		{"no response", errors.New("refused"), 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := &recordingSink{}
			c := startCopyFetcher(t, fakePeers{test.err}, target)
			c.FetchChanges("peer", fleet.Position{Revision: 1})
			target.eventually(t, "the end of the fetch", func(s *recordingSink) bool { return s.missed == test.missed && s.partial == test.copies })
		})
	}
}

// TestFollowerAfterRestore guards against changes of a restored store that are applied to a
// copy from before: its revisions were issued again for other content.
func TestFollowerAfterRestore(t *testing.T) {
	f, source, target := startFollower(t)
	f.SetMode(Reader)
	target.eventually(t, "first listing", func(s *recordingSink) bool { return len(s.listed) == 1 })
	source.set(func(s *fakeStore) {
		s.changes, s.position = []Change{{Server: &registry.Server{}}}, fleet.Position{Era: 1, Revision: 11}
	})
	target.eventually(t, "a listing of the new era", func(s *recordingSink) bool { return len(s.listed) == 2 && s.lost == 0 })
	target.eventually(t, "no changes", func(s *recordingSink) bool { return s.changed == 0 })
	source.set(func(s *fakeStore) {
		s.changes, s.position = []Change{{Server: &registry.Server{}}}, fleet.Position{Era: 1, Revision: 12}
	})
	target.eventually(t, "a change in the new era", func(s *recordingSink) bool { return s.changed == 1 })
}

// silentStore gives no response to calls that begin before its return.
type silentStore struct {
	*fakeStore
	returnsAt time.Time
	// calledAt holds the starts of the calls.
	calledAt []time.Time
}

func (s *silentStore) call(limit time.Duration) error {
	s.mu.Lock()
	s.calledAt = append(s.calledAt, time.Now())
	silent := time.Now().Before(s.returnsAt)
	s.mu.Unlock()
	if silent {
		time.Sleep(limit)
		return errors.New("no response")
	}
	return nil
}

func (s *silentStore) List(ctx context.Context) (Listing, error) {
	if err := s.call(700 * time.Millisecond); err != nil {
		return Listing{}, err
	}
	return s.fakeStore.List(ctx)
}

func (s *silentStore) Watch(ctx context.Context, after fleet.Position, wait time.Duration) (Batch, error) {
	if err := s.call(wait + 400*time.Millisecond); err != nil {
		return Batch{}, err
	}
	return s.fakeStore.Watch(ctx, after, wait)
}

// TestReturnIsSeen guards against a reader that sees the return of a silent store so late that
// there is no time left for live servers to write their lapsed entries again.
func TestReturnIsSeen(t *testing.T) {
	for outage := 3 * time.Second; outage < 5*time.Second; outage += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			source, target := &silentStore{fakeStore: &fakeStore{position: fleet.Position{Revision: 10}}}, &recordingSink{}
			f := New(Options{Store: source, Sink: target, Clock: realTimer{clockwork.NewRealClock()}})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			f.SetMode(Reader)
			time.Sleep(100 * time.Millisecond)
			source.set(func(*fakeStore) { source.returnsAt = time.Now().Add(outage) })
			time.Sleep(outage + 900*time.Millisecond)
			cancel()
			<-done
			first := slices.IndexFunc(source.calledAt, func(at time.Time) bool { return !at.Before(source.returnsAt) })
			require.Positive(t, first)
			require.LessOrEqual(t, source.calledAt[first].Sub(source.calledAt[first-1]), 4*readerBackoff, "outage of %v", outage)
			require.Equal(t, []bool{false, true}, target.listed, "a listing marked as one after an outage")
		})
	}
}

// TestFailuresInEachMode guards against a store that all instances of a fleet call often while
// it is down, and against a loss that is reported once and then forgotten.
func TestFailuresInEachMode(t *testing.T) {
	tests := []struct {
		name string
		mode Mode
		// calls is the number of failed calls within 2.9 s.
		calls int
	}{
		{"reader", Reader, 5},
		{"backup", Backup, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, target := &fakeStore{listErr: errors.New("503")}, &recordingSink{}
				f := New(Options{Store: source, Sink: target, Clock: realTimer{clockwork.NewRealClock()}})
				ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
				defer cancel()
				f.SetMode(test.mode)
				f.Run(ctx)
				require.Equal(t, test.calls, source.lists)
				require.Equal(t, test.calls, target.lost, "each failure is reported")
			})
		})
	}
}
