package gateway

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/balance"
	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

const (
	// applyBound is the bound config_apply_ms: the time after which a change must be in force.
	applyBound = 2 * time.Second
	// warmUpTime is how long the fleet runs before the trouble. All announcements and first
	// listings end in it.
	warmUpTime = 8 * time.Second
	// fleetSize is the number of instances, in fleetDomains failure domains.
	fleetSize    = 36
	fleetDomains = 3
	// maxTransit is the longest time that a datagram between two instances takes.
	maxTransit = 10 * time.Millisecond
	// callTime is the time of a call to the store, or to a peer.
	callTime = 10 * time.Millisecond
	// silentCall is the time after which a call without a response is given up.
	silentCall = 600 * time.Millisecond
)

// readerSeed is the first of the seeds of TestReadersOfTheStore.
var readerSeed = flag.Uint64("readerseed", 1, "first seed of TestReadersOfTheStore")

// errStoreSilent is the failure of a call to a store that does not respond.
var errStoreSilent = errors.New("the store does not respond")

// storeAccess is how the store treats the calls of an instance.
type storeAccess int

const (
	served storeAccess = iota
	resetByStore
	ignoredByStore
)

// sharedStore is the store of a fleet. Each put raises its revision and its version of the
// configuration.
type sharedStore struct {
	mu       sync.Mutex
	revision fleet.Revision
	version  fleet.Version
	changed  chan struct{}
	calls    int
	// refuse decides how the store treats a call; nil if it serves all.
	refuse func(id fleet.InstanceID) storeAccess
}

func (s *sharedStore) put() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// content returns the revision, the configuration, and a channel that a later change closes.
func (s *sharedStore) content() (fleet.Position, *route.Document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Position{Revision: s.revision}, &route.Document{Version: s.version, Services: []route.Service{{Name: "s"}}}, s.changed
}

// fleetMember is an instance with its real control goroutine and follower. It implements the
// interfaces of Options and follow.Store.
type fleetMember struct {
	*recorder
	fleet  *testFleet
	self   workset.Heartbeat
	loop   *Loop
	reader *follow.Follower
	stop   context.CancelFunc
	ended  chan struct{}
	// appliedAt is when the instance had each version in force.
	appliedAt map[fleet.Version]time.Time
}

// testFleet is a fleet in one bubble of synctest, with a store and a network.
type testFleet struct {
	store   *sharedStore
	mu      sync.Mutex
	random  *rand.Rand
	members []*fleetMember
	running map[fleet.Address]*fleetMember
	// cut holds the instances that reach no other one.
	cut map[fleet.Address]bool
}

// newTestFleet returns a fleet whose random numbers follow from a seed.
func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{
		store:   &sharedStore{revision: 10, version: 1, changed: make(chan struct{})},
		random:  rand.New(rand.NewPCG(seed, 1)),
		running: make(map[fleet.Address]*fleetMember),
		cut:     make(map[fleet.Address]bool),
	}
	for i := range fleetSize {
		f.start(fmt.Sprintf("i-%02d", i), fleet.Domain(rune('a'+i%fleetDomains)))
	}
	return f
}

func (f *testFleet) start(name string, domain fleet.Domain) {
	m := &fleetMember{
		recorder: &recorder{reported: make(map[fleet.Address][]balance.ServerReport)},
		fleet:    f, ended: make(chan struct{}), appliedAt: make(map[fleet.Version]time.Time),
		self: workset.Heartbeat{
			Member: fleet.Member{ID: fleet.InstanceID(name), Incarnation: 1}, Domain: domain,
			PeerAddress: fleet.Address(name), CallerAddress: fleet.Address(name), Cores: 0.32,
		},
	}
	m.loop = New(Options{
		Self: m.self, Seeds: []fleet.Address{"i-00", "i-01", "i-02"}, FirstStart: true, Clock: modelClock{}, Peers: m, StoreFollower: m,
		CopyFetcher: m, Traffic: m, Random: m, Events: m, Quota: retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
	})
	m.reader = follow.New(follow.Options{Store: m, Sink: m.loop, Clock: modelClock{}})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.members = append(f.members, m)
	f.running[m.self.PeerAddress] = m
	var running sync.WaitGroup
	running.Go(func() { m.loop.Run(ctx) })
	running.Go(func() { m.reader.Run(ctx) })
	go func() {
		running.Wait()
		close(m.ended)
	}()
}

// kill ends the process of an instance. Others are not told.
func (f *testFleet) kill(m *fleetMember) {
	f.mu.Lock()
	delete(f.running, m.self.PeerAddress)
	f.mu.Unlock()
	m.stop()
	<-m.ended
}

func (f *testFleet) find(address fleet.Address) *fleetMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[address]
}

// reach returns the running instance with an address if another one reaches it.
func (f *testFleet) reach(from *fleetMember, address fleet.Address) *fleetMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from.self.PeerAddress] || f.cut[address] {
		return nil
	}
	return f.running[address]
}

func (f *testFleet) transit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(maxTransit)))
}

// byRank returns the instances of a failure domain in the order in which they become active.
func (f *testFleet) byRank(domain fleet.Domain) []*fleetMember {
	var members []*fleetMember
	for _, m := range f.members {
		if m.self.Domain == domain {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *fleetMember) int {
		if fleet.RendezvousScore(a.self.Member.ID, "active") > fleet.RendezvousScore(b.self.Member.ID, "active") {
			return -1
		}
		return 1
	})
	return members
}

// SendHeartbeat implements Peers.
func (m *fleetMember) SendHeartbeat(heartbeat workset.Heartbeat, recipients []fleet.Address) {
	for _, address := range recipients {
		time.AfterFunc(m.fleet.transit(), func() {
			if to := m.fleet.reach(m, address); to != nil && to != m {
				to.loop.HandleHeartbeat(heartbeat)
			}
		})
	}
}

// SendReport implements Peers.
func (m *fleetMember) SendReport(Report, []fleet.Address) {}

// FetchChanges implements CopyFetcher.
func (m *fleetMember) FetchChanges(peer fleet.Address, known fleet.Position) {
	time.AfterFunc(callTime, func() {
		from := m.fleet.reach(m, peer)
		if from == nil {
			return
		}
		listing := from.loop.View().Listing(time.Now())
		listing.Age += callTime
		if listing.Position.After(known) {
			m.loop.ApplyListing(listing, false)
		}
	})
}

// FetchConfiguration implements CopyFetcher.
func (m *fleetMember) FetchConfiguration(peer fleet.Address, _ fleet.Version) {
	time.AfterFunc(callTime, func() {
		if from := m.fleet.reach(m, peer); from != nil && from.loop.View().Document() != nil {
			m.loop.ApplyConfiguration(from.loop.View().Document())
		}
	})
}

// SetMode implements StoreFollower.
func (m *fleetMember) SetMode(mode follow.Mode) { m.reader.SetMode(mode) }

// ReadConfiguration implements StoreFollower.
func (m *fleetMember) ReadConfiguration() { m.reader.ReadConfiguration() }

// ConfigAdopted implements Events.
func (m *fleetMember) ConfigAdopted(version fleet.Version) { m.appliedAt[version] = time.Now() }

// call makes a call to the store, which may refuse it.
func (m *fleetMember) call(ctx context.Context) error {
	store := m.fleet.store
	store.mu.Lock()
	store.calls++
	access := served
	if store.refuse != nil {
		access = store.refuse(m.self.Member.ID)
	}
	store.mu.Unlock()
	switch access {
	case resetByStore:
		return errors.New("connection reset by peer")
	case ignoredByStore:
		if err := (modelClock{}).Sleep(ctx, silentCall); err != nil {
			return err
		}
		return errStoreSilent
	default:
		return modelClock{}.Sleep(ctx, callTime)
	}
}

// List implements follow.Store.
func (m *fleetMember) List(ctx context.Context) (follow.Listing, error) {
	position, document, _ := m.fleet.store.content()
	return follow.Listing{Position: position, Routes: document, Servers: []registry.Server{testServer("s1", fleet.Live)}}, m.call(ctx)
}

// Watch implements follow.Store.
func (m *fleetMember) Watch(ctx context.Context, after fleet.Position, wait time.Duration) (follow.Batch, error) {
	if err := m.call(ctx); err != nil {
		return follow.Batch{}, err
	}
	if position, _, changed := m.fleet.store.content(); position == after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return follow.Batch{}, ctx.Err()
		}
	}
	position, document, _ := m.fleet.store.content()
	batch := follow.Batch{From: after, To: position}
	if position.After(after) {
		batch.Changes = []follow.Change{{Routes: document}}
	}
	return batch, nil
}

// Configuration implements follow.Store.
func (m *fleetMember) Configuration(ctx context.Context) (*route.Document, error) {
	_, document, _ := m.fleet.store.content()
	return document, m.call(ctx)
}

// turnAway lets the store refuse the first instances of each failure domain that call it.
func (f *testFleet) turnAway(count int, access storeAccess) map[fleet.InstanceID]bool {
	domains := make(map[fleet.InstanceID]fleet.Domain)
	for _, m := range f.members {
		domains[m.self.Member.ID] = m.self.Domain
	}
	away, refused := make(map[fleet.InstanceID]bool), make(map[fleet.Domain]int)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.refuse = func(id fleet.InstanceID) storeAccess {
		if !away[id] && refused[domains[id]] < count {
			away[id] = true
			refused[domains[id]]++
		}
		if away[id] {
			return access
		}
		return served
	}
	return away
}

// TestReadersOfTheStore guards against a fleet in which instances that the store serves do not
// learn of a change within the bound, because the instances that read the store for them are
// refused or lost, however many these are and whatever their ranks.
func TestReadersOfTheStore(t *testing.T) {
	const perDomain = fleetSize / fleetDomains
	refuse := func(count int, access storeAccess) func(f *testFleet) map[fleet.InstanceID]bool {
		return func(f *testFleet) map[fleet.InstanceID]bool { return f.turnAway(count, access) }
	}
	kill := func(count int) func(f *testFleet) map[fleet.InstanceID]bool {
		return func(f *testFleet) map[fleet.InstanceID]bool {
			for i := range fleetDomains {
				for _, m := range f.byRank(fleet.Domain(rune('a' + i)))[:count] {
					f.kill(m)
				}
			}
			return nil
		}
	}
	cutOff := func(count int) func(f *testFleet) map[fleet.InstanceID]bool {
		return func(f *testFleet) map[fleet.InstanceID]bool {
			for i := range fleetDomains {
				for _, m := range f.byRank(fleet.Domain(rune('a' + i)))[:count] {
					f.mu.Lock()
					f.cut[m.self.PeerAddress] = true
					f.mu.Unlock()
				}
			}
			return nil
		}
	}
	// anyOf picks instances of the whole fleet at random.
	anyOf := func(f *testFleet, count int) []*fleetMember {
		members := slices.Clone(f.members)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		return members[:count]
	}
	killAny := func(count int) func(f *testFleet) map[fleet.InstanceID]bool {
		return func(f *testFleet) map[fleet.InstanceID]bool {
			for _, m := range anyOf(f, count) {
				f.kill(m)
			}
			return nil
		}
	}
	refuseAny := func(count int, access storeAccess) func(f *testFleet) map[fleet.InstanceID]bool {
		return func(f *testFleet) map[fleet.InstanceID]bool {
			away := make(map[fleet.InstanceID]bool)
			for _, m := range anyOf(f, count) {
				away[m.self.Member.ID] = true
			}
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.refuse = func(id fleet.InstanceID) storeAccess {
				if away[id] {
					return access
				}
				return served
			}
			return away
		}
	}
	tests := []struct {
		name string
		// trouble begins the trouble and returns the instances that the store refuses, which
		// need not learn of the change.
		trouble func(f *testFleet) map[fleet.InstanceID]bool
	}{
		{"none", func(*testFleet) map[fleet.InstanceID]bool { return nil }},
		{"the store resets one reader", refuse(1, resetByStore)},
		{"the store resets four readers", refuse(4, resetByStore)},
		{"the store resets seven readers", refuse(7, resetByStore)},
		{"the store resets all readers but one", refuse(perDomain-1, resetByStore)},
		{"the store does not respond to four readers", refuse(4, ignoredByStore)},
		{"the store does not respond to nine readers", refuse(9, ignoredByStore)},
		{"the first one is killed", kill(1)},
		{"the first six are killed", kill(6)},
		{"all but one are killed", kill(perDomain - 1)},
		{"any third is reset by the store", refuseAny(fleetSize/3, resetByStore)},
		{"any two thirds get no response of the store", refuseAny(2*fleetSize/3, ignoredByStore)},
		{"any half is killed", killAny(fleetSize / 2)},
		{"any four fifths are killed", killAny(4 * fleetSize / 5)},
		{"any half is killed, and any third is refused", func(f *testFleet) map[fleet.InstanceID]bool {
			killAny(fleetSize / 2)(f)
			return refuseAny(fleetSize/3, resetByStore)(f)
		}},
		{"the first one is cut off from the others", cutOff(1)},
		{"the first five are cut off from the others", cutOff(5)},
		{"all are cut off from each other", cutOff(perDomain)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// One case after the other takes 6 minutes with the race detector beside load.
			t.Parallel()
			for i, pause := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second} {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(*readerSeed + uint64(i))
					time.Sleep(warmUpTime)
					for _, m := range f.members {
						require.True(t, m.loop.View().Loaded(), "%s has a copy", m.self.Member.ID)
					}
					refused := test.trouble(f)
					time.Sleep(pause)
					f.store.put()
					acknowledgedAt := time.Now()
					time.Sleep(2 * applyBound)
					running := slices.Collect(func(yield func(*fleetMember) bool) {
						for _, m := range f.members {
							if f.find(m.self.PeerAddress) != nil && !yield(m) {
								return
							}
						}
					})
					for _, m := range running {
						f.kill(m)
					}
					worst := time.Duration(0)
					for _, m := range running {
						if refused[m.self.Member.ID] {
							continue
						}
						appliedAt, applied := m.appliedAt[2]
						if !assertApplied(t, m, applied, appliedAt.Sub(acknowledgedAt), pause) {
							continue
						}
						worst = max(worst, appliedAt.Sub(acknowledgedAt))
					}
					t.Logf("a change %v after the trouble began: in force within %v, %d calls to the store", pause, worst, f.store.calls)
				})
			}
		})
	}
}

// assertApplied fails the test if an instance has a change late.
func assertApplied(t *testing.T, m *fleetMember, applied bool, after, pause time.Duration) bool {
	t.Helper()
	switch {
	case !applied:
		t.Errorf("%s in %s, a change %v after the trouble began: not in force", m.self.Member.ID, m.self.Domain, pause)
	case after > applyBound:
		t.Errorf("%s in %s, a change %v after the trouble began: in force after %v", m.self.Member.ID, m.self.Domain, pause, after)
	}
	return applied && after <= applyBound
}
