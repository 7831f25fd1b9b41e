package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// realTime waits on the real clock.
type realTime struct{ clockwork.Clock }

func (realTime) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// script is a store whose answers are set by the test.
type script struct {
	mu       sync.Mutex
	listErr  error
	watchErr error
	lists    int
	watches  int
	changes  []Change
	revision fleet.Revision
}

func (s *script) List(context.Context) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return Listing{Revision: s.revision}, s.listErr
}

func (s *script) Watch(ctx context.Context, after fleet.Revision, _ time.Duration) ([]Change, fleet.Revision, error) {
	s.mu.Lock()
	s.watches++
	err, changes, revision := s.watchErr, s.changes, s.revision
	s.changes = nil
	s.mu.Unlock()
	if err != nil || len(changes) > 0 {
		return changes, revision, err
	}
	select {
	case <-time.After(10 * time.Millisecond):
	case <-ctx.Done():
	}
	return nil, max(after, revision), ctx.Err()
}

func (s *script) set(change func(s *script)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// sink records what is read.
type sink struct {
	mu       sync.Mutex
	listed   []bool
	changed  int
	lost     int
	regained int
	missed   int
	partial  int
}

func (s *sink) ApplyListing(l Listing, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = append(s.listed, outage)
	if l.Partial {
		s.partial++
	}
}

func (s *sink) ApplyChanges(changes []Change, _ fleet.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed += len(changes)
}

func (s *sink) HandleStoreLost(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

func (s *sink) HandleStoreRegained(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regained++
}

func (s *sink) HandleCopyFetchFailure(fleet.Address, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed++
}

func (s *sink) holds(t *testing.T, what string, condition func(s *sink) bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return condition(s)
	}, 5*time.Second, time.Millisecond, what)
}

func startFollower(t *testing.T) (*Follower, *script, *sink) {
	t.Helper()
	source, target := &script{revision: 10}, &sink{}
	f := New(Options{Store: source, Sink: target, Clock: realTime{clockwork.NewRealClock()}})
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

// TestFollower guards against changes that are not seen, after each kind of
// failure of the store.
func TestFollower(t *testing.T) {
	f, source, target := startFollower(t)
	time.Sleep(20 * time.Millisecond)
	source.set(func(s *script) { require.Zero(t, s.lists, "nothing is read before it is enabled") })
	f.SetEnabled(true)
	target.holds(t, "first listing", func(s *sink) bool { return len(s.listed) == 1 && !s.listed[0] })
	source.set(func(s *script) { s.changes, s.revision = []Change{{Server: &registry.Server{}}}, 11 })
	target.holds(t, "a change", func(s *sink) bool { return s.changed == 1 })
	source.set(func(s *script) { s.watchErr = ErrCompacted })
	target.holds(t, "a listing after the history was dropped", func(s *sink) bool { return len(s.listed) >= 2 && !s.listed[1] && s.lost == 0 })
	source.set(func(s *script) { s.watchErr = errors.New("503") })
	target.holds(t, "loss", func(s *sink) bool { return s.lost == 1 })
	source.set(func(s *script) { s.watchErr = nil })
	target.holds(t, "return", func(s *sink) bool { return s.regained == 1 })
}

// TestFollowerAfterOutage guards against servers that are dropped since their
// entries lapsed while the store was away.
func TestFollowerAfterOutage(t *testing.T) {
	f, source, target := startFollower(t)
	f.SetEnabled(true)
	target.holds(t, "first listing", func(s *sink) bool { return len(s.listed) == 1 })
	failure := errors.New("silent")
	source.set(func(s *script) { s.watchErr, s.listErr = failure, failure })
	time.Sleep(outageAfter + 500*time.Millisecond)
	source.set(func(s *script) { s.watchErr, s.listErr = nil, nil })
	target.holds(t, "a listing that is marked", func(s *sink) bool { return len(s.listed) >= 2 && s.listed[1] })
	f.SetEnabled(false)
	time.Sleep(50 * time.Millisecond)
	var calls int
	source.set(func(s *script) { calls = s.lists + s.watches })
	time.Sleep(100 * time.Millisecond)
	source.set(func(s *script) { require.Equal(t, calls, s.lists+s.watches, "nothing is read after the end") })
}

// peers answers with a listing or an error.
type peers struct{ err error }

func (p peers) Fetch(context.Context, fleet.Address, fleet.Revision) (Listing, error) {
	return Listing{Partial: true}, p.err
}

// TestCopier guards against copies that are lost, and against failures that are
// taken for copies.
func TestCopier(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		missed int
		copies int
	}{
		{"a copy", nil, 0, 1},
		{"no answer", errors.New("refused"), 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := &sink{}
			c := NewCopyFetcher(CopyFetcherOptions{Peers: peers{test.err}, Sink: target, Clock: realTime{clockwork.NewRealClock()}})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.Run(ctx)
			}()
			c.Fetch("peer", 1)
			target.holds(t, "the end of the question", func(s *sink) bool { return s.missed == test.missed && s.partial == test.copies })
			cancel()
			<-done
		})
	}
}
