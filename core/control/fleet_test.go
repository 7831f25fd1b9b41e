package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const svc fleet.ServiceName = "svc"

// timeScale is the factor by which the clock of test fleets is faster than real
// time.
const timeScale = 4

// clock runs timeScale times as fast as real time.
type clock struct{ start time.Time }

func (c clock) Now() time.Time { return c.start.Add(time.Since(c.start) * timeScale) }

func (c clock) NewTicker(interval time.Duration) (<-chan time.Time, func()) {
	ticker := time.NewTicker(interval / timeScale)
	return ticker.C, ticker.Stop
}

var errCut = errors.New("link is cut")

// network connects the loops of a test.
type network struct {
	mu    sync.Mutex
	clock clock
	nodes map[fleet.Address]*instance
	cut   map[fleet.Address]bool
}

// instance is one loop with its links, its platform watch and its events.
type instance struct {
	*control.Loop
	net     *network
	id      fleet.InstanceID
	address fleet.Address
	cancel  context.CancelFunc
	ended   conc.WaitGroup
	// watching is true while the platform watch is enabled.
	watching atomic.Bool
	// configStuck makes fetches that would return a configuration end with a timeout.
	configStuck atomic.Bool
	// versions holds the versions of the adopted configurations in order.
	mu        sync.Mutex
	versions  []fleet.Version
	rejoined  atomic.Int32
	forgotten atomic.Int32
}

// peerAt returns the instance at an address, or errCut if a link of either instance is
// cut.
func (i *instance) peerAt(address fleet.Address) (*instance, error) {
	i.net.mu.Lock()
	defer i.net.mu.Unlock()
	found := i.net.nodes[address]
	if found == nil || i.net.cut[address] || i.net.cut[i.address] {
		return nil, errCut
	}
	return found, nil
}

func (i *instance) SetEnabled(on bool)                                 { i.watching.Store(on) }
func (i *instance) MemberEvent(member.Event)                           {}
func (i *instance) Rejoined(fleet.Member)                              { i.rejoined.Add(1) }
func (i *instance) ConditionChanged(control.ConditionChange)           {}
func (i *instance) OwnershipChanged(_, _, _ []fleet.Resource)          {}
func (i *instance) CloseConnections(fleet.ServerID)                    { i.forgotten.Add(1) }
func (i *instance) CloseIdleConnections()                              {}
func (i *instance) Reachable(context.Context, fleet.ListedServer) bool { return true }

func (i *instance) ConfigOffered(decision config.Decision, version fleet.Version) {
	if decision.Verdict == config.Adopted {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.versions = append(i.versions, version)
	}
}

// links implements control.Peers.
type links struct{ *instance }

func (l links) Heartbeat(ctx context.Context, out member.OutgoingHeartbeat, age control.PlatformAge) (member.HeartbeatReply, control.PlatformAge, error) {
	to, err := l.peerAt(out.To.Address)
	if err != nil {
		return member.HeartbeatReply{}, 0, err
	}
	return to.HandleHeartbeat(ctx, out.Message, age)
}

func (l links) Sync(ctx context.Context, out member.OutgoingSync) (member.SyncReply, error) {
	to, err := l.peerAt(out.To.Address)
	if err != nil {
		return member.SyncReply{}, err
	}
	return to.HandleSync(ctx, out.Message)
}

func (l links) Fence(ctx context.Context, out member.OutgoingFenceRequest) (member.FenceReply, error) {
	to, err := l.peerAt(out.To.Address)
	if err != nil {
		return member.FenceReply{}, err
	}
	return to.HandleFence(ctx, out.Message)
}

func (l links) Claim(ctx context.Context, out ownership.OutgoingClaim) (ownership.ClaimReply, error) {
	to, err := l.peerAt(out.To.Address)
	if err != nil {
		return ownership.ClaimReply{}, err
	}
	return to.HandleClaim(ctx, out.Message)
}

func (l links) Report(ctx context.Context, at member.Peer, service fleet.ServiceName, report floor.Report) (floor.Reply, error) {
	to, err := l.peerAt(at.Address)
	if err != nil {
		return floor.Reply{}, err
	}
	return to.HandleReport(ctx, service, report)
}

func (l links) Probe(context.Context, member.Peer, fleet.ListedServer) (bool, error) {
	return true, nil
}

func (l links) Fetch(ctx context.Context, at member.Peer, known control.KnownDocuments) (control.Documents, error) {
	to, err := l.peerAt(at.Address)
	if err != nil {
		return control.Documents{}, err
	}
	view := to.View()
	if l.configStuck.Load() && view.Config.Version() > known.ConfigVersion {
		<-ctx.Done()
		return control.Documents{}, ctx.Err()
	}
	var documents control.Documents
	if view.Config.Version() > known.ConfigVersion {
		document := view.Config.Document()
		documents.Config = &document
	}
	if view.Listing.Revision > known.ListingRevision {
		documents.Listing = &view.Listing
	}
	return documents, nil
}

// newNetwork returns a network without instances.
func newNetwork() *network {
	return &network{clock: clock{time.Now()}, nodes: map[fleet.Address]*instance{}, cut: map[fleet.Address]bool{}}
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%d", i)) }

func address(id fleet.InstanceID) fleet.Address { return fleet.Address("peer-" + id) }

// start runs an instance until the test ends.
func (n *network) start(t *testing.T, id fleet.InstanceID) *instance {
	t.Helper()
	i := &instance{net: n, id: id, address: address(id)}
	i.Loop = control.New(control.Options{
		Member: member.Options{
			ID: id, Domain: "d", PeerAddress: i.address, CallerAddress: fleet.Address("caller-" + id),
			Random: rand.New(rand.NewPCG(uint64(len(id)), uint64(id[len(id)-1]))),
		},
		Clock: n.clock, Peers: links{i}, Prober: i, PlatformWatcher: i, Events: i,
	})
	n.mu.Lock()
	n.nodes[i.address] = i
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.ended.Go(func() { i.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		i.ended.Wait()
	})
	return i
}

// setCut cuts or restores all links of an instance.
func (n *network) setCut(i *instance, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[i.address] = cut
}

func document(version fleet.Version, services ...fleet.ServiceName) config.Document {
	d := config.Document{
		Version: version, Deployment: "d", Domains: []fleet.Domain{"d"},
		Limits: config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
	}
	for _, s := range services {
		d.Services = append(d.Services, config.Service{Name: s, Slots: 2, Conns: 10, Floor: 1, Deadline: 500 * time.Millisecond})
	}
	d.Digest = config.DigestOf(d)
	return d
}

// listing returns a listing with instances i1 to i<instances> and servers s1 to
// s<servers>.
func listing(revision fleet.Revision, instances, servers int) fleet.Listing {
	l := fleet.Listing{Revision: revision}
	for i := range instances {
		id := instanceID(i + 1)
		l.Instances = append(l.Instances, fleet.ListedInstance{ID: id, Domain: "d", PeerAddress: address(id)})
	}
	for i := range servers {
		id := fleet.ServerID(fmt.Sprintf("s%d", i+1))
		l.Servers = append(l.Servers, fleet.ListedServer{ID: id, Service: svc, Domain: "d", Address: "127.0.0.1:1"})
	}
	return l
}

// offer passes a configuration and a listing to an instance.
func (i *instance) offer(t *testing.T, d config.Document, l fleet.Listing) {
	t.Helper()
	_, err := i.OfferConfig(context.Background(), d)
	require.NoError(t, err)
	require.NoError(t, i.OfferListing(context.Background(), l))
}

// startFleet runs instances i1, i2 and so on with the same configuration and
// listing.
func startFleet(t *testing.T, instances, servers int) (*network, []*instance) {
	t.Helper()
	n := newNetwork()
	var all []*instance
	for i := range instances {
		all = append(all, n.start(t, instanceID(i+1)))
	}
	for _, i := range all {
		i.offer(t, document(1, svc), listing(1, instances, servers))
	}
	return n, all
}

// holders returns the instances that may send requests to a server now.
func holders(all []*instance, server fleet.ServerID) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, i := range all {
		if i.View().MaySendTo(server, i.net.clock.Now()) {
			ids = append(ids, i.id)
		}
	}
	return ids
}

// awaitOwned waits until each server has one owner among owners, and fails as soon
// as a server has two owners among all.
func awaitOwned(t *testing.T, all, owners []*instance, servers int) {
	t.Helper()
	require.Eventually(t, func() bool {
		owned := 0
		for s := range servers {
			server := fleet.ServerID(fmt.Sprintf("s%d", s+1))
			require.LessOrEqual(t, len(holders(all, server)), 1, "owners of one server")
			owned += len(holders(owners, server))
		}
		return owned == servers
	}, 8*time.Second, 5*time.Millisecond)
}
