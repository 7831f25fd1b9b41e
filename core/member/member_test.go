package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
)

const tick = 50 * time.Millisecond

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet runs states that exchange messages without delay, except for stopped
// ones.
type testFleet struct {
	now       time.Time
	states    map[fleet.Address]*member.State
	addresses []fleet.Address
	stopped   map[fleet.Address]bool
	events    []member.Event
}

func address(i int) fleet.Address { return fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)) }

// newFleet starts count instances in the given number of failure domains.
func newFleet(count, domains int) *testFleet {
	f := &testFleet{now: epoch, states: map[fleet.Address]*member.State{}, stopped: map[fleet.Address]bool{}}
	random := rand.New(rand.NewPCG(1, 1))
	var listing fleet.Listing
	for i := range count {
		id := fleet.InstanceID(fmt.Sprintf("i%d", i))
		domain := fleet.Domain(fmt.Sprintf("d%d", i%domains))
		f.addresses = append(f.addresses, address(i))
		f.states[address(i)] = member.New(epoch, member.Options{ID: id, Domain: domain, PeerAddress: address(i), Random: random})
		listing.Instances = append(listing.Instances, fleet.ListedInstance{ID: id, Domain: domain, PeerAddress: address(i)})
	}
	listing.Revision = 1
	for _, s := range f.states {
		s.SetListing(epoch, listing)
	}
	return f
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, a := range f.addresses {
			if !f.stopped[a] {
				f.deliver(a, f.states[a].Tick(f.now))
			}
		}
	}
}

// deliver delivers messages and their replies; messages to a stopped process fail.
func (f *testFleet) deliver(from fleet.Address, effects member.Effects) {
	sender := f.states[from]
	f.events = append(f.events, effects.Events...)
	for _, out := range effects.Heartbeats {
		if receiver, ok := f.runningState(out.To.Address); ok {
			reply, more := receiver.HandleHeartbeat(f.now, out.Message)
			f.deliver(out.To.Address, more)
			f.deliver(from, sender.HandleHeartbeatReply(f.now, out, reply))
		} else {
			f.deliver(from, sender.HandleHeartbeatFailure(f.now, out))
		}
	}
	for _, out := range effects.SyncRequests {
		if receiver, ok := f.runningState(out.To.Address); ok {
			reply, more := receiver.HandleSync(f.now, out.Message)
			f.deliver(out.To.Address, more)
			f.deliver(from, sender.HandleSyncReply(f.now, out, reply))
		} else {
			sender.HandleSyncFailure(f.now, out)
		}
	}
	for _, out := range effects.FenceRequests {
		if receiver, ok := f.runningState(out.To.Address); ok {
			reply, more := receiver.HandleFence(f.now, out.Message)
			f.deliver(out.To.Address, more)
			f.deliver(from, sender.HandleFenceReply(f.now, out, reply))
		} else {
			f.deliver(from, sender.HandleFenceFailure(f.now, out))
		}
	}
}

func (f *testFleet) runningState(a fleet.Address) (*member.State, bool) {
	s, ok := f.states[a]
	return s, ok && !f.stopped[a]
}

func (f *testFleet) state(i int) *member.State { return f.states[address(i)] }

// Guards against witness sets that a single failure could leave without a majority:
// the number of witnesses is odd, at most three of five are local, and a lone
// instance is its own witness.
func TestWitnessSetFitsFleet(t *testing.T) {
	tests := []struct {
		count, domains   int
		witnesses, local int
		includesSelf     bool
	}{
		{count: 1, domains: 1, witnesses: 1, local: 1, includesSelf: true},
		{count: 2, domains: 1, witnesses: 1, local: 1},
		{count: 3, domains: 1, witnesses: 3, local: 3, includesSelf: true},
		{count: 4, domains: 2, witnesses: 3, local: 1},
		{count: 5, domains: 1, witnesses: 5, local: 5, includesSelf: true},
		{count: 12, domains: 3, witnesses: 5, local: 3},
		{count: 24, domains: 1, witnesses: 5, local: 5},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d in %d", tt.count, tt.domains), func(t *testing.T) {
			f := newFleet(tt.count, tt.domains)
			f.run(5 * time.Second)
			view := f.state(0).View()
			local := 0
			for _, w := range view.Self().Witnesses {
				if info, _ := view.Lookup(w); info.Domain == view.Self().Domain {
					local++
				}
			}
			assert.Equal(t, member.Active, view.Self().Status)
			assert.True(t, view.LeaseValid(f.now))
			assert.Len(t, view.Self().Witnesses, tt.witnesses)
			assert.Equal(t, tt.local, local)
			assert.Equal(t, tt.includesSelf, containsMember(view.Self().Witnesses, view.Self().Member))
		})
	}
}

func containsMember(list []fleet.Member, m fleet.Member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}

// Guards against a lease that starts at the reply instead of the send time, and
// against a refusal, or a reply of another process, that renews the lease.
func TestLeaseStartsAtSendTime(t *testing.T) {
	tests := []struct {
		name    string
		reply   func(member.HeartbeatReply) member.HeartbeatReply
		renewed bool
	}{
		{name: "acknowledged", reply: func(r member.HeartbeatReply) member.HeartbeatReply { return r }, renewed: true},
		{name: "refused", reply: func(r member.HeartbeatReply) member.HeartbeatReply { r.Acknowledged = false; return r }},
		{name: "other process", reply: func(r member.HeartbeatReply) member.HeartbeatReply { r.From.Incarnation++; return r }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(2, 1)
			f.run(3 * time.Second)
			subject, witness := f.state(0), f.state(1)
			before := subject.View().LeaseUntil()
			var out []member.OutgoingHeartbeat
			for len(out) == 0 {
				f.now = f.now.Add(tick)
				out = subject.Tick(f.now).Heartbeats
			}
			reply, _ := witness.HandleHeartbeat(f.now, out[0].Message)
			sent := f.now
			subject.HandleHeartbeatReply(sent.Add(300*time.Millisecond), out[0], tt.reply(reply))
			want := before
			if tt.renewed {
				want = sent.Add(2 * time.Second)
			}
			assert.Equal(t, want, subject.View().LeaseUntil())
		})
	}
}

// Guards against votes that could fence a member whose lease is valid.
func TestVoteNeedsLapsedLease(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		// ticking is false if the witness itself was paused.
		ticking           bool
		outdatedWitnesses bool
		granted           bool
	}{
		{name: "recently acknowledged", silence: time.Second, ticking: true},
		{name: "within the lease", silence: 2 * time.Second, ticking: true},
		{name: "silent", silence: 2100 * time.Millisecond, ticking: true, granted: true},
		{name: "witness was paused", silence: 10 * time.Second},
		{name: "witness set is outdated", silence: 3 * time.Second, ticking: true, outdatedWitnesses: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3, 1)
			f.run(3 * time.Second)
			witness, target := f.state(1), f.state(0).View().Self()
			last := f.now
			reply, _ := witness.HandleHeartbeat(last, member.Heartbeat{From: target.Member, WitnessSetVersion: target.WitnessSetVersion})
			require.True(t, reply.Acknowledged)
			end := last.Add(tt.silence)
			for now := last; tt.ticking && now.Before(end); now = now.Add(tick) {
				witness.Tick(now)
			}
			version := target.WitnessSetVersion
			if tt.outdatedWitnesses {
				version--
			}
			fenceReply, _ := witness.HandleFence(end, member.FenceRequest{Target: target.Member, WitnessSetVersion: version})
			assert.Equal(t, tt.granted, fenceReply.Granted)
			reply, _ = witness.HandleHeartbeat(end, member.Heartbeat{From: target.Member, WitnessSetVersion: target.WitnessSetVersion})
			assert.Equal(t, !tt.granted, reply.Acknowledged, "a voter never acknowledges again")
		})
	}
}

// Guards against a process that, after a pause, uses its old lease, fences others,
// or keeps its incarnation although it was fenced.
func TestPauseAndResume(t *testing.T) {
	f := newFleet(6, 2)
	f.run(4 * time.Second)
	old := f.state(0).View().Self().Member
	f.stopped[address(0)] = true
	f.run(10 * time.Second)
	assert.False(t, f.state(0).View().LeaseValid(f.now))
	info, _ := f.state(1).View().Lookup(old)
	assert.Equal(t, member.Fenced, info.Status)
	f.events = nil
	f.stopped[address(0)] = false
	f.run(4 * time.Second)
	view := f.state(0).View()
	assert.Equal(t, []fleet.Member{old}, view.FormerIncarnations())
	assert.Equal(t, member.Active, view.Self().Status)
	for _, event := range f.events {
		if event.Kind == member.EventFenced {
			assert.Equal(t, old, event.Member)
		}
	}
}

// Guards against fencing that takes longer than 3.2 s, and against fencing of
// members that are running.
func TestKilledMemberIsFenced(t *testing.T) {
	f := newFleet(12, 3)
	f.run(4 * time.Second)
	dead := f.state(5).View().Self().Member
	f.stopped[address(5)] = true
	f.run(3200 * time.Millisecond)
	for i := range 12 {
		for _, info := range f.state(i).View().Members() {
			if i != 5 {
				assert.Equal(t, info.Member == dead, info.Status == member.Fenced, "%v on %d", info.Member, i)
			}
		}
	}
}

// Guards against a fleet that never renews its leases after all of them lapsed
// together.
func TestAllPausedRecover(t *testing.T) {
	f := newFleet(5, 1)
	f.run(4 * time.Second)
	f.now = f.now.Add(20 * time.Second)
	f.run(3 * time.Second)
	for i := range 5 {
		assert.True(t, f.state(i).View().LeaseValid(f.now))
		assert.Empty(t, f.state(i).View().FormerIncarnations())
	}
}

// Guards against the survivor in a fleet of two that never gets a lease, and
// against one that gets it before the platform's listing drops the other.
func TestSurvivorOfTwoWaitsForListing(t *testing.T) {
	f := newFleet(2, 1)
	f.run(4 * time.Second)
	f.stopped[address(1)] = true
	f.run(20 * time.Second)
	assert.False(t, f.state(0).View().LeaseValid(f.now))
	self := fleet.ListedInstance{ID: "i0", PeerAddress: address(0)}
	f.state(0).SetListing(f.now, fleet.Listing{Revision: 2, Instances: []fleet.ListedInstance{self}})
	f.run(15 * time.Second)
	assert.True(t, f.state(0).View().LeaseValid(f.now))
}

// Guards against an instance that becomes active while it knows too few members,
// and against one that stays joining although it knows enough.
func TestBootstrap(t *testing.T) {
	listed := func(ids ...fleet.InstanceID) *fleet.Listing {
		listing := &fleet.Listing{Revision: 1}
		for _, id := range ids {
			listing.Instances = append(listing.Instances, fleet.ListedInstance{ID: id, PeerAddress: fleet.Address(id)})
		}
		return listing
	}
	tests := []struct {
		name    string
		seeds   []fleet.Address
		listing *fleet.Listing
		// joiningMembers and activeMembers are the members with these statuses in the
		// sync request that the instance receives.
		joiningMembers []fleet.InstanceID
		activeMembers  []fleet.InstanceID
		wait           time.Duration
		becomesActive  bool
	}{
		{name: "nothing known", wait: time.Minute},
		{name: "alone in the listing", listing: listed("i"), wait: time.Second, becomesActive: true},
		{name: "listing is older than this instance", listing: listed(), wait: time.Second},
		{name: "listing stays empty", listing: listed(), wait: 11 * time.Second, becomesActive: true},
		{name: "one of three does not reply", listing: listed("i", "a", "b"), joiningMembers: []fleet.InstanceID{"a"}, wait: 50 * time.Second},
		{name: "one of three does not reply within the timeout", listing: listed("i", "a", "b"), joiningMembers: []fleet.InstanceID{"a"}, wait: 62 * time.Second, becomesActive: true},
		{name: "others do not reply", listing: listed("i", "a", "b"), wait: time.Minute},
		{name: "seeds do not reply", seeds: []fleet.Address{"a"}, wait: time.Minute},
		{name: "only seed is itself", seeds: []fleet.Address{"i"}, wait: time.Second, becomesActive: true},
		{name: "active member and no listing", activeMembers: []fleet.InstanceID{"a"}, wait: time.Second, becomesActive: true},
		{name: "active member and a majority of the listing", listing: listed("a", "b", "c"), activeMembers: []fleet.InstanceID{"a"}, wait: time.Second, becomesActive: true},
		{name: "active member and a minority of the listing", listing: listed("a", "b", "c", "d"), activeMembers: []fleet.InstanceID{"a"}, wait: time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			s := member.New(epoch, member.Options{ID: "i", PeerAddress: "i", Seeds: tt.seeds, Random: random})
			if tt.listing != nil {
				s.SetListing(epoch, *tt.listing)
			}
			var records []member.Record
			for _, id := range tt.activeMembers {
				m := fleet.Member{ID: id, Incarnation: 1}
				records = append(records, member.Record{Member: m, Status: member.Active, PeerAddress: fleet.Address(id)})
			}
			for _, id := range tt.joiningMembers {
				m := fleet.Member{ID: id, Incarnation: 1}
				records = append(records, member.Record{Member: m, PeerAddress: fleet.Address(id)})
			}
			s.HandleSync(epoch, member.SyncRequest{Records: records})
			for now := epoch; now.Sub(epoch) < tt.wait; now = now.Add(tick) {
				for _, out := range s.Tick(now).Heartbeats {
					s.HandleHeartbeatReply(now, out, member.HeartbeatReply{From: out.To.Member, Acknowledged: true})
				}
			}
			assert.Equal(t, tt.becomesActive, s.View().Self().Status == member.Active)
		})
	}
}

// Guards against a merge that returns a record to an earlier status or witness set.
func TestMergeOnlyAdvances(t *testing.T) {
	m := fleet.Member{ID: "x", Incarnation: 1}
	tests := []struct {
		name             string
		stored, received member.Record
		want             member.Record
	}{
		{"later status", member.Record{Status: member.Active, WitnessSetVersion: 1}, member.Record{Status: member.Leaving}, member.Record{Status: member.Leaving, WitnessSetVersion: 1}},
		{"earlier status", member.Record{Status: member.Left}, member.Record{Status: member.Active}, member.Record{Status: member.Left}},
		{"newer witness set", member.Record{Status: member.Fenced, WitnessSetVersion: 1}, member.Record{WitnessSetVersion: 3}, member.Record{Status: member.Fenced, WitnessSetVersion: 3}},
		{"older witness set", member.Record{WitnessSetVersion: 2}, member.Record{WitnessSetVersion: 1}, member.Record{WitnessSetVersion: 2}},
		{"successor", member.Record{Status: member.Fenced}, member.Record{Status: member.Fenced, Successor: m}, member.Record{Status: member.Fenced, Successor: m}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.stored.Member, tt.received.Member, tt.want.Member = m, m, m
			s := member.New(epoch, member.Options{ID: "i", Random: rand.New(rand.NewPCG(1, 1))})
			s.MergeRecords(epoch, []member.Record{tt.stored})
			s.MergeRecords(epoch, []member.Record{tt.received})
			info, known := s.View().Lookup(m)
			assert.True(t, known)
			assert.Equal(t, tt.want, info.Record)
		})
	}
}

// Guards against records of ended members that are never dropped, or that gossip
// brings back.
func TestEndedRecordsAreDropped(t *testing.T) {
	f := newFleet(4, 1)
	f.run(4 * time.Second)
	left := f.state(3).View().Self().Member
	f.deliver(address(3), f.state(3).StartLeaving(f.now))
	f.run(time.Second)
	f.deliver(address(3), f.state(3).FinishLeaving(f.now, fleet.Member{}))
	f.stopped[address(3)] = true
	f.run(time.Second)
	info, _ := f.state(0).View().Lookup(left)
	assert.Equal(t, member.Left, info.Status)
	f.run(11 * time.Minute)
	for i := range 3 {
		_, known := f.state(i).View().Lookup(left)
		assert.False(t, known)
	}
}

// Guards against a newer or conflicting configuration without an event.
func TestConfigEvents(t *testing.T) {
	tests := []struct {
		name   string
		config member.Config
		want   []member.EventKind
	}{
		{"same", member.Config{Version: 5, Digest: "a", ListingRevision: 2}, nil},
		{"older", member.Config{Version: 4, Digest: "b", ListingRevision: 1}, nil},
		{"newer document", member.Config{Version: 6, Digest: "b", ListingRevision: 2}, []member.EventKind{member.EventConfigNewer}},
		{"newer listing", member.Config{Version: 5, Digest: "a", ListingRevision: 3}, []member.EventKind{member.EventConfigNewer}},
		{"conflict", member.Config{Version: 5, Digest: "b", ListingRevision: 2}, []member.EventKind{member.EventConfigConflict}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := member.New(epoch, member.Options{ID: "i", Random: rand.New(rand.NewPCG(1, 1))})
			s.SetConfig(epoch, member.Config{Version: 5, Digest: "a", ListingRevision: 2})
			from := member.Record{Member: fleet.Member{ID: "x", Incarnation: 1}}
			gossip := member.Gossip{Records: []member.Record{from}, Config: tt.config}
			_, effects := s.HandleHeartbeat(epoch, member.Heartbeat{From: from.Member, Gossip: gossip})
			var kinds []member.EventKind
			for _, event := range effects.Events {
				kinds = append(kinds, event.Kind)
			}
			assert.Equal(t, tt.want, kinds)
		})
	}
}

func ExampleState() {
	now := epoch
	random := rand.New(rand.NewPCG(1, 1))
	state := member.New(now, member.Options{ID: "i0", Domain: "d0", PeerAddress: "10.0.0.1:1", Random: random})
	state.SetListing(now, fleet.Listing{Revision: 1, Instances: []fleet.ListedInstance{{ID: "i0"}}})
	for range 3 {
		now = now.Add(50 * time.Millisecond)
		for _, event := range state.Tick(now).Events {
			fmt.Println(event.Kind, event.Member.ID)
		}
	}
	fmt.Println(state.View().LeaseValid(now), state.View().LeaseValid(now.Add(10*time.Second)))
	// Output:
	// joined i0
	// true false
}
