package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// testClock is a fake clock with the tickers that a loop needs.
type testClock struct{ *clockwork.FakeClock }

func (c testClock) NewTicker(every time.Duration) (<-chan time.Time, func()) {
	ticker := c.FakeClock.NewTicker(every)
	return ticker.Chan(), ticker.Stop
}

// recorder takes the effects of a state.
type recorder struct {
	fetched  []fleet.Address
	watching bool
	refused  []fleet.Version
	gone     []fleet.ServerID
	started  int64
	slow     []bool
	// told holds what each instance was told about servers.
	told map[fleet.Address][]balance.Share
}

func (r *recorder) Send(workset.Beat, []fleet.Address) {}
func (r *recorder) Tell(report Report, to []fleet.Address) {
	for _, address := range to {
		r.told[address] = append(r.told[address], report.Shares...)
	}
}
func (r *recorder) Enable(on bool) { r.watching = on }
func (r *recorder) Fetch(peer fleet.Address, _ fleet.Revision) {
	r.fetched = append(r.fetched, peer)
}
func (r *recorder) Started() int64   { return r.started }
func (r *recorder) Float64() float64 { return 0 }

func (r *recorder) Suspected(registry.Server, balance.Result, time.Duration, float64) {}
func (r *recorder) Cleared(registry.Server, time.Duration)                            {}
func (r *recorder) Joined(fleet.Member)                                               {}
func (r *recorder) Placed(workset.Place, int)                                         {}
func (r *recorder) Working([]fleet.Address)                                           {}
func (r *recorder) Configured(fleet.Version)                                          {}
func (r *recorder) ConfigRefused(v fleet.Version, _ error)                            { r.refused = append(r.refused, v) }
func (r *recorder) Listed(fleet.Revision, int, bool)                                  {}
func (r *recorder) Changed(registry.Server)                                           {}
func (r *recorder) Gone(id fleet.ServerID, _ bool)                                    { r.gone = append(r.gone, id) }
func (r *recorder) StoreLost(error)                                                   {}
func (r *recorder) StoreRegained(time.Duration)                                       {}
func (r *recorder) CopyMissed(fleet.Address, error)                                   {}
func (r *recorder) Slow(slow bool, _ time.Duration)                                   { r.slow = append(r.slow, slow) }
func (r *recorder) Stopping()                                                         {}

// newTestLoop returns a loop of an instance in failure domain "a" whose commands
// run by apply.
func newTestLoop() (*Loop, *recorder, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := &recorder{told: make(map[fleet.Address][]balance.Share)}
	l := New(Options{
		Self:    workset.Beat{Member: fleet.Member{ID: "a-1", Incarnation: 1}, Domain: "a", Peer: "10.0.0.1:1", Caller: "10.0.0.1:2", Cores: 1},
		Clock:   testClock{clock},
		Peers:   r,
		Watch:   r,
		Copies:  r,
		Traffic: r,
		Random:  r,
		Events:  r,
		Quota:   retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
	})
	return l, r, clock
}

// apply runs the commands that wait.
func apply(l *Loop) {
	for {
		select {
		case run := <-l.commands:
			run(&l.state)
		default:
			l.publish()
			return
		}
	}
}

func peerBeat(id fleet.InstanceID, domain fleet.Domain, revision fleet.Revision, age time.Duration) workset.Beat {
	return workset.Beat{
		Member:   fleet.Member{ID: id, Incarnation: 1},
		Domain:   domain,
		Peer:     fleet.Address(id),
		Caller:   fleet.Address(id),
		Ready:    true,
		Every:    200 * time.Millisecond,
		Cores:    1,
		Revision: revision,
		Age:      age,
	}
}

func testServer(id fleet.ServerID, presence fleet.Presence) registry.Server {
	return registry.Server{
		Incarnation: registry.Incarnation{ID: id, Born: 1},
		Service:     "s",
		Domain:      "a",
		Address:     "10.0.0.9:80",
		Slots:       2,
		Presence:    presence,
	}
}

// TestCopyOfAnotherDomain guards against a failure domain whose instances that
// read the store are all turned away by it: their beats confirm the old revision
// to each other and must not hide the newer one of another failure domain.
func TestCopyOfAnotherDomain(t *testing.T) {
	l, r, clock := newTestLoop()
	l.Listed(follow.Listing{Revision: 10, Age: time.Millisecond}, false)
	clock.Advance(time.Second)
	apply(l)
	l.state.tick()
	require.True(t, r.watching)
	l.Lost(errors.New("the store answered 503"))
	apply(l)
	for range 5 {
		clock.Advance(200 * time.Millisecond)
		l.Heard(peerBeat("a-2", "a", 10, time.Second))
		l.Heard(peerBeat("b-1", "b", 12, 0))
		apply(l)
	}
	require.Contains(t, r.fetched, fleet.Address("b-1"))
}

// TestCopyOfTheOwnDomainFirst guards against paying for bytes between failure
// domains while a peer of the own one has the newer copy.
func TestCopyOfTheOwnDomainFirst(t *testing.T) {
	l, r, clock := newTestLoop()
	l.Listed(follow.Listing{Revision: 10, Age: time.Millisecond}, false)
	apply(l)
	l.Heard(peerBeat("b-1", "b", 12, 0))
	apply(l)
	require.Empty(t, r.fetched)
	clock.Advance(100 * time.Millisecond)
	l.Heard(peerBeat("a-2", "a", 12, 0))
	apply(l)
	require.Equal(t, []fleet.Address{"a-2"}, r.fetched)
}

// TestListingForPeers guards against copies that lack a change or that send
// everything for each change.
func TestListingForPeers(t *testing.T) {
	l, _, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.Listed(follow.Listing{Revision: 10, Servers: []registry.Server{one}}, false)
	l.Changed([]follow.Change{{Server: &two}}, 12)
	l.Changed([]follow.Change{{Gone: "s1"}}, 15)
	apply(l)
	tests := []struct {
		name    string
		known   fleet.Revision
		partial bool
		changes int
	}{
		{"older than all that is kept", 9, false, 0},
		{"since the listing", 10, true, 2},
		{"within a batch", 11, true, 2},
		{"after the first batch", 12, true, 1},
		{"current", 15, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listing := l.state.listing(clock.Now(), test.known)
			require.Equal(t, fleet.Revision(15), listing.Revision)
			require.Equal(t, test.partial, listing.Partial)
			require.Len(t, listing.Changes, test.changes)
			if !test.partial {
				require.Len(t, listing.Servers, 1)
			}
		})
	}
}

// TestServersAfterAnOutage guards against dropping servers whose entries lapsed
// while the store was away, and against keeping those that are gone.
func TestServersAfterAnOutage(t *testing.T) {
	l, r, clock := newTestLoop()
	one, two := testServer("s1", fleet.Live), testServer("s2", fleet.Live)
	l.Listed(follow.Listing{Revision: 10, Servers: []registry.Server{one, two}}, false)
	l.Listed(follow.Listing{Revision: 20}, true)
	apply(l)
	require.True(t, l.View().Listed(one.Incarnation), "a lapsed server is kept at first")
	l.Changed([]follow.Change{{Server: &one}}, 21)
	clock.Advance(lapseGrace + time.Millisecond)
	apply(l)
	l.state.tick()
	l.view.Store(l.state.publish())
	require.True(t, l.View().Listed(one.Incarnation), "it has renewed its entry")
	require.False(t, l.View().Listed(two.Incarnation), "it has not come back")
	require.Equal(t, []fleet.ServerID{"s2"}, r.gone)
}

// TestConfigurationNeverReverts guards against an older or invalid configuration
// replacing the one in force.
func TestConfigurationNeverReverts(t *testing.T) {
	l, r, _ := newTestLoop()
	document := func(version fleet.Version, prefix string) *route.Document {
		return &route.Document{
			Version:  version,
			Services: []route.Service{{Name: "s"}},
			Routes: []route.Route{{
				Name: "r", Host: "h", Prefix: prefix, Timeout: time.Second, Attempts: 1,
				Backends: []route.Backend{{Service: "s", Weight: 1}},
			}},
		}
	}
	l.Listed(follow.Listing{Revision: 10, Routes: document(5, "/new/")}, false)
	l.Changed([]follow.Change{{Routes: document(4, "/old/")}}, 11)
	l.Changed([]follow.Change{{Routes: document(6, "no-slash")}}, 12)
	apply(l)
	require.Equal(t, fleet.Version(5), l.View().Routes().Version())
	_, found := l.View().Routes().Match("h", "/new/x")
	require.True(t, found)
	require.Equal(t, []fleet.Version{6}, r.refused)
	require.ErrorIs(t, route.Validate(*document(6, "no-slash")), route.ErrInvalid)
	require.False(t, errors.Is(route.Validate(*document(6, "/x/")), route.ErrInvalid))
}

// TestReaderAfterLoss guards against a fleet that learns of no change while the
// store turns away just the active instances: the next in rank must read it.
func TestReaderAfterLoss(t *testing.T) {
	tests := []struct {
		name string
		lost bool
		want bool
	}{
		{"the active instance reads", false, false},
		{"the active instance is turned away", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.Listed(follow.Listing{Revision: 10, Age: time.Millisecond}, false)
			clock.Advance(time.Second)
			active := peerBeat("a-2", "a", 10, 100*time.Millisecond)
			active.Cores = 2
			active.Lost = test.lost
			for range 3 {
				clock.Advance(100 * time.Millisecond)
				l.Heard(active)
				apply(l)
				l.state.tick()
			}
			require.Equal(t, test.want, r.watching)
		})
	}
}

// TestFirstListing guards against a listing of the store by each instance that
// starts, and against an instance that waits for copies which do not come.
func TestFirstListing(t *testing.T) {
	tests := []struct {
		name   string
		first  bool
		peer   bool
		copies bool
		uptime time.Duration
		want   bool
	}{
		{"at once", false, false, false, 0, false},
		{"nobody is there", false, false, false, 100 * time.Millisecond, true},
		{"others have no copy either", false, true, false, 100 * time.Millisecond, true},
		{"others have a copy", false, true, true, 500 * time.Millisecond, false},
		{"their copy does not come", false, true, true, 700 * time.Millisecond, true},
		{"the first start", true, true, false, 500 * time.Millisecond, false},
		{"the first start, not the reader", true, true, false, 2 * time.Second, false},
		{"the first start, the reader brings nothing", true, true, false, 2500 * time.Millisecond, true},
		{"the first start, the reader", true, false, false, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.state.options.First = test.first
			larger := peerBeat("a-2", "a", 10, 0)
			larger.Cores, larger.Ready = 2, test.copies
			for at := time.Duration(0); ; at += tickEvery {
				if test.peer {
					l.Heard(larger)
					apply(l)
				}
				l.state.tick()
				if at >= test.uptime {
					break
				}
				clock.Advance(tickEvery)
			}
			require.Equal(t, test.want, r.watching)
		})
	}
}

// TestOneReader guards against calls to the store by each of several active
// instances of a failure domain, and against none when the copy ages.
func TestOneReader(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want bool
	}{
		{"another one reads", 100 * time.Millisecond, false},
		{"the copy ages", 2 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			l.Listed(follow.Listing{Revision: 10, Age: test.age}, false)
			apply(l)
			larger := peerBeat("a-2", "a", 10, test.age)
			larger.Cores, larger.Rate = 2, 10_000
			for range 3 {
				clock.Advance(tickEvery)
				l.Heard(larger)
				apply(l)
				l.state.tick()
			}
			require.Equal(t, workset.Active, l.View().Working().Place())
			require.Equal(t, test.want, r.watching)
		})
	}
}

// TestReports guards against reports between failure domains that grow with the
// servers of all, and against instances that are not told of their own.
func TestReports(t *testing.T) {
	tests := []struct {
		name    string
		servers int
		near    int
		far     int
	}{
		{"few servers", 40, 40, 40},
		{"many servers", 200, 200, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, r, clock := newTestLoop()
			var servers []registry.Server
			for i := range test.servers {
				server := testServer(fleet.ServerID(fmt.Sprintf("s%03d", i)), fleet.Live)
				server.Domain = fleet.Domain(rune('a' + i%2))
				servers = append(servers, server)
			}
			routes := &route.Document{Version: 1, Services: []route.Service{{Name: "s"}}}
			l.Listed(follow.Listing{Revision: 10, Servers: servers, Routes: routes}, false)
			near, far := peerBeat("a-2", "a", 10, 0), peerBeat("b-1", "b", 10, 0)
			near.Rate = 10_000
			clock.Advance(time.Second)
			l.Heard(near)
			l.Heard(far)
			apply(l)
			upstream, found := l.View().Upstream("s")
			require.True(t, found)
			var tried []registry.Incarnation
			for range servers {
				lease, refusal := upstream.Servers.Pick(clock.Now(), balance.Ask{Objective: time.Second, Left: time.Second, Exclude: tried})
				require.Equal(t, balance.Chosen, refusal)
				tried = append(tried, lease.Server.Incarnation)
			}
			l.state.tick()
			require.Len(t, r.told["a-2"], test.near)
			require.Len(t, r.told["b-1"], test.far)
		})
	}
}

// TestQuotaOfIdleInstances guards against repeats beyond the quota of the fleet:
// requests that only probe idle instances must not use an allowance on each.
func TestQuotaOfIdleInstances(t *testing.T) {
	tests := []struct {
		name  string
		cores float64
		want  float64
	}{
		{"active for half of the window", 0.5, 50.0 / 6},
		{"idle behind a larger machine", 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, _, clock := newTestLoop()
			one := testServer("s1", fleet.Live)
			routes := &route.Document{Version: 1, Services: []route.Service{{Name: "s"}}}
			l.Listed(follow.Listing{Revision: 10, Age: time.Millisecond, Servers: []registry.Server{one}, Routes: routes}, false)
			apply(l)
			clock.Advance(time.Second)
			other := peerBeat("a-2", "a", 10, 0)
			other.Cores = test.cores
			for range 4 {
				clock.Advance(100 * time.Millisecond)
				l.Heard(other)
				apply(l)
				l.state.tick()
			}
			for i := range 47 {
				clock.Advance(tickEvery)
				if i == 46 {
					other.Uptime = time.Minute
				}
				l.Heard(other)
				apply(l)
				l.state.tick()
			}
			upstream, found := l.state.publish().Upstream("s")
			require.True(t, found)
			require.InDelta(t, test.want, upstream.Repeats.Left(clock.Now()), 1e-9)
		})
	}
}
