package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/admission"
	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/core/member"
)

// parts stands for everything around a node; none of it acts.
type parts struct {
	Peers
	now time.Time
}

func (p *parts) Now() time.Time                                     { return p.now }
func (p *parts) NewTicker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }
func (p *parts) SetEnabled(bool)                                    {}
func (p *parts) MemberEvent(member.Event)                           {}
func (p *parts) Rejoined(fleet.Member)                              {}
func (p *parts) ConditionChanged(ConditionChange)                   {}
func (p *parts) ConfigOffered(config.Decision, fleet.Version)       {}
func (p *parts) OwnershipChanged(_, _, _ []fleet.Resource)          {}
func (p *parts) CloseConnections(fleet.ServerID)                    {}
func (p *parts) CloseIdleConnections()                              {}
func (p *parts) Reachable(context.Context, fleet.ListedServer) bool { return true }

// newTestNode returns a node that knows one service with two servers and does
// not run.
func newTestNode(t *testing.T) (*node, *parts) {
	t.Helper()
	p := &parts{now: time.Now()}
	loop := New(Options{
		Member: member.Options{ID: "i1", Domain: "d", PeerAddress: "p", Random: rand.New(rand.NewPCG(1, 1))},
		Clock:  p, Peers: p, Prober: p, PlatformWatcher: p, Events: p,
	})
	n := loop.node
	ctx, cancel := context.WithCancel(context.Background())
	n.ctx = ctx
	t.Cleanup(func() {
		cancel()
		loop.senders.Wait()
	})
	document := config.Document{
		Version: 1, Deployment: "d", Domains: []fleet.Domain{"d"},
		Services: []config.Service{{Name: "s", Slots: 2, Conns: 10, Floor: 1, Deadline: time.Second}},
		Limits:   config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
	}
	document.Digest = config.DigestOf(document)
	require.Equal(t, config.Adopted, n.offerConfig(p.now, document).Verdict)
	n.offerListing(p.now, fleet.Listing{Revision: 1, Servers: []fleet.ListedServer{
		{ID: "1", Service: "s", Domain: "d"}, {ID: "2", Service: "s", Domain: "d"},
	}})
	return n, p
}

// TestStaleDrain guards against the end of requests from before a fencing that
// is taken for the end of the present hold, which would leave a server unused.
func TestStaleDrain(t *testing.T) {
	n, p := newTestNode(t)
	resource := fleet.ServerResource("1")
	n.acquire(p.now, resource)
	grant, err := n.services["s"].pool.Acquire(context.Background(), admission.Request{TenantWeight: 1})
	require.NoError(t, err)
	n.stop(p.now, resource)
	n.lose(resource)
	n.acquire(p.now, resource)
	grant.Release()
	(<-n.loop.commands)(n, p.now)
	assert.Contains(t, n.services["s"].held, fleet.ServerID("1"))
	again, err := n.services["s"].pool.Acquire(context.Background(), admission.Request{TenantWeight: 1})
	require.NoError(t, err)
	again.Release()
}

// TestTaking guards against servers that count twice or although they take no
// work, which would let the last working server be ejected.
func TestTaking(t *testing.T) {
	tests := []struct {
		name       string
		conditions map[fleet.ServerID]health.Condition
		leaving    fleet.ServerID
		taking     fleet.Servers
	}{
		{"all healthy", nil, "", 2},
		{"ejected", map[fleet.ServerID]health.Condition{"1": health.Ejected}, "", 1},
		{"dead", map[fleet.ServerID]health.Condition{"1": health.Dead}, "", 1},
		{"announced that it leaves", map[fleet.ServerID]health.Condition{"1": health.Draining}, "", 1},
		{"leaving and ejected", map[fleet.ServerID]health.Condition{"1": health.Ejected}, "1", 1},
		{"suspect", map[fleet.ServerID]health.Condition{"1": health.Suspect}, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, _ := newTestNode(t)
			s := n.services["s"]
			s.conditions = tt.conditions
			for i := range s.listed {
				if s.listed[i].ID == tt.leaving {
					s.listed[i].Presence = fleet.Leaving
				}
			}
			assert.Equal(t, tt.taking, s.taking())
		})
	}
}

// TestForget guards against the condition of an earlier hold that decides
// about a server which is acquired again.
func TestForget(t *testing.T) {
	n, p := newTestNode(t)
	s := n.services["s"]
	n.acquire(p.now, fleet.ServerResource("1"))
	s.tick(n, p.now)
	n.serverDraining(p.now, "s", "1")
	require.Equal(t, health.Draining, s.conditions["1"])
	n.lose(fleet.ServerResource("1"))
	s.tick(n, p.now)
	n.acquire(p.now, fleet.ServerResource("1"))
	s.tick(n, p.now)
	assert.Equal(t, health.Healthy, s.conditions["1"])
}

// TestPlatformAge guards against two instances that keep a read of the platform
// young by telling each other of it over a slow link.
func TestPlatformAge(t *testing.T) {
	a, p := newTestNode(t)
	b, q := newTestNode(t)
	read := p.now
	a.platformAt, b.platformAt = read, read
	q.now = p.now
	const oneWay = 80 * time.Millisecond
	for range 20 {
		sent := p.now
		age := a.platformAge(sent)
		p.now = p.now.Add(oneWay)
		b.notePlatform(p.now.Add(-hopAge), age)
		age = b.platformAge(p.now)
		p.now = p.now.Add(oneWay)
		a.notePlatform(sent, age)
	}
	assert.Equal(t, read, a.platformAt)
	assert.Equal(t, read, b.platformAt)
}

// TestReconfigured guards against a server that announced that it leaves and
// gets work again because the thresholds of the detection change.
func TestReconfigured(t *testing.T) {
	n, p := newTestNode(t)
	s := n.services["s"]
	n.acquire(p.now, fleet.ServerResource("1"))
	s.tick(n, p.now)
	n.serverDraining(p.now, "s", "1")
	changed := s.config
	changed.Deadline *= 2
	s.configure(p.now, changed)
	s.tick(n, p.now)
	assert.Equal(t, health.Draining, s.conditions["1"])
	_, err := s.pool.Acquire(context.Background(), admission.Request{TenantWeight: 1})
	assert.Error(t, err)
}
