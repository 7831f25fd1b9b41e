package traffic_test

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/config"
	"galenaridge/core/control"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

// setMembers makes the owners active members and the owners of servers in their
// failure domains.
func (f *fake) setMembers(t *testing.T, owners []control.Owner) {
	t.Helper()
	now := f.clock.Now()
	members := member.New(now, member.Options{ID: "self", Domain: "d", PeerAddress: "self", Random: countingRandom{}})
	records := []member.Record{}
	for _, owner := range owners {
		records = append(records, member.Record{Member: owner.Member, Domain: owner.Domain, Status: member.Active})
	}
	members.MergeRecords(now, records)
	changed := *f.view.Services[svc]
	changed.Owners = owners
	view := withService(f.view, &changed)
	view.Members = members.View()
	f.setView(view)
}

// countingRandom is a member.Random whose numbers are never zero.
type countingRandom struct{}

func (countingRandom) Uint64() uint64 { return incarnations.Add(1) }

func owner(id fleet.InstanceID, domain fleet.Domain) control.Owner {
	return control.Owner{Member: fleet.Member{ID: id, Incarnation: 1}, Domain: domain, CallerAddress: fleet.Address(id), ServerCount: 1}
}

// TestAssign guards against assignments that list remote owners before local
// ones, more than three owners, or a first address that did not issue the token.
func TestAssign(t *testing.T) {
	local, remote := owner("local", "d"), owner("remote", "e")
	tests := []struct {
		name   string
		owners []control.Owner
		mints  map[fleet.InstanceID]bool
		places []fleet.Address
		code   exchange.Code
	}{
		{"local first", []control.Owner{remote, local}, map[fleet.InstanceID]bool{"local": true}, []fleet.Address{"local", "remote"}, ""},
		{"first owner issues no token", []control.Owner{remote, local}, map[fleet.InstanceID]bool{"remote": true}, []fleet.Address{"remote", "local"}, ""},
		{"no owner issues a token", []control.Owner{remote, local}, nil, nil, exchange.NoCapacity},
		{"no owners", nil, nil, nil, exchange.NoCapacity},
		{
			"at most three",
			[]control.Owner{local, owner("b", "d"), owner("c", "d"), owner("e", "d")},
			map[fleet.InstanceID]bool{"local": true},
			[]fleet.Address{"local", "c", "b"},
			"",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, nil)
			f.setMembers(t, tt.owners)
			f.issuers = tt.mints
			got, refusal := f.engine.Assign(context.Background(), svc, "d")
			assert.Equal(t, tt.code, refusal.Code)
			var places []fleet.Address
			for _, endpoint := range got.Endpoints {
				places = append(places, endpoint.Address)
			}
			assert.Equal(t, tt.places, places)
			if refusal.Code == "" {
				assert.Equal(t, "token of "+string(places[0]), string(got.Token))
				assert.Equal(t, 5*time.Second, got.TTL)
			}
		})
	}
}

// TestAssignRefused guards against assignments without a configuration or for a
// service that is not configured.
func TestAssignRefused(t *testing.T) {
	f := startEngine(t, nil)
	_, refusal := f.engine.Assign(context.Background(), "other", "d")
	require.Equal(t, exchange.NoService, refusal.Code)
	changed := *f.view
	changed.Config = config.NewState().View()
	f.setView(&changed)
	_, refusal = f.engine.Assign(context.Background(), svc, "d")
	require.Equal(t, exchange.NotReady, refusal.Code)
}

// TestChooseOwner guards against requests to an owner without slots while this
// instance or another owner has free ones, and to an owner that could not be
// reached.
func TestChooseOwner(t *testing.T) {
	done := exchange.Response{Outcome: fleet.Done, Status: 200}
	tests := []struct {
		name    string
		servers []fleet.ServerID
		// before is the reply of owner a.
		before     exchange.Response
		delivered  bool
		executedAt []fleet.InstanceID
	}{
		{"own slots are free", []fleet.ServerID{"1"}, done, true, nil},
		{"unknown load", nil, done, true, []fleet.InstanceID{"a", "a"}},
		{"not reached", nil, exchange.Response{}, false, []fleet.InstanceID{"a", "b", "b"}},
		{"owns no slot", nil, exchange.Refuse(exchange.NoCapacity, ""), true, []fleet.InstanceID{"a", "b", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startEngine(t, tt.servers, "a", "b")
			f.execute = func(to member.Peer) (exchange.Response, bool) {
				if to.Member.ID == "a" {
					return tt.before, tt.delivered
				}
				return done, true
			}
			for range 2 {
				assert.Equal(t, fleet.Done, f.serve("POST").Outcome)
			}
			assert.Equal(t, tt.executedAt, f.executedAt)
		})
	}
}

// TestSilentOwner guards against requests that pile up at an owner whose replies
// are lost.
func TestSilentOwner(t *testing.T) {
	f := startEngine(t, nil, "silent", "other")
	arrived, release := make(chan fleet.InstanceID), make(chan struct{})
	f.execute = func(to member.Peer) (exchange.Response, bool) {
		arrived <- to.Member.ID
		if to.Member.ID == "silent" {
			<-release
		}
		return exchange.Response{Outcome: fleet.Done, Status: 200}, true
	}
	var running conc.WaitGroup
	silent := 0
	for range 20 {
		running.Go(func() { f.serve("POST") })
		if <-arrived == "silent" {
			silent++
		}
	}
	close(release)
	running.Wait()
	assert.LessOrEqual(t, silent, 10)
}
