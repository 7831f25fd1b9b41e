package traffic_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/attempt"
	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/once"
	"galenaridge/core/traffic"
)

// serveKeyed serves a protected request with a token and a key.
func (f *fake) serveKeyed(token once.Token, key fleet.Key) exchange.Response {
	request := f.request("POST")
	request.Key = key
	return f.engine.Serve(context.Background(), request, token).Response
}

func (f *fake) mint(t *testing.T) once.Token {
	t.Helper()
	token, err := f.engine.Mint(svc)
	require.NoError(t, err)
	return token
}

// TestDuplicateOutcome guards against a request that runs twice under one key, and against a
// duplicate whose response contradicts the first outcome.
func TestDuplicateOutcome(t *testing.T) {
	tests := []struct {
		name   string
		send   func(traffic.Attempt) (exchange.Response, attempt.Evidence)
		first  fleet.Outcome
		second fleet.Outcome
		code   exchange.Code
	}{
		{"done is replayed", succeed, fleet.Done, fleet.Done, ""},
		{"a server error is replayed", fail, fleet.Done, fleet.Done, ""},
		{"unknown stays unknown", loseResponse, fleet.Unknown, fleet.Unknown, exchange.UpstreamLost},
		{"not run stays refused", denyWrite, fleet.NotRun, fleet.NotRun, exchange.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1"})
			f.send = tt.send
			token := f.mint(t)
			assert.Equal(t, tt.first, f.serveKeyed(token, "k").Outcome)
			f.send = succeed
			got := f.serveKeyed(token, "k")
			assert.Equal(t, tt.second, got.Outcome)
			assert.Equal(t, tt.code, got.Code)
			assert.Len(t, f.sent, 1)
		})
	}
}

// TestTokens guards against an instance other than the home that runs a request,
// and against the outcome "not run" if the home may have run it.
func TestTokens(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	validToken := f.mint(t)
	former := f.mint(t)
	require.Equal(t, fleet.Done, f.serveKeyed(former, "ran").Outcome)
	require.NoError(t, f.engine.Rejoin(fleet.Member{ID: "self", Incarnation: 99}))
	current := f.mint(t)
	f.sent = nil
	elsewhere := startEngine(t, nil).mint(t)
	tests := []struct {
		name    string
		token   once.Token
		key     fleet.Key
		outcome fleet.Outcome
		code    exchange.Code
	}{
		{"key without token", "", "k", fleet.NotRun, exchange.TokenRequired},
		{"malformed token", "x", "k", fleet.NotRun, exchange.BadRequest},
		{"former incarnation, key that ran", former, "ran", fleet.Done, ""},
		{"former incarnation, new key", validToken, "new", fleet.NotRun, exchange.Stopping},
		{"another home that cannot be reached", elsewhere, "k", fleet.Unknown, exchange.HomeLost},
	}
	f.submit = func(member.Peer) (exchange.Response, bool) { return exchange.Response{}, false }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := f.serveKeyed(tt.token, tt.key)
			assert.Equal(t, tt.outcome, got.Outcome)
			assert.Equal(t, tt.code, got.Code)
			assert.Empty(t, f.sent)
		})
	}
	require.Equal(t, fleet.Done, f.serveKeyed(current, "k").Outcome)
}

// TestEarlyRefusals guards against the outcome "not run" for a request that may
// have run, at an instance without a configuration or without the service.
func TestEarlyRefusals(t *testing.T) {
	tests := []struct {
		name    string
		service fleet.ServiceName
		ready   bool
		token   bool
		outcome fleet.Outcome
		code    exchange.Code
	}{
		{"no configuration", svc, false, false, fleet.NotRun, exchange.NotReady},
		{"no configuration, duplicate", svc, false, true, fleet.Unknown, exchange.NotReady},
		{"unknown service", "other", true, false, fleet.NotRun, exchange.NoService},
		{"unknown service, duplicate", "other", true, true, fleet.Unknown, exchange.NoService},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1"})
			token := once.Token("")
			if tt.token {
				token = f.mint(t)
			}
			if !tt.ready {
				changed := *f.view
				changed.Config = config.NewState().View()
				f.setView(&changed)
			}
			request := f.request("POST")
			request.Service, request.Key = tt.service, "k"
			got := f.engine.Serve(context.Background(), request, token).Response
			assert.Equal(t, tt.outcome, got.Outcome)
			assert.Equal(t, tt.code, got.Code)
			assert.Empty(t, f.sent)
		})
	}
}

// TestWithoutToken guards against a protected request without token and key whose result
// cannot be queried later, because the caller gets no token and key for it.
func TestWithoutToken(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	result := f.engine.Serve(context.Background(), f.request("POST"), "")
	require.Equal(t, fleet.Done, result.Response.Outcome)
	require.NotEmpty(t, result.Token)
	require.NotEmpty(t, result.Key)
	assert.Equal(t, fleet.Done, f.serveKeyed(result.Token, result.Key).Outcome)
	assert.Len(t, f.sent, 1)
}

// TestDuplicate guards against a second run while the first is in progress, and
// against a request that is interrupted because its caller disconnects.
func TestDuplicate(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	requestStarted, proceed := make(chan struct{}), make(chan struct{})
	f.send = func(a traffic.Attempt) (exchange.Response, attempt.Evidence) {
		close(requestStarted)
		<-proceed
		return succeed(a)
	}
	token := f.mint(t)
	request := f.request("POST")
	request.Key = "k"
	ctx, disconnect := context.WithCancel(context.Background())
	responses := make(chan exchange.Response, 2)
	go func() { responses <- f.engine.Serve(ctx, request, token).Response }()
	<-requestStarted
	disconnect()
	disconnected, cancel := context.WithCancel(context.Background())
	cancel()
	running := f.engine.Serve(disconnected, request, token).Response
	assert.Equal(t, exchange.Running, running.Code)
	assert.Equal(t, fleet.Unknown, running.Outcome)
	go func() { responses <- f.engine.Serve(context.Background(), request, token).Response }()
	close(proceed)
	for range 2 {
		assert.Equal(t, fleet.Done, (<-responses).Outcome)
	}
	assert.Len(t, f.sent, 1)
}

// TestPanic guards against a panic in the sender that leaves a key running
// forever or a slot in use, or lets a duplicate run the request again.
func TestPanic(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1"})
	f.send = func(traffic.Attempt) (exchange.Response, attempt.Evidence) { panic("sender fault") }
	token := f.mint(t)
	assert.Panics(t, func() { f.serveKeyed(token, "k") })
	f.send = succeed
	assert.Equal(t, fleet.Unknown, f.serveKeyed(token, "k").Outcome)
	assert.Len(t, f.sent, 1)
	service := f.view.Services[svc]
	assert.Zero(t, service.Pool.Load().Busy)
	assert.Zero(t, service.OwnedServers["1"].Counters.Snapshot(f.clock.Now()).InFlight)
	assert.Zero(t, f.engine.InFlight())
}

// TestSubmit guards against a forwarded request that its home does not count as
// in flight, so that a planned stop would interrupt it, or treats as idempotent
// because the forwarding instance has an older configuration.
func TestSubmit(t *testing.T) {
	f := startEngine(t, []fleet.ServerID{"1", "2"})
	f.send = func(traffic.Attempt) (exchange.Response, attempt.Evidence) {
		assert.Equal(t, 1, f.engine.InFlight())
		return loseResponse(traffic.Attempt{})
	}
	request := f.request("POST")
	request.Key, request.Protected = "k", false
	got, handled := f.engine.Submit(context.Background(), f.mint(t), request)
	assert.True(t, handled)
	assert.Equal(t, fleet.Unknown, got.Outcome)
	assert.Len(t, f.sent, 1)
	assert.Zero(t, f.engine.InFlight())
}

// TestStop guards against a home that starts requests after the handover of its
// records, and against a successor that starts them.
func TestStop(t *testing.T) {
	home, successor := startEngine(t, []fleet.ServerID{"1"}), startEngine(t, []fleet.ServerID{"1"})
	token := home.mint(t)
	require.Equal(t, fleet.Done, home.serveKeyed(token, "ran").Outcome)
	ledger := home.engine.StopProtected()
	assert.Equal(t, fleet.NotRun, home.serveKeyed(token, "late").Outcome)
	for _, batch := range ledger.Archive().Export(home.clock.Now(), once.BatchLimit{Records: 10, Bytes: 1 << 20}) {
		require.True(t, successor.engine.ImportRecords(batch))
	}
	assert.Equal(t, fleet.Done, successor.serveKeyed(token, "ran").Outcome)
	assert.Equal(t, fleet.NotRun, successor.serveKeyed(token, "late").Outcome)
	assert.Empty(t, successor.sent)
}

// TestImport guards against a successor whose memory grows without bound
// because of imported records.
func TestImport(t *testing.T) {
	tests := []struct {
		name     string
		records  int
		body     int
		accepted bool
	}{
		{"few records", 10, 10, true},
		{"too many records", 101, 0, false},
		{"too many bytes", 2, 1 << 20, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, nil)
			handover := once.Handover{Home: fleet.Member{ID: "gone", Incarnation: 1}, LastTokenExpiry: time.Minute, Complete: true, BatchCount: 1}
			for range tt.records {
				handover.Records = append(handover.Records, once.Record{Response: exchange.Response{Body: make([]byte, tt.body)}})
			}
			assert.Equal(t, tt.accepted, f.engine.ImportRecords(handover))
		})
	}
}

// TestRefuseDuplicate guards against the outcome "not run" for a duplicate at an
// instance without a configuration, which cannot consult the home yet.
func TestRefuseDuplicate(t *testing.T) {
	tests := []struct {
		name  string
		token bool
		want  fleet.Outcome
	}{
		{"without token", false, fleet.NotRun},
		{"with token", true, fleet.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, []fleet.ServerID{"1"})
			token := once.Token("")
			if tt.token {
				token = f.mint(t)
			}
			unready := *f.View()
			unready.Config = &config.View{}
			f.setView(&unready)
			request := f.request("POST")
			got := f.engine.Serve(context.Background(), request, token).Response
			assert.Equal(t, exchange.NotReady, got.Code)
			assert.Equal(t, tt.want, got.Outcome)
		})
	}
}
