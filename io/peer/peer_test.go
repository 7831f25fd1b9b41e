package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/types/known/emptypb"

	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/ownership"
	"galenaridge/io/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// instance answers each message with a prepared reply and keeps what arrived.
type instance struct {
	view      *control.View
	received  any
	age       control.PlatformAge
	heartbeat member.HeartbeatReply
	sync      member.SyncReply
	fence     member.FenceReply
	claim     ownership.ClaimReply
	report    floor.Reply
	response  exchange.Response
	answered  bool
	accepted  bool
	panics    bool
	panicked  chan string
	left      time.Duration
}

func (i *instance) View() *control.View { return i.view }

func (i *instance) HandleHeartbeat(_ context.Context, m member.Heartbeat, age control.PlatformAge) (member.HeartbeatReply, control.PlatformAge, error) {
	i.received, i.age = m, age
	return i.heartbeat, age + control.PlatformAge(time.Second), nil
}

func (i *instance) HandleSync(_ context.Context, m member.SyncRequest) (member.SyncReply, error) {
	i.received = m
	return i.sync, nil
}

func (i *instance) HandleFence(_ context.Context, m member.FenceRequest) (member.FenceReply, error) {
	i.received = m
	return i.fence, nil
}

func (i *instance) HandleClaim(_ context.Context, m ownership.Claim) (ownership.ClaimReply, error) {
	i.received = m
	return i.claim, nil
}

func (i *instance) HandleReport(_ context.Context, service fleet.ServiceName, m floor.Report) (floor.Reply, error) {
	i.received = []any{service, m}
	return i.report, nil
}

func (i *instance) Execute(_ context.Context, request exchange.Request) exchange.Response {
	if i.panics {
		panic("handler fault")
	}
	i.left = time.Until(request.Deadline)
	request.Deadline = time.Time{}
	i.received = request
	return i.response
}

func (i *instance) Submit(_ context.Context, token once.Token, request exchange.Request) (exchange.Response, bool) {
	request.Deadline = time.Time{}
	i.received = []any{token, request}
	return i.response, i.answered
}

func (i *instance) Mint(service fleet.ServiceName) (once.Token, error) {
	i.received = service
	return "token", nil
}

func (i *instance) ImportRecords(handover once.Handover) bool {
	i.received = handover
	return i.accepted
}

func (i *instance) Reachable(_ context.Context, server fleet.ListedServer) bool {
	i.received = server
	return true
}

func (i *instance) ReportPanic(method string, _ any, _ []byte) { i.panicked <- method }

// start serves the instance on loopback until the test ends.
func start(t *testing.T, answers *instance) (*peer.Client, member.Peer) {
	t.Helper()
	clock := clockwork.NewRealClock()
	server := peer.NewServer(peer.ServerOptions{Control: answers, Traffic: answers, Prober: answers, Clock: clock, PanicReporter: answers})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	client := peer.NewClient(peer.ClientOptions{Clock: clock, Meter: &peer.Meter{}})
	t.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Stop(ctx)
		serving.Wait()
	})
	return client, member.Peer{Member: id("b", 2), Address: fleet.Address(listener.Addr().String())}
}

func id(name fleet.InstanceID, incarnation fleet.Incarnation) fleet.Member {
	return fleet.Member{ID: name, Incarnation: incarnation}
}

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var (
	record = member.Record{
		Member: id("a", 1), Domain: "d", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Status: member.Left,
		WitnessSetVersion: 3, Witnesses: []fleet.Member{id("w", 4), id("x", 5)}, Successor: id("s", 6),
	}
	news = member.Gossip{
		Records: []member.Record{record},
		Digest:  1 << 63,
		Config:  member.Config{Version: 7, Digest: "abc", ListingRevision: 8},
	}
	headers = []exchange.Header{{Name: "X-Name", Value: "M\xfcller"}}
	request = exchange.Request{
		Service: "s", Method: "POST", URI: "/a?b=\xff", Headers: headers, Body: []byte("body\x00"),
		Tenant: "t", Protected: true, Key: "k", Hops: 1,
	}
	response = exchange.Response{
		Outcome: fleet.Done, Code: exchange.Overloaded, Message: "m", Status: 201, Headers: headers,
		Body: []byte{0xff}, RetryAfter: 1500 * time.Millisecond, Load: exchange.Load{Slots: 4, Busy: 3, Queued: 2},
	}
)

// TestRoundTrip guards against fields that are lost between two instances.
func TestRoundTrip(t *testing.T) {
	answers := &instance{
		heartbeat: member.HeartbeatReply{From: id("b", 2), Acknowledged: true, Fenced: true, Gossip: news},
		sync:      member.SyncReply{Records: []member.Record{record}},
		fence:     member.FenceReply{From: id("b", 2), Granted: true, Record: record},
		claim: ownership.ClaimReply{From: id("b", 2), Answers: []ownership.Answer{
			{Resource: "server/1", Verdict: ownership.Held, Holder: record},
		}},
		report:   floor.Reply{Sequence: 9, Decided: true, Granted: []fleet.ServerID{"1"}, MedianLatency: 3 * time.Millisecond},
		response: response,
		answered: true,
		accepted: true,
	}
	client, to := start(t, answers)
	handover := once.Handover{
		Home: id("a", 1), Secret: []byte{1, 2}, Elapsed: time.Minute, LastTokenExpiry: time.Hour, Complete: true, BatchIndex: 1, BatchCount: 2,
		Records: []once.Record{{Token: "tok", Key: "k", Fingerprint: once.FingerprintOf(request), Response: response, BodyDropped: true}},
	}
	report := floor.Report{
		Owner: id("a", 1), Sequence: 9, Usable: 5, Requests: []floor.EjectionRequest{{Server: "1", Severity: 0.5}},
		Released: []fleet.ServerID{"2"}, MedianLatency: 2 * time.Millisecond,
	}
	listed := fleet.ListedServer{ID: "1", Service: "s", Address: "127.0.0.1:9"}
	tests := []struct {
		name     string
		call     func(ctx context.Context) (any, error)
		received any
		reply    any
	}{
		{"heartbeat", func(ctx context.Context) (any, error) {
			reply, age, err := client.Heartbeat(ctx, member.OutgoingHeartbeat{To: to, Message: member.Heartbeat{From: id("a", 1), WitnessSetVersion: 2, Gossip: news}}, control.PlatformAge(time.Second))
			assert.Equal(t, control.PlatformAge(2*time.Second), age)
			return reply, err
		}, member.Heartbeat{From: id("a", 1), WitnessSetVersion: 2, Gossip: news}, answers.heartbeat},
		{"sync", func(ctx context.Context) (any, error) {
			return client.Sync(ctx, member.OutgoingSync{To: to, Message: member.SyncRequest{From: id("a", 1), Records: []member.Record{record}}})
		}, member.SyncRequest{From: id("a", 1), Records: []member.Record{record}}, answers.sync},
		{"fence", func(ctx context.Context) (any, error) {
			return client.Fence(ctx, member.OutgoingFenceRequest{To: to, Message: member.FenceRequest{From: id("a", 1), Target: id("c", 3), WitnessSetVersion: 4}})
		}, member.FenceRequest{From: id("a", 1), Target: id("c", 3), WitnessSetVersion: 4}, answers.fence},
		{"claim", func(ctx context.Context) (any, error) {
			return client.Claim(ctx, ownership.OutgoingClaim{To: to, Message: ownership.Claim{
				From: record, Resources: []fleet.Resource{"server/1"}, Held: []fleet.Resource{"server/2"}, Yielded: []fleet.Resource{"server/3"},
			}})
		}, ownership.Claim{
			From: record, Resources: []fleet.Resource{"server/1"}, Held: []fleet.Resource{"server/2"}, Yielded: []fleet.Resource{"server/3"},
		}, answers.claim},
		{
			"permit", func(ctx context.Context) (any, error) { return client.Report(ctx, to, "s", report) },
			[]any{fleet.ServiceName("s"), report},
			answers.report,
		},
		{"probe", func(ctx context.Context) (any, error) { return client.Probe(ctx, to, listed) }, listed, true},
		{"mint", func(ctx context.Context) (any, error) { return client.Mint(ctx, to, "s") }, fleet.ServiceName("s"), once.Token("token")},
		{"execute", func(ctx context.Context) (any, error) {
			got, delivered := client.Execute(ctx, to, request)
			assert.True(t, delivered)
			return got, nil
		}, request, response},
		{"submit", func(ctx context.Context) (any, error) {
			got, delivered := client.Submit(ctx, to, "tok", request)
			assert.True(t, delivered)
			return got, nil
		}, []any{once.Token("tok"), request}, response},
		{"handover", func(ctx context.Context) (any, error) { return nil, client.Handover(ctx, to, handover) }, handover, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reply, err := tt.call(limited(t))
			require.NoError(t, err)
			assert.Equal(t, tt.received, answers.received)
			assert.Equal(t, tt.reply, reply)
		})
	}
	assert.InDelta(t, 5, answers.left.Seconds(), 1, "the deadline of the request")
}

// TestFetch guards against a receiver that gets documents which it already
// has, or does not get those that it lacks.
func TestFetch(t *testing.T) {
	document := config.Document{
		Version: 3, Deployment: "d", Domains: []fleet.Domain{"d"},
		Services: []config.Service{{Name: "s", Slots: 4, Conns: 330, Floor: 1, Deadline: time.Second}},
		Limits:   config.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, AssignmentTTL: 5 * time.Second, TokenTTL: 10 * time.Minute},
	}
	document.Digest = config.DigestOf(document)
	state := config.NewState()
	require.Equal(t, config.Adopted, state.Offer(document).Verdict)
	listing := fleet.Listing{
		Revision:  4,
		Instances: []fleet.ListedInstance{{ID: "a", Domain: "d", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Presence: fleet.Leaving}},
		Servers:   []fleet.ListedServer{{ID: "1", Service: "s", Domain: "d", Address: "127.0.0.1:3", Presence: fleet.Leaving}},
	}
	client, to := start(t, &instance{view: &control.View{Config: state.View(), Listing: listing}})
	tests := []struct {
		name    string
		known   control.KnownDocuments
		config  bool
		listing bool
	}{
		{"nothing known", control.KnownDocuments{}, true, true},
		{"configuration known", control.KnownDocuments{ConfigVersion: 3}, false, true},
		{"list known", control.KnownDocuments{ListingRevision: 4}, true, false},
		{"newer known", control.KnownDocuments{ConfigVersion: 9, ListingRevision: 9}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := client.Fetch(limited(t), to, tt.known)
			require.NoError(t, err)
			assert.Equal(t, tt.config, got.Config != nil)
			assert.Equal(t, tt.listing, got.Listing != nil)
			if tt.config {
				assert.Equal(t, document.Digest, config.DigestOf(*got.Config))
			}
			if tt.listing {
				assert.Equal(t, listing, *got.Listing)
			}
		})
	}
}

// TestDelivery guards against a request that may have arrived and is taken
// for undelivered, which would let another owner start it again.
func TestDelivery(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	refusing := member.Peer{Address: fleet.Address(closed.Addr().String())}
	answers := &instance{panics: true, panicked: make(chan string, 1)}
	client, to := start(t, answers)
	tests := []struct {
		name      string
		to        member.Peer
		delivered bool
		outcome   fleet.Outcome
	}{
		{"connection refused", refusing, false, fleet.Unknown},
		{"handler panics", to, true, fleet.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, delivered := client.Execute(limited(t), tt.to, request)
			assert.Equal(t, tt.delivered, delivered)
			assert.Equal(t, tt.outcome, got.Outcome)
		})
	}
	require.Len(t, answers.panicked, 1)
	assert.Equal(t, "/galenaridge.peer.v1.Peer/Execute", <-answers.panicked)
}

// TestNotHeld guards against "not run" from an instance that does not know the
// token, and against records that are taken for handed over.
func TestNotHeld(t *testing.T) {
	client, to := start(t, &instance{})
	got, delivered := client.Submit(limited(t), to, "tok", request)
	assert.True(t, delivered)
	assert.Equal(t, exchange.HomeLost, got.Code)
	assert.Equal(t, fleet.Unknown, got.Outcome)
	assert.ErrorIs(t, client.Handover(limited(t), to, once.Handover{}), peer.ErrNotAccepted)
}

// raw passes encoded messages through gRPC as they are.
type raw struct{}

func (raw) Name() string                  { return "proto" }
func (raw) Marshal(v any) ([]byte, error) { return v.([]byte), nil }
func (raw) Unmarshal(data []byte, v any) error {
	*v.(*[]byte) = append([]byte(nil), data...)
	return nil
}

// TestOtherRelease guards against a message of a newer release that is
// refused for its unknown fields, or whose unknown outcome is taken for one
// that this release knows.
func TestOtherRelease(t *testing.T) {
	answers := &instance{response: exchange.Response{Outcome: fleet.NotRun + 1, Status: 200}}
	client, to := start(t, answers)
	conn, err := grpc.NewClient(string(to.Address), grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	message := protowire.AppendTag(nil, 1, protowire.BytesType)
	message = protowire.AppendString(message, "s")
	message = protowire.AppendTag(message, 900, protowire.BytesType)
	message = protowire.AppendString(message, "added later")
	var reply []byte
	require.NoError(t, conn.Invoke(limited(t), "/galenaridge.peer.v1.Peer/Execute", message, &reply, grpc.ForceCodec(raw{})))
	assert.Equal(t, fleet.ServiceName("s"), answers.received.(exchange.Request).Service)
	got, delivered := client.Execute(limited(t), to, request)
	assert.True(t, delivered)
	assert.Equal(t, fleet.Unknown, got.Outcome)
	assert.Error(t, conn.Invoke(limited(t), "/galenaridge.peer.v1.Peer/Later", &emptypb.Empty{}, &emptypb.Empty{}))
}
