package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/core/ownership"
)

const name = fleet.Resource("server/s")

// roster returns the membership of instance "self" with the given others. Self
// is active from epoch on.
func roster(t testing.TB, others ...member.Record) *member.State {
	s := member.New(epoch, member.Options{ID: "self", Domain: "d0", PeerAddress: "self", Random: rand.New(rand.NewPCG(1, 1))})
	s.SetListing(epoch, fleet.Listing{Revision: 1, Instances: []fleet.ListedInstance{{ID: "self"}}})
	for range 3 {
		s.Tick(epoch)
	}
	require.Equal(t, member.Active, s.View().Self().Status)
	s.MergeRecords(epoch, others)
	return s
}

func other(id string, domain fleet.Domain, status member.Status) member.Record {
	m := fleet.Member{ID: fleet.InstanceID(id), Incarnation: 1}
	return member.Record{Member: m, Domain: domain, PeerAddress: fleet.Address(id), Status: status}
}

// ahead returns a member of self's failure domain that comes before self.
func ahead() member.Record {
	for i := 0; ; i++ {
		id := fmt.Sprint("a", i)
		if fleet.RendezvousScore(fleet.InstanceID(id), name) > fleet.RendezvousScore("self", name) {
			return other(id, "d0", member.Active)
		}
	}
}

// owning returns a state that wants one resource of self's failure domain.
func owning(members *member.State) *ownership.State {
	s := ownership.New(ownership.Options{})
	s.SetResources(epoch, []ownership.ResourceSpec{{Resource: name, Domain: "d0", LargestDeadline: time.Second}})
	s.SetMembers(epoch, members.View())
	return s
}

// answerAll gives one verdict to all claims and returns who was asked.
func answerAll(s *ownership.State, now time.Time, verdict ownership.Verdict) []fleet.InstanceID {
	var asked []fleet.InstanceID
	for _, out := range s.Tick(now, true).Claims {
		asked = append(asked, out.To.Member.ID)
		reply := ownership.ClaimReply{From: out.To.Member}
		for _, r := range out.Message.Resources {
			reply.Answers = append(reply.Answers, ownership.Answer{Resource: r, Verdict: verdict})
		}
		s.HandleClaimReply(now, out, reply)
	}
	return asked
}

// Guards against claims before the settle time, without a lease, without
// consent, or while work of a fenced member may still be running.
func TestClaimNeedsConsent(t *testing.T) {
	remote := []member.Record{other("a", "d1", member.Active), other("b", "d1", member.Active), other("c", "d1", member.Leaving)}
	tests := []struct {
		name    string
		others  []member.Record
		fenced  bool
		at      time.Duration
		lease   bool
		verdict ownership.Verdict
		held    bool
	}{
		{name: "alone", at: 2 * time.Second, lease: true, held: true},
		{name: "before settling", at: time.Second, lease: true},
		{name: "without a lease", at: 2 * time.Second},
		{name: "all consent", others: remote, at: 2 * time.Second, lease: true, verdict: ownership.Free, held: true},
		{name: "holder drains", others: remote, at: 2 * time.Second, lease: true, verdict: ownership.Draining},
		{name: "refused", others: remote, at: 2 * time.Second, lease: true, verdict: ownership.Refused},
		{name: "fenced too lately", others: remote[:1], fenced: true, at: 1500 * time.Millisecond, lease: true, verdict: ownership.Free},
		{name: "fenced long enough", others: remote[:1], fenced: true, at: 3600 * time.Millisecond, lease: true, held: true},
		{name: "outranked by a local member", others: []member.Record{ahead()}, at: 2 * time.Second, lease: true, verdict: ownership.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := roster(t, tt.others...)
			s := owning(members)
			now := epoch.Add(tt.at)
			if tt.fenced {
				record := tt.others[0]
				record.Status = member.Fenced
				members.MergeRecords(epoch.Add(time.Second), []member.Record{record})
				s.SetMembers(epoch.Add(time.Second), members.View())
			}
			for range 3 {
				if tt.lease {
					answerAll(s, now, tt.verdict)
				} else {
					assert.Empty(t, s.Tick(now, false).Claims)
				}
			}
			assert.Equal(t, tt.held, s.View().Holds(name, true))
			assert.False(t, s.View().Holds(name, false), "a hold without a lease is void")
		})
	}
}

// Guards against more questions than needed: three others are asked, leaving
// ones included.
func TestClaimAsksThree(t *testing.T) {
	var others []member.Record
	for i := range 8 {
		others = append(others, other(fmt.Sprint("r", i), "d1", member.Active+member.Status(i%2)))
	}
	s := owning(roster(t, others...))
	now := epoch.Add(2 * time.Second)
	asked := answerAll(s, now, ownership.Free)
	want := s.View().Candidates(name)[1:4]
	require.Len(t, asked, 3)
	for _, record := range want {
		assert.Contains(t, asked, record.Member.ID)
	}
	assert.Equal(t, fleet.InstanceID("self"), s.View().Candidates(name)[0].Member.ID, "its own failure domain comes first")
}

// Guards against two holders: what a receiver answers decides all claims.
func TestAnswers(t *testing.T) {
	ahead, behind := ahead(), other("b", "d1", member.Active)
	tests := []struct {
		name     string
		held     bool
		leaving  bool
		previous *member.Record
		from     member.Record
		verdict  ownership.Verdict
		holder   fleet.InstanceID
	}{
		{name: "does not hold", from: ahead, verdict: ownership.Free},
		{name: "comes first itself", from: behind, verdict: ownership.Outranked, holder: "self"},
		{name: "holds and is outranked", held: true, from: ahead, verdict: ownership.Draining},
		{name: "holds and comes first", held: true, from: behind, verdict: ownership.Outranked, holder: "self"},
		{name: "holds and is leaving", held: true, leaving: true, from: behind, verdict: ownership.Draining},
		{name: "promised before", leaving: true, previous: &behind, from: ahead, verdict: ownership.Held, holder: "b"},
		{name: "promised to one ahead", leaving: true, previous: &ahead, from: behind, verdict: ownership.Outranked, holder: ahead.Member.ID},
		{name: "claimant has left", from: other("c", "d0", member.Left), verdict: ownership.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := roster(t)
			s := owning(members)
			if tt.held {
				s.Tick(epoch.Add(2*time.Second), true)
				require.True(t, s.View().Holds(name, true))
			}
			if tt.leaving {
				members.StartLeaving(epoch)
			}
			members.MergeRecords(epoch, []member.Record{ahead, behind})
			s.SetMembers(epoch, members.View())
			if tt.previous != nil {
				s.HandleClaim(epoch, ownership.Claim{From: *tt.previous, Resources: []fleet.Resource{name}})
			}
			reply, effects := s.HandleClaim(epoch, ownership.Claim{From: tt.from, Resources: []fleet.Resource{name}})
			require.Len(t, reply.Answers, 1)
			assert.Equal(t, tt.verdict, reply.Answers[0].Verdict)
			assert.Equal(t, tt.holder, reply.Answers[0].Holder.Member.ID)
			assert.Equal(t, tt.verdict == ownership.Draining, len(effects.Drain) == 1)
		})
	}
}

// Guards against a holder that consents while its requests are still running.
func TestConsentWaitsForDrain(t *testing.T) {
	members := roster(t)
	s := owning(members)
	s.Tick(epoch.Add(2*time.Second), true)
	claimant := ahead()
	members.MergeRecords(epoch, []member.Record{claimant})
	s.SetMembers(epoch, members.View())
	ask := func() ownership.Verdict {
		reply, _ := s.HandleClaim(epoch, ownership.Claim{From: claimant, Resources: []fleet.Resource{name}})
		return reply.Answers[0].Verdict
	}
	assert.Equal(t, ownership.Draining, ask())
	assert.False(t, s.View().Holds(name, true), "no new work while draining")
	assert.Equal(t, ownership.Draining, ask())
	s.HandleDrained(epoch, name)
	assert.Equal(t, ownership.Free, ask())
}

// Guards against members that join in front of a holder and do not know it.
func TestHolderAnnouncesItself(t *testing.T) {
	members := roster(t, other("b", "d1", member.Active))
	s := owning(members)
	now := epoch.Add(2 * time.Second)
	for range 2 {
		answerAll(s, now, ownership.Free)
	}
	tests := []struct {
		name string
		join []member.Record
		told []fleet.InstanceID
	}{
		{name: "acquired", told: []fleet.InstanceID{"b"}},
		{name: "nothing changed"},
		{name: "one joins", join: []member.Record{ahead()}, told: []fleet.InstanceID{ahead().Member.ID}},
	}
	for _, tt := range tests {
		now = now.Add(time.Second)
		members.MergeRecords(now, tt.join)
		s.SetMembers(now, members.View())
		var told []fleet.InstanceID
		for _, out := range s.Tick(now, true).Claims {
			assert.Equal(t, []fleet.Resource{name}, out.Message.Held)
			told = append(told, out.To.Member.ID)
			s.HandleClaimReply(now, out, ownership.ClaimReply{From: out.To.Member})
		}
		assert.Equal(t, tt.told, told, tt.name)
	}
}

// Guards against a claim by several new members that asks none who knows the
// holder: a member that was never told names those that were active before it.
func TestUninformedNamesElders(t *testing.T) {
	elder, holder := other("e", "d1", member.Active), other("h", "d1", member.Active)
	tests := []struct {
		name  string
		holds bool
		named []fleet.InstanceID
	}{
		{name: "never told", named: []fleet.InstanceID{"e", "h"}},
		{name: "told of a holder", holds: true, named: []fleet.InstanceID{"h"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := member.New(epoch, member.Options{ID: "self", Domain: "d0", Random: rand.New(rand.NewPCG(1, 1))})
			members.MergeRecords(epoch, []member.Record{elder, holder})
			s := owning(members)
			if tt.holds {
				s.HandleClaim(epoch, ownership.Claim{From: holder, Held: []fleet.Resource{name}})
			}
			reply, _ := s.HandleClaim(epoch, ownership.Claim{From: ahead(), Resources: []fleet.Resource{name}})
			var named []fleet.InstanceID
			for _, given := range reply.Answers {
				assert.Equal(t, ownership.Held, given.Verdict)
				named = append(named, given.Holder.Member.ID)
			}
			assert.ElementsMatch(t, tt.named, named)
		})
	}
}

// Guards against consent that was given before this instance consented to
// another claimant, whether it arrived before or after that.
func TestConsentingVoidsOwnClaim(t *testing.T) {
	tests := []struct {
		name string
		late bool
	}{
		{name: "consent had arrived"},
		{name: "consent arrives late", late: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := ahead()
			members := roster(t, other("b", "d1", member.Active))
			s := owning(members)
			now := epoch.Add(2 * time.Second)
			out := s.Tick(now, true).Claims
			require.Len(t, out, 1)
			consent := func() {
				free := []ownership.Answer{{Resource: name, Verdict: ownership.Free}}
				s.HandleClaimReply(now, out[0], ownership.ClaimReply{From: out[0].To.Member, Answers: free})
			}
			if !tt.late {
				consent()
			}
			members.MergeRecords(now, []member.Record{first})
			s.SetMembers(now, members.View())
			s.HandleClaim(now.Add(time.Millisecond), ownership.Claim{From: first, Resources: []fleet.Resource{name}})
			if tt.late {
				consent()
			}
			first.Status = member.Left
			members.MergeRecords(now, []member.Record{first})
			s.SetMembers(now, members.View())
			claims := s.Tick(now.Add(time.Second), true).Claims
			assert.False(t, s.View().Holds(name, true))
			require.Len(t, claims, 1)
			assert.Equal(t, []fleet.Resource{name}, claims[0].Message.Resources)
		})
	}
}

// Guards against a broken path that gets its resource straight back.
func TestReleaseHoldsOff(t *testing.T) {
	members := roster(t, other("b", "d1", member.Active))
	s := owning(members)
	now := epoch.Add(2 * time.Second)
	for range 2 {
		answerAll(s, now, ownership.Free)
	}
	require.True(t, s.View().Holds(name, true))
	assert.Equal(t, []fleet.Resource{name}, s.Release(now, name, 10*time.Second).Drain)
	s.HandleDrained(now, name)
	now = now.Add(time.Second)
	claims := s.Tick(now, true).Claims
	require.Len(t, claims, 1)
	assert.Equal(t, []fleet.Resource{name}, claims[0].Message.Yielded)
	assert.Empty(t, claims[0].Message.Resources)
	owner, _ := s.View().ExpectedOwner(name)
	assert.Equal(t, fleet.InstanceID("b"), owner.Member.ID)
	now = now.Add(10 * time.Second)
	s.Tick(now, true)
	assert.Equal(t, []fleet.Resource{name}, s.Tick(now, true).Claims[0].Message.Resources)
}

// Guards against holds that survive a new incarnation or the end of a resource.
func TestHoldsEnd(t *testing.T) {
	tests := []struct {
		name       string
		end        func(*ownership.State, *member.State) ownership.Effects
		lost, stop bool
	}{
		{name: "fenced", lost: true, end: func(s *ownership.State, members *member.State) ownership.Effects {
			record := members.View().Self().Record
			record.Status = member.Fenced
			members.MergeRecords(epoch, []member.Record{record})
			return s.SetMembers(epoch, members.View())
		}},
		{name: "not wanted", stop: true, end: func(s *ownership.State, _ *member.State) ownership.Effects {
			return s.SetResources(epoch, nil)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := roster(t)
			s := owning(members)
			s.Tick(epoch.Add(2*time.Second), true)
			require.True(t, s.View().Holds(name, true))
			effects := tt.end(s, members)
			assert.Equal(t, tt.lost, len(effects.Lost) == 1)
			assert.Equal(t, tt.stop, len(effects.Drain) == 1)
			assert.Empty(t, s.View().HeldResources(true))
		})
	}
}

// Guards against incremental updates that differ from a new computation.
func TestOrderAfterChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	members := roster(t)
	changed := owning(members)
	for i := range 200 {
		record := other(fmt.Sprint("i", i), fleet.Domain(fmt.Sprint("d", i%3)), member.Active)
		members.MergeRecords(epoch, []member.Record{record})
		if list := members.View().Members(); random.IntN(2) == 0 {
			gone := list[random.IntN(len(list))].Record
			gone.Status = member.Left
			members.MergeRecords(epoch, []member.Record{gone})
		}
		changed.SetMembers(epoch, members.View())
		got, want := changed.View().Candidates(name), owning(members).View().Candidates(name)
		first := min(6, len(want))
		require.Equal(t, want[:first], got[:min(first, len(got))], "after change %d", i)
	}
}

func BenchmarkSetMembers(b *testing.B) {
	const servers, instances, domains = 5400, 400, 10
	members := roster(b)
	var records []member.Record
	for i := range instances {
		records = append(records, other(fmt.Sprint("i", i), fleet.Domain(fmt.Sprint("d", i%domains)), member.Active))
	}
	members.MergeRecords(epoch, records)
	var wanted []ownership.ResourceSpec
	for i := range servers {
		id := fleet.ServerID(fmt.Sprint("s", i))
		wanted = append(wanted, ownership.ResourceSpec{Resource: fleet.ServerResource(id), Domain: fleet.Domain(fmt.Sprint("d", i%domains))})
	}
	b.Run("all", func(b *testing.B) {
		for range b.N {
			s := ownership.New(ownership.Options{})
			s.SetMembers(epoch, members.View())
			s.SetResources(epoch, wanted)
			s.View()
		}
	})
	b.Run("join", func(b *testing.B) {
		s := ownership.New(ownership.Options{})
		s.SetMembers(epoch, members.View())
		s.SetResources(epoch, wanted)
		for i := range b.N {
			members.MergeRecords(epoch, []member.Record{other(fmt.Sprint("j", i), "d1", member.Active)})
			s.SetMembers(epoch, members.View())
			s.Tick(epoch, true)
			s.View()
		}
	})
}

func ExampleState() {
	members := member.New(epoch, member.Options{ID: "i0", Domain: "d0", Random: rand.New(rand.NewPCG(1, 1))})
	members.SetListing(epoch, fleet.Listing{Revision: 1, Instances: []fleet.ListedInstance{{ID: "i0"}}})
	state := ownership.New(ownership.Options{})
	state.SetResources(epoch, []ownership.ResourceSpec{{Resource: fleet.ServerResource("s1"), Domain: "d0"}})
	for now := epoch; now.Sub(epoch) < 2*time.Second; now = now.Add(50 * time.Millisecond) {
		members.Tick(now)
		state.SetMembers(now, members.View())
		for _, resource := range state.Tick(now, members.View().LeaseValid(now)).Acquired {
			fmt.Println("acquired", resource)
		}
	}
	// Output:
	// acquired server/s1
}
