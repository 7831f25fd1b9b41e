package traffic_test

import (
	"context"
	"crypto/rand"
	"errors"
	randv2 "math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"galenaridge/core/admission"
	"galenaridge/core/attempt"
	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/ownership"
	"galenaridge/core/retry"
	"galenaridge/core/traffic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const svc fleet.ServiceName = "svc"

// incarnations seeds the incarnation of each engine, so that no two engines are
// the home of the same tokens.
var incarnations atomic.Uint64

// fake implements the control state, the servers and the other instances.
type fake struct {
	mu         sync.Mutex
	clock      *clockwork.FakeClock
	view       *control.View
	send       func(a traffic.Attempt) (exchange.Response, attempt.Evidence)
	execute    func(to member.Peer) (exchange.Response, bool)
	submit     func(to member.Peer) (exchange.Response, bool)
	sent       []fleet.ServerID
	executedAt []fleet.InstanceID
	// issuers holds the instances that issue tokens.
	issuers map[fleet.InstanceID]bool
	drained []fleet.ServerID
	engine  *traffic.Engine
}

func (f *fake) View() *control.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fake) setView(view *control.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
}

func (f *fake) ReportServerDraining(_ fleet.ServiceName, server fleet.ServerID) {
	f.drained = append(f.drained, server)
}

func (f *fake) Send(_ context.Context, a traffic.Attempt) (exchange.Response, attempt.Evidence) {
	f.mu.Lock()
	f.sent = append(f.sent, a.Server.ID)
	f.mu.Unlock()
	return f.send(a)
}

func (f *fake) Execute(_ context.Context, to member.Peer, _ exchange.Request) (exchange.Response, bool) {
	f.mu.Lock()
	f.executedAt = append(f.executedAt, to.Member.ID)
	f.mu.Unlock()
	return f.execute(to)
}

func (f *fake) Submit(_ context.Context, to member.Peer, _ once.Token, _ exchange.Request) (exchange.Response, bool) {
	return f.submit(to)
}

func (f *fake) Mint(_ context.Context, to member.Peer, _ fleet.ServiceName) (once.Token, error) {
	if !f.issuers[to.Member.ID] {
		return "", errors.New("owner cannot be reached")
	}
	return once.Token("token of " + to.Member.ID), nil
}

// cyclicRandom returns the numbers 0 to n-1 in turn.
type cyclicRandom struct{ drawn atomic.Int64 }

func (r *cyclicRandom) IntN(n int) int { return int(r.drawn.Add(1)-1) % n }
func (r *cyclicRandom) Uint64() uint64 { return 7 }

// startEngine returns an engine of an instance that owns the servers; the other
// instances are owners too.
func startEngine(t *testing.T, servers []fleet.ServerID, others ...fleet.InstanceID) *fake {
	t.Helper()
	f := &fake{clock: clockwork.NewFakeClockAt(time.Now())}
	f.view = f.newView(t, servers, others)
	f.send = succeed
	engine, err := traffic.New(traffic.Options{
		Control: f, DrainListener: f, Sender: f, Peers: f, Clock: f.clock, Random: &cyclicRandom{}, SecretSource: rand.Reader,
		RecordLimits: traffic.RecordLimits{MaxRecords: 100, MaxBodyBytes: 1 << 10, MaxMemoryBytes: 1 << 20},
	}, f.view.Members.Self().Member)
	require.NoError(t, err)
	f.engine = engine
	return f
}

// newView builds the view of a single instance with a lease that holds all
// servers.
func (f *fake) newView(t *testing.T, servers []fleet.ServerID, others []fleet.InstanceID) *control.View {
	t.Helper()
	document := config.Document{
		Version: 1, Deployment: "d", Domains: []fleet.Domain{"d"},
		Services: []config.Service{{
			Name: svc, Slots: 2, Conns: 10, Floor: 1, Deadline: 2 * time.Second,
			Routes: []config.Route{{Method: "GET", Path: "/protected", Protected: true}},
		}},
		Limits: config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
	}
	document.Digest = config.DigestOf(document)
	state := config.NewState()
	require.Equal(t, config.Adopted, state.Offer(document).Verdict)
	members := member.New(f.clock.Now(), member.Options{
		ID: "self", Domain: "d", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Random: randv2.New(randv2.NewPCG(incarnations.Add(1), 2)),
	})
	members.SetListing(f.clock.Now(), fleet.Listing{
		Revision: 1, Instances: []fleet.ListedInstance{{ID: "self", Domain: "d", PeerAddress: "127.0.0.1:1"}},
	})
	owners := ownership.New(ownership.Options{})
	var wanted []ownership.ResourceSpec
	for _, id := range servers {
		wanted = append(wanted, ownership.ResourceSpec{Resource: fleet.ServerResource(id), Domain: "d", LargestDeadline: 2 * time.Second})
	}
	owners.SetResources(f.clock.Now(), wanted)
	for range 40 {
		f.clock.Advance(50 * time.Millisecond)
		members.Tick(f.clock.Now())
		owners.SetMembers(f.clock.Now(), members.View())
		owners.Tick(f.clock.Now(), members.View().LeaseValid(f.clock.Now()))
	}
	service := &control.Service{
		Config: document.Services[0], Pool: admission.New(f.clock, admission.Options{}),
		Budget: retry.NewBudget(retry.Options{InitialTokens: 3, MaxTokens: 10}), OwnedServers: map[fleet.ServerID]*control.OwnedServer{},
	}
	var slots []admission.ServerSlots
	for _, id := range servers {
		service.OwnedServers[id] = &control.OwnedServer{
			Listed: fleet.ListedServer{ID: id, Service: svc}, Counters: health.NewCounters(f.clock.Now()),
		}
		slots = append(slots, admission.ServerSlots{Server: id, Slots: 2, Use: admission.Normal})
	}
	service.Pool.SetServers(slots)
	for _, id := range others {
		service.Owners = append(service.Owners, control.Owner{Member: fleet.Member{ID: id, Incarnation: 1}, Domain: "d"})
	}
	return &control.View{
		Members: members.View(), Owners: owners.View(), Config: state.View(),
		Services: map[fleet.ServiceName]*control.Service{svc: service},
	}
}

// withService returns the view with the service changed or, with nil, removed.
func withService(view *control.View, service *control.Service) *control.View {
	changed := *view
	changed.Services = map[fleet.ServiceName]*control.Service{}
	if service != nil {
		changed.Services[svc] = service
	}
	return &changed
}

func (f *fake) request(method string) exchange.Request {
	return exchange.Request{Service: svc, Method: method, URI: "/x", Deadline: f.clock.Now().Add(2 * time.Second)}
}

func (f *fake) serve(method string) exchange.Response {
	return f.engine.Serve(context.Background(), f.request(method), "").Response
}

// Results of attempts on a server.

func succeed(a traffic.Attempt) (exchange.Response, attempt.Evidence) {
	if !a.MayWrite() {
		return denyWrite(a)
	}
	return exchange.Response{Outcome: fleet.Done, Status: 200}, attempt.Evidence{Written: true, Complete: true}
}

func fail(traffic.Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Response{Outcome: fleet.Done, Status: 500}, attempt.Evidence{Written: true, Complete: true}
}

// unavailable responds with a status that a refusal has as well; the outcome tells them apart.
func unavailable(traffic.Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Response{Outcome: fleet.Done, Status: 503}, attempt.Evidence{Written: true, Complete: true}
}

func loseResponse(traffic.Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.UpstreamLost, ""), attempt.Evidence{Written: true}
}

func refuse(traffic.Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.NoCapacity, ""), attempt.Evidence{Refused: true}
}

func denyWrite(traffic.Attempt) (exchange.Response, attempt.Evidence) {
	return exchange.Refuse(exchange.NotReady, ""), attempt.Evidence{}
}

type sends []func(traffic.Attempt) (exchange.Response, attempt.Evidence)

// TestLocal guards against a retry of a protected request that may have been
// written, and against the outcome "not run" after an attempt was written.
func TestLocal(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		sends   sends
		outcome fleet.Outcome
		status  int
		sent    int
	}{
		{"protected succeeds", "POST", sends{succeed}, fleet.Done, 200, 1},
		{"protected gets a server error", "POST", sends{fail}, fleet.Done, 500, 1},
		{"protected gets a 503 of the server", "POST", sends{unavailable, succeed}, fleet.Done, 503, 1},
		{"protected is lost", "POST", sends{loseResponse, succeed}, fleet.Unknown, 504, 1},
		{"protected is refused by the first server", "POST", sends{refuse, succeed}, fleet.Done, 200, 2},
		{"protected must not be written to the first server", "POST", sends{denyWrite, succeed}, fleet.Done, 200, 2},
		{"protected is refused by all servers", "POST", sends{refuse, refuse, refuse}, fleet.NotRun, 503, 3},
		{"protected must not be written to any server", "POST", sends{denyWrite, denyWrite, denyWrite}, fleet.NotRun, 503, 3},
		{"protected is lost on the second server", "POST", sends{refuse, loseResponse, succeed}, fleet.Unknown, 504, 2},
		{"idempotent is lost and tried again", "GET", sends{loseResponse, succeed}, fleet.Done, 200, 2},
		{"idempotent is lost and then refused", "GET", sends{loseResponse, refuse, refuse}, fleet.Unknown, 504, 3},
		{"idempotent fails and then must not be written", "GET", sends{fail, denyWrite, denyWrite}, fleet.Done, 500, 3},
		{"idempotent fails everywhere", "GET", sends{fail, fail, fail}, fleet.Done, 500, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1", "2", "3"})
			f.send = func(a traffic.Attempt) (exchange.Response, attempt.Evidence) {
				return tt.sends[len(f.sent)-1](a)
			}
			got := f.serve(tt.method)
			assert.Equal(t, tt.outcome, got.Outcome)
			assert.Equal(t, tt.status, got.Status)
			assert.Len(t, f.sent, tt.sent)
			f.clock.Advance(time.Second)
			f.view.Services[svc].Pool.Expire(f.clock.Now())
			assert.Zero(t, f.view.Services[svc].Pool.Load().Busy, "slots are released")
		})
	}
}

// peerReply is the reply of another owner.
type peerReply struct {
	response  exchange.Response
	delivered bool
}

// TestOwners guards against a second owner that runs a protected request which
// the first may have run, and against the outcome "not run" of a later owner that
// hides an attempt of an earlier one.
func TestOwners(t *testing.T) {
	done := peerReply{exchange.Response{Outcome: fleet.Done, Status: 200}, true}
	failed := peerReply{exchange.Response{Outcome: fleet.Done, Status: 500}, true}
	unavailable := peerReply{exchange.Response{Outcome: fleet.Done, Status: 503}, true}
	notRun := peerReply{exchange.Refuse(exchange.Overloaded, ""), true}
	noReply := peerReply{exchange.Refuse(exchange.UpstreamLost, ""), true}
	invalid := peerReply{exchange.Refuse(exchange.BadRequest, ""), true}
	unreached := peerReply{}
	tests := []struct {
		name     string
		method   string
		replies  []peerReply
		outcome  fleet.Outcome
		status   int
		executed int
	}{
		{"protected runs at the first owner", "POST", []peerReply{done, done, done}, fleet.Done, 200, 1},
		{"not run at the first owner leads to the next", "POST", []peerReply{notRun, done, done}, fleet.Done, 200, 2},
		{"an unreached owner leads to the next", "POST", []peerReply{unreached, done, done}, fleet.Done, 200, 2},
		{"a 503 of the server is final", "POST", []peerReply{unavailable, done, done}, fleet.Done, 503, 1},
		{"a lost reply is final", "POST", []peerReply{noReply, done, done}, fleet.Unknown, 504, 1},
		{"a lost reply after not run is final", "POST", []peerReply{notRun, noReply, done}, fleet.Unknown, 504, 2},
		{"not run everywhere", "POST", []peerReply{notRun, notRun, notRun}, fleet.NotRun, 503, 3},
		{"a request that cannot be sent is not tried again", "POST", []peerReply{invalid, done, done}, fleet.NotRun, 400, 1},
		{"idempotent with a lost reply is tried again", "GET", []peerReply{noReply, done, done}, fleet.Done, 200, 2},
		{"not run does not hide a lost reply", "GET", []peerReply{noReply, notRun, unreached}, fleet.Unknown, 504, 3},
		{"not run does not hide a server error", "GET", []peerReply{failed, notRun, notRun}, fleet.Done, 500, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, nil, "a", "b", "c")
			f.execute = func(member.Peer) (exchange.Response, bool) {
				reply := tt.replies[len(f.executedAt)-1]
				return reply.response, reply.delivered
			}
			got := f.serve(tt.method)
			assert.Equal(t, tt.outcome, got.Outcome)
			assert.Equal(t, tt.status, got.Status)
			assert.Len(t, f.executedAt, tt.executed)
		})
	}
}

// TestRetryBudget guards against a request that adds to the retry budget more than
// once because owners could not be reached.
func TestRetryBudget(t *testing.T) {
	f := startEngine(t, nil, "a", "b", "c")
	f.execute = func(member.Peer) (exchange.Response, bool) { return exchange.Response{}, false }
	budget := f.view.Services[svc].Budget
	for budget.TakeToken() {
		continue
	}
	reference := retry.NewBudget(retry.Options{MaxTokens: 10})
	for range 30 {
		f.serve("GET")
		reference.RecordFirstAttempt()
		f.clock.Advance(2 * time.Second)
		require.Equal(t, reference.Tokens(), budget.Tokens())
	}
	assert.Positive(t, reference.Tokens())
}

// TestUnsentRetries guards against attempts that reach no server and still take
// tokens from the retry budget.
func TestUnsentRetries(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1", "2", "3"})
	f.send = denyWrite
	f.serve("GET")
	assert.Len(t, f.sent, 3)
	assert.Equal(t, 3, f.view.Services[svc].Budget.Tokens())
}

// TestLossWhileWaiting guards against a panic, and against the use of a server, if this
// instance loses the service or the server while a request waits for a slot.
func TestLossWhileWaiting(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fake) *control.View
	}{
		{"service removed", func(f *fake) *control.View { return withService(f.view, nil) }},
		{"server lost", func(f *fake) *control.View {
			changed := *f.view.Services[svc]
			changed.OwnedServers = map[fleet.ServerID]*control.OwnedServer{}
			return withService(f.view, &changed)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1"})
			pool := f.view.Services[svc].Pool
			var grants []*admission.Grant
			for range 2 {
				grant, err := pool.Acquire(context.Background(), admission.Request{CustomerWeight: 1})
				require.NoError(t, err)
				grants = append(grants, grant)
			}
			response := make(chan exchange.Response, 1)
			go func() { response <- f.engine.Execute(context.Background(), f.request("POST")) }()
			require.Eventually(t, func() bool { return pool.Load().Queued == 1 }, 5*time.Second, time.Millisecond)
			f.setView(tt.change(f))
			for _, grant := range grants {
				grant.Release()
			}
			got := <-response
			assert.Equal(t, exchange.NoCapacity, got.Code)
			assert.Equal(t, fleet.NotRun, got.Outcome)
			assert.Empty(t, f.sent)
			assert.Zero(t, pool.Load().Busy)
		})
	}
}

// TestLease guards against requests to servers after the lease has expired.
func TestLease(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	f.clock.Advance(3 * time.Second)
	assert.Equal(t, exchange.NoCapacity, f.engine.Execute(context.Background(), f.request("GET")).Code)
	assert.Empty(t, f.sent)
}

// TestLeaseExpiresBeforeWrite guards against a write if the lease expires between the grant and the
// write, and against a deadline later than the end of the lease plus the largest
// deadline of the service.
func TestLeaseExpiresBeforeWrite(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	f.send = func(a traffic.Attempt) (exchange.Response, attempt.Evidence) {
		latest := f.view.Members.LeaseUntil().Add(2 * time.Second)
		assert.False(t, a.Deadline.After(latest))
		f.clock.Advance(3 * time.Second)
		assert.False(t, a.MayWrite())
		return denyWrite(a)
	}
	request := f.request("GET")
	request.Deadline = f.clock.Now().Add(time.Minute)
	assert.Equal(t, fleet.NotRun, f.engine.Execute(context.Background(), request).Outcome)
}

// TestDraining guards against a server's draining announcement that is not
// reported to the control state.
func TestDraining(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	f.send = func(a traffic.Attempt) (exchange.Response, attempt.Evidence) {
		response, evidence := succeed(a)
		evidence.Draining = true
		return response, evidence
	}
	f.serve("GET")
	assert.Equal(t, []fleet.ServerID{"1"}, f.drained)
}

// TestHeldSlots guards against the reuse of a slot while the server may still
// work on a request that was abandoned on this side.
func TestHeldSlots(t *testing.T) {
	timedOut := func(traffic.Attempt) (exchange.Response, attempt.Evidence) {
		return exchange.Refuse(exchange.UpstreamTimeout, ""), attempt.Evidence{Written: true, TimedOut: true}
	}
	tests := []struct {
		name string
		send func(traffic.Attempt) (exchange.Response, attempt.Evidence)
		held time.Duration
	}{
		{"done", succeed, 0},
		{"server error", fail, 0},
		{"not written", denyWrite, 0},
		{"connection lost", loseResponse, 50 * time.Millisecond},
		{"timed out", timedOut, 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1"})
			f.send = tt.send
			f.serve("POST")
			pool := f.view.Services[svc].Pool
			busyAfter := func(wait time.Duration) bool {
				f.clock.Advance(wait)
				pool.Expire(f.clock.Now())
				return pool.Load().Busy > 0
			}
			if tt.held > 0 {
				assert.True(t, busyAfter(tt.held-time.Millisecond))
			}
			assert.False(t, busyAfter(time.Millisecond))
		})
	}
}
