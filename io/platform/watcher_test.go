package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/fleet"
	"galenaridge/io/logging"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform implements the platform's protocol. It holds long polls until the
// revision changes.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	status   int
	list     string
	changed  chan struct{}
	calls    []string
}

func (f *fakePlatform) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.calls = append(f.calls, r.URL.String())
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	changed := f.changed
	held := after >= f.revision && f.status == 0
	f.mu.Unlock()
	if held && wait > 0 {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Header().Set("Platform-Revision", strconv.FormatUint(f.revision, 10))
	switch {
	case f.status != 0:
		w.WriteHeader(f.status)
	case after >= f.revision:
		w.WriteHeader(http.StatusNotModified)
	case r.URL.Path == "/base/v1/list":
		fmt.Fprintf(w, f.list, f.revision)
	default:
		fmt.Fprintf(w, "version: %d\n", f.revision)
	}
}

// sink collects the values that a watcher reads.
type sink struct {
	configs chan RawConfig
	lists   chan fleet.Listing
}

func (s *sink) HandleConfig(raw RawConfig) { s.configs <- raw }

func (s *sink) HandleListing(listing fleet.Listing) { s.lists <- listing }

// fixedRandom is a Random that always returns 0.5.
type fixedRandom struct{}

func (fixedRandom) Float64() float64 { return 0.5 }

const oneServer = `{"revision":%d,"servers":[{"id":"s1","service":"svc","address":"10.0.0.1:80","presence":"leaving"}]}`

func newFake(t *testing.T) (*fakePlatform, Options, *bytes.Buffer) {
	t.Helper()
	fake := &fakePlatform{revision: 5, list: oneServer, changed: make(chan struct{})}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	out := &bytes.Buffer{}
	return fake, Options{
		BaseURL: server.URL + "/base", Clock: clockwork.NewRealClock(), Random: fixedRandom{},
		Log: logging.New(out, logrus.InfoLevel), ListWait: 50 * time.Millisecond,
	}, out
}

// run runs a watcher until the returned function is called, which waits for its end.
func run(w *Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// TestReader guards against errors of the platform that are returned as values.
func TestReader(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fakePlatform)
		config bool
		list   bool
		fault  Fault
	}{
		{"values", func(*fakePlatform) {}, true, true, 0},
		{"error status", func(f *fakePlatform) { f.status = 500 }, false, false, Rejected},
		{"bad list", func(f *fakePlatform) { f.list = `{"revision":%d,"servers":{"presence":"maybe"}}` }, true, false, Invalid},
		{"no value", func(f *fakePlatform) { f.revision = 0 }, false, false, Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake, options, _ := newFake(t)
			tt.change(fake)
			reader, err := NewReader(options)
			require.NoError(t, err)
			config, err := reader.ReadConfig(context.Background())
			require.Equal(t, tt.config, err == nil, "%v", err)
			if tt.config {
				require.Equal(t, RawConfig{Revision: 5, YAML: []byte("version: 5\n")}, config)
			}
			list, err := reader.ReadListing(context.Background())
			require.Equal(t, tt.list, err == nil, "%v", err)
			if tt.list {
				require.Equal(t, fleet.Leaving, list.Servers[0].Presence)
				return
			}
			require.True(t, IsFault(err, tt.fault), "%v", err)
		})
	}
}

// TestNewReader guards against invalid URLs that are accepted at the start and fail
// only at the first call.
func TestNewReader(t *testing.T) {
	for _, base := range []string{"", "127.0.0.1:80", "https://127.0.0.1:80", "http://127.0.0.1", "http://127.0.0.1:1?x=1"} {
		_, err := NewReader(Options{BaseURL: base})
		require.Error(t, err, base)
	}
}

// TestWatcher guards against changes that are missed or delivered late, and against
// calls while the watcher is disabled.
func TestWatcher(t *testing.T) {
	fake, options, _ := newFake(t)
	got := &sink{make(chan RawConfig, 10), make(chan fleet.Listing, 10)}
	const minInterval = 100 * time.Millisecond
	w, err := NewWatcher(options, got)
	require.NoError(t, err)
	for _, source := range w.sources {
		source.minInterval = minInterval
	}
	started := time.Now()
	stop := run(w)
	defer stop()
	time.Sleep(20 * time.Millisecond)
	fake.update(func() { require.Empty(t, fake.calls) })
	w.SetEnabled(true)
	require.Equal(t, fleet.Revision(5), (<-got.configs).Revision)
	require.Equal(t, fleet.Revision(5), (<-got.lists).Revision)
	// The next calls start after the minimum interval.
	time.Sleep(minInterval + 50*time.Millisecond)
	changed := time.Now()
	fake.update(func() { fake.revision = 6 })
	require.Equal(t, fleet.Revision(6), (<-got.configs).Revision)
	require.Less(t, time.Since(changed), time.Second)
	require.Equal(t, fleet.Revision(6), (<-got.lists).Revision)
	// A lower revision of a reset platform is delivered too, so that later changes are
	// not missed.
	fake.update(func() { fake.revision = 4 })
	require.Equal(t, fleet.Revision(4), (<-got.lists).Revision)
	_, failing := w.FailingSince()
	require.False(t, failing)
	w.SetEnabled(false)
	time.Sleep(20 * time.Millisecond)
	var calls int
	fake.update(func() { calls = len(fake.calls) })
	// Each kind of call starts at most once per minimum interval, plus the first
	// call.
	require.LessOrEqual(t, calls, 2*(int(time.Since(started)/minInterval)+1))
	time.Sleep(2 * minInterval)
	fake.update(func() { require.Len(t, fake.calls, calls) })
	stopped := time.Now()
	stop()
	require.Less(t, time.Since(stopped), time.Second)
}

// TestWatcherFailing guards against failures of the platform that are not reported,
// cause too many calls, or are logged for each call.
func TestWatcherFailing(t *testing.T) {
	fake, options, out := newFake(t)
	fake.status = 503
	got := &sink{make(chan RawConfig, 10), make(chan fleet.Listing, 10)}
	w, err := NewWatcher(options, got)
	require.NoError(t, err)
	stop := run(w)
	before := time.Now()
	w.SetEnabled(true)
	time.Sleep(time.Second)
	since, failing := w.FailingSince()
	require.True(t, failing)
	require.WithinRange(t, since, before, before.Add(500*time.Millisecond))
	// Backoffs of 75, 150, 300, 600 and 1200 ms allow four calls of each kind in 1 s,
	// and one more if the sleep of this test ends late.
	fake.update(func() {
		require.LessOrEqual(t, len(fake.calls), 10)
		fake.status = 0
	})
	<-got.configs
	<-got.lists
	require.Eventually(t, func() bool {
		_, failing := w.FailingSince()
		return !failing
	}, time.Second, 5*time.Millisecond)
	stop()
	require.Equal(t, 2, strings.Count(out.String(), " failed"), out)
	require.Equal(t, 2, strings.Count(out.String(), "works again"), out)
}

// TestWatcherSilent guards against a platform that accepts connections but never
// responds, and against log lines for each of its calls because the error texts
// differ.
func TestWatcherSilent(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer silent.Close()
	_, options, out := newFake(t)
	options.BaseURL = silent.URL
	options.Timeout = 50 * time.Millisecond
	w, err := NewWatcher(options, &sink{})
	require.NoError(t, err)
	stop := run(w)
	w.SetEnabled(true)
	time.Sleep(400 * time.Millisecond)
	_, failing := w.FailingSince()
	require.True(t, failing)
	stop()
	require.Equal(t, 2, strings.Count(out.String(), " failed"), out)
}

// TestReading guards against a watcher that reports successful reads of a platform
// which does not respond: no other instance would then read the platform.
func TestReading(t *testing.T) {
	fake, options, _ := newFake(t)
	hang := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-hang:
		case <-r.Context().Done():
		}
	}))
	defer silent.Close()
	defer close(hang)
	silentOptions := options
	silentOptions.BaseURL = silent.URL
	got := &sink{configs: make(chan RawConfig, 10), lists: make(chan fleet.Listing, 10)}
	tests := []struct {
		name    string
		options Options
		reading bool
	}{
		{"answers", options, true},
		{"silence", silentOptions, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, err := NewWatcher(tt.options, got)
			require.NoError(t, err)
			require.False(t, w.RecentlyRead())
			w.SetEnabled(true)
			defer run(w)()
			if !tt.reading {
				require.Never(t, w.RecentlyRead, 300*time.Millisecond, 10*time.Millisecond)
				return
			}
			require.Eventually(t, w.RecentlyRead, 5*time.Second, time.Millisecond)
			fake.update(func() { fake.status = http.StatusInternalServerError })
			require.Eventually(t, func() bool { return !w.RecentlyRead() }, 5*time.Second, time.Millisecond)
			fake.update(func() { fake.status = 0 })
			require.Eventually(t, w.RecentlyRead, 5*time.Second, time.Millisecond)
			w.SetEnabled(false)
			require.Eventually(t, func() bool { return !w.RecentlyRead() }, 5*time.Second, time.Millisecond)
		})
	}
}
