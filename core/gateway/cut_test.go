package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/follow"
	"galenaridge/core/registry"
	"galenaridge/core/retry"
	"galenaridge/core/route"
	"galenaridge/core/workset"
)

// cutStore is a store whose path to all or some instances can be cut.
type cutStore struct {
	mu       sync.Mutex
	revision fleet.Revision
	servers  map[fleet.ServerID]registry.Server
	changes  []follow.Change
	// cut holds the instances whose calls get no response.
	cut map[fleet.InstanceID]bool
}

func (s *cutStore) write(id fleet.ServerID, server *registry.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change := follow.Change{Position: fleet.Position{Revision: s.revision}, Removed: id}
	delete(s.servers, id)
	if server != nil {
		written := *server
		written.Written = change.Position
		change = follow.Change{Position: change.Position, Server: &written}
		s.servers[id] = written
	}
	s.changes = append(s.changes, change)
}

func (s *cutStore) setCut(cut bool, instances ...fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range instances {
		s.cut[id] = cut
	}
}

func (s *cutStore) isCut(id fleet.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[id]
}

func (s *cutStore) changesAfter(p fleet.Position) ([]follow.Change, fleet.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := slices.IndexFunc(s.changes, func(c follow.Change) bool { return c.Position.After(p) })
	if first < 0 {
		return nil, fleet.Position{Revision: s.revision}
	}
	return slices.Clone(s.changes[first:]), fleet.Position{Revision: s.revision}
}

// cutInstance is an instance that follows a cutStore. It implements the interfaces of Options
// and follow.Store.
type cutInstance struct {
	*recorder
	id       fleet.InstanceID
	store    *cutStore
	fleet    map[fleet.Address]*cutInstance
	loop     *Loop
	follower *follow.Follower
}

// Times of a call that gets no response, as the client of the platform's store has them.
const (
	cutPageTimeout  = 700 * time.Millisecond
	cutWatchTimeout = 400 * time.Millisecond
)

// loseCall waits until a call without a response ends.
func loseCall(limit time.Duration) error {
	time.Sleep(limit)
	return errNoResponse
}

// List implements follow.Store.
func (c *cutInstance) List(context.Context) (follow.Listing, error) {
	if c.store.isCut(c.id) {
		return follow.Listing{}, loseCall(cutPageTimeout)
	}
	time.Sleep(30 * time.Millisecond)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return follow.Listing{Position: fleet.Position{Revision: c.store.revision}, Servers: slices.Collect(maps.Values(c.store.servers))}, nil
}

// Watch implements follow.Store. A watch that is open when the path is cut gets no response.
func (c *cutInstance) Watch(_ context.Context, after fleet.Position, wait time.Duration) (follow.Batch, error) {
	startedAt := time.Now()
	for {
		if c.store.isCut(c.id) {
			return follow.Batch{}, loseCall(wait + cutWatchTimeout - time.Since(startedAt))
		}
		changes, position := c.store.changesAfter(after)
		if len(changes) > 0 || time.Since(startedAt) >= wait {
			return follow.Batch{From: after, To: position, Changes: changes}, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Configuration implements follow.Store.
func (c *cutInstance) Configuration(context.Context) (*route.Document, error) {
	if c.store.isCut(c.id) {
		return nil, loseCall(cutPageTimeout)
	}
	return nil, nil
}

// SetMode implements StoreFollower.
func (c *cutInstance) SetMode(mode follow.Mode) { c.follower.SetMode(mode) }

// SendHeartbeat implements Peers.
func (c *cutInstance) SendHeartbeat(heartbeat workset.Heartbeat, recipients []fleet.Address) {
	for _, address := range recipients {
		if peer, running := c.fleet[address]; running && peer != c {
			time.AfterFunc(2*time.Millisecond, func() { peer.loop.HandleHeartbeat(heartbeat) })
		}
	}
}

// SendReport implements Peers.
func (c *cutInstance) SendReport(Report, []fleet.Address) {}

// FetchChanges implements CopyFetcher.
func (c *cutInstance) FetchChanges(address fleet.Address, known fleet.Position) {
	peer, running := c.fleet[address]
	if !running {
		return
	}
	time.AfterFunc(10*time.Millisecond, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		listing, err := peer.loop.ChangesSince(ctx, known)
		if err != nil {
			listing = peer.loop.View().Listing(time.Now())
		}
		listing.Age += 10 * time.Millisecond
		time.Sleep(10 * time.Millisecond)
		c.loop.ApplyListing(listing, false)
	})
}

// startCutFleet starts instances of one failure domain that follow a store, and returns them by
// id.
func startCutFleet(ctx context.Context, running *sync.WaitGroup, store *cutStore, settleTime time.Duration, ids []fleet.InstanceID) map[fleet.InstanceID]*cutInstance {
	instances, addresses := make(map[fleet.InstanceID]*cutInstance), make(map[fleet.Address]*cutInstance)
	var seeds []fleet.Address
	for _, id := range ids {
		seeds = append(seeds, fleet.Address(id))
	}
	for _, id := range ids {
		c := &cutInstance{recorder: &recorder{}, id: id, store: store, fleet: addresses}
		c.loop = New(Options{
			Self:          workset.Heartbeat{Member: fleet.Member{ID: id, Incarnation: 1}, Domain: "a", PeerAddress: fleet.Address(id), CallerAddress: fleet.Address(id), Cores: 1},
			Seeds:         seeds,
			Clock:         modelClock{},
			Peers:         c,
			StoreFollower: c,
			CopyFetcher:   c,
			Traffic:       c,
			Random:        c,
			Events:        c,
			Quota:         retry.Quota{Ratio: 0.2, Allowance: 50, Span: 10 * time.Second},
			SettleTime:    settleTime,
		})
		c.follower = follow.New(follow.Options{Store: c, Sink: c.loop, Clock: modelClock{}})
		instances[id], addresses[fleet.Address(id)] = c, c
	}
	for _, c := range instances {
		running.Go(func() { c.loop.Run(ctx) })
		running.Go(func() { c.follower.Run(ctx) })
		c.loop.ApplyConfiguration(&route.Document{Version: 1, Services: []route.Service{{Name: "s"}}})
	}
	return instances
}

const (
	cutServers = 6
	// cutLength is how long the store is out of reach, and lapseAt when entries have lapsed
	// since.
	cutLength = 5 * time.Second
	lapseAt   = 4500 * time.Millisecond
)

// playCut cuts instances of a fleet off from the store for cutLength and a shift. It calls check
// each 10 ms from the end of the cut on, for 5 s.
func playCut(t *testing.T, store *cutStore, settleTime, shift time.Duration, ids, cut []fleet.InstanceID, during func(start time.Time), check func(since time.Duration, instances map[fleet.InstanceID]*cutInstance)) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	instances := startCutFleet(ctx, &running, store, settleTime, ids)
	time.Sleep(8*time.Second + shift/3)
	for id, c := range instances {
		require.Equal(t, cutServers, c.loop.View().Registry().ServerCount(), "%s has all servers", id)
	}
	store.setCut(true, cut...)
	start := time.Now()
	during(start)
	time.Sleep(time.Until(start.Add(cutLength + shift)))
	store.setCut(false, cut...)
	end := time.Now()
	for time.Since(end) < 5*time.Second {
		check(time.Since(end), instances)
		time.Sleep(10 * time.Millisecond)
	}
}

func newCutStore() *cutStore {
	store := &cutStore{revision: 100, servers: make(map[fleet.ServerID]registry.Server), cut: make(map[fleet.InstanceID]bool)}
	for i := range cutServers {
		server := cutServer(i)
		store.write(server.ID, &server)
	}
	return store
}

func cutServer(i int) registry.Server {
	return testServer(fleet.ServerID(fmt.Sprintf("s%d", i)), fleet.Live)
}

var (
	alone    = []fleet.InstanceID{"a-0"}
	together = []fleet.InstanceID{"a-0", "a-1", "a-2", "a-3", "a-4"}
)

// TestServersAfterTheOwnCut guards against a server that left while instances were cut off from
// the store, and that they use after the guarantees hold for them again.
func TestServersAfterTheOwnCut(t *testing.T) {
	tests := []struct {
		name       string
		settleTime time.Duration
		ids, cut   []fleet.InstanceID
	}{
		{"alone", 3 * time.Second, alone, alone},
		{"alone, 2 s", 2 * time.Second, alone, alone},
		{"alone, 4 s", 4 * time.Second, alone, alone},
		{"peers in contact", 3 * time.Second, together, alone},
		{"peers cut off alike", 3 * time.Second, together, together},
		{"peers cut off alike, 2 s", 2 * time.Second, together, together},
		{"peers cut off alike, 4 s", 4 * time.Second, together, together},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// The cut begins and ends at different moments between two calls.
			for shift := time.Duration(0); shift < 900*time.Millisecond; shift += 60 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store, left := newCutStore(), cutServer(0)
					during := func(start time.Time) {
						time.Sleep(time.Until(start.Add(500 * time.Millisecond)))
						store.write(left.ID, nil)
					}
					lastUse := time.Duration(0)
					playCut(t, store, test.settleTime, shift, test.ids, test.cut, during, func(since time.Duration, instances map[fleet.InstanceID]*cutInstance) {
						for id, c := range instances {
							if c.loop.View().IsListedLive(left.Incarnation) {
								lastUse = since
							}
							require.True(t, c.loop.View().IsListedLive(cutServer(1).Incarnation), "%s uses the others", id)
						}
					})
					require.Less(t, lastUse, test.settleTime, "the end of the cut is shifted by %v", shift)
				})
			}
		})
	}
}

// TestServersThatLapsed guards against instances that drop live servers whose entries lapsed in
// an outage of the store, before they could write them again.
func TestServersThatLapsed(t *testing.T) {
	tests := []struct {
		name       string
		settleTime time.Duration
		ids        []fleet.InstanceID
	}{
		{"alone", 3 * time.Second, alone},
		{"alone, 4 s", 4 * time.Second, alone},
		{"with peers", 3 * time.Second, together},
		{"with peers, 4 s", 4 * time.Second, together},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for shift := time.Duration(0); shift < 900*time.Millisecond; shift += 60 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					store := newCutStore()
					during := func(start time.Time) {
						time.Sleep(time.Until(start.Add(lapseAt)))
						for i := range cutServers {
							store.write(cutServer(i).ID, nil)
						}
					}
					written := 0
					playCut(t, store, test.settleTime, shift, test.ids, test.ids, during, func(since time.Duration, instances map[fleet.InstanceID]*cutInstance) {
						// Live servers write their entries within two seconds of the return.
						for written < cutServers && since >= time.Duration(written)*2*time.Second/(cutServers-1) {
							server := cutServer(written)
							store.write(server.ID, &server)
							written++
						}
						for id, c := range instances {
							for i := range cutServers {
								require.True(t, c.loop.View().IsListedLive(cutServer(i).Incarnation), "%s, s%d, %v after the return, shift %v", id, i, since, shift)
							}
						}
					})
				})
			}
		})
	}
}
