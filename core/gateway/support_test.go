package gateway

import (
	"time"

	"github.com/jonboulle/clockwork"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/workset"
)

// testClock is a fake clock that implements Clock.
type testClock struct{ *clockwork.FakeClock }

func (c testClock) NewTicker(interval time.Duration) (<-chan time.Time, func()) {
	ticker := c.FakeClock.NewTicker(interval)
	return ticker.Chan(), ticker.Stop
}

// recorder records the effects of a state and supplies its random numbers and counts.
type recorder struct {
	fetched []fleet.Address
	// configFetched holds the peers that were named as having a newer configuration,
	// configReads the number of reads of the configuration alone.
	configFetched []fleet.Address
	configReads   int
	following     bool
	refused       []fleet.Version
	removed       []fleet.ServerID
	started       int64
	slow          []bool
	unused        []int
	// reported holds the reports that each peer received.
	reported map[fleet.Address][]balance.ServerReport
	// lastHeartbeat is the last one that was sent.
	lastHeartbeat workset.Heartbeat
}

func (r *recorder) SendHeartbeat(heartbeat workset.Heartbeat, _ []fleet.Address) {
	r.lastHeartbeat = heartbeat
}

func (r *recorder) SendReport(report Report, to []fleet.Address) {
	for _, address := range to {
		r.reported[address] = append(r.reported[address], report.ServerReports...)
	}
}
func (r *recorder) SetMode(mode follow.Mode) { r.following = mode != follow.Off }
func (r *recorder) ReadConfiguration()       { r.configReads++ }
func (r *recorder) FetchChanges(peer fleet.Address, _ fleet.Position) {
	r.fetched = append(r.fetched, peer)
}

func (r *recorder) FetchConfiguration(peer fleet.Address, _ fleet.Version) {
	r.configFetched = append(r.configFetched, peer)
}
func (r *recorder) RequestsStarted() int64 { return r.started }
func (r *recorder) Float64() float64       { return 0 }

func (r *recorder) ServerSuspected(registry.Server, balance.Result, time.Duration, float64) {}
func (r *recorder) ServerCleared(registry.Server, time.Duration)                            {}
func (r *recorder) ServerAnnouncedLeaving(registry.Server)                                  {}
func (r *recorder) ServerPaused(registry.Server, time.Duration)                             {}
func (r *recorder) PeerJoined(fleet.Member)                                                 {}
func (r *recorder) RoleChanged(workset.Role, int)                                           {}
func (r *recorder) WorkingSetChanged([]fleet.Address)                                       {}
func (r *recorder) ConfigAdopted(fleet.Version)                                             {}
func (r *recorder) ConfigRefused(v fleet.Version, _ error)                                  { r.refused = append(r.refused, v) }
func (r *recorder) ListingApplied(fleet.Position, int, bool)                                {}
func (r *recorder) ServerChanged(registry.Server)                                           {}
func (r *recorder) ServerRemoved(id fleet.ServerID, _ bool)                                 { r.removed = append(r.removed, id) }
func (r *recorder) StoreLost(error)                                                         {}
func (r *recorder) ReadingChanged(follow.Mode, time.Duration)                               {}
func (r *recorder) StoreRegained(time.Duration)                                             {}
func (r *recorder) CopyFetched(follow.FetchReport)                                          {}
func (r *recorder) MachineSlowChanged(slow bool, _ time.Duration)                           { r.slow = append(r.slow, slow) }
func (r *recorder) ServersUnused(_ fleet.ServiceName, counts balance.Counts) {
	r.unused = append(r.unused, counts.Unused)
}
func (r *recorder) Stopping() {}

// newTestLoop returns the loop of an instance in failure domain "a". Its commands are
// executed by runCommands.
func newTestLoop() (*Loop, *recorder, *clockwork.FakeClock) { return newTestLoopWithSeeds(nil) }

func newTestLoopWithSeeds(seeds []fleet.Address) (*Loop, *recorder, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	r := &recorder{reported: make(map[fleet.Address][]balance.ServerReport)}
	l := New(Options{
		Self:          workset.Heartbeat{Member: fleet.Member{ID: "a-1", Incarnation: 1}, Domain: "a", PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", Cores: 1},
		Seeds:         seeds,
		Clock:         testClock{clock},
		Peers:         r,
		StoreFollower: r,
		CopyFetcher:   r,
		Traffic:       r,
		Random:        r,
		Events:        r,
		Quota:         retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
	})
	return l, r, clock
}

// runCommands executes the queued commands.
func runCommands(l *Loop) {
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

func peerHeartbeat(id fleet.InstanceID, domain fleet.Domain, revision fleet.Revision, age time.Duration) workset.Heartbeat {
	return workset.Heartbeat{
		Member:        fleet.Member{ID: id, Incarnation: 1},
		Domain:        domain,
		PeerAddress:   fleet.Address(id),
		CallerAddress: fleet.Address(id),
		Ready:         true,
		Interval:      200 * time.Millisecond,
		Cores:         1,
		Position:      fleet.Position{Revision: revision},
		CopyAge:       age,
		ReadsStore:    true,
		ReadAge:       age,
	}
}

func testServer(id fleet.ServerID, presence fleet.Presence) registry.Server {
	return registry.Server{
		Incarnation: registry.Incarnation{ID: id, StartedAt: 1},
		Service:     "s",
		Domain:      "a",
		Address:     "10.0.0.9:80",
		Slots:       2,
		Presence:    presence,
	}
}

// testBatch returns a batch between two revisions without an era.
func testBatch(from, to fleet.Revision, changes ...follow.Change) follow.Batch {
	return follow.Batch{From: fleet.Position{Revision: from}, To: fleet.Position{Revision: to}, Changes: changes}
}
