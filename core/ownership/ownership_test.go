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

// newMembers returns the membership of instance "self" with the given others. Self
// is active from epoch on.
func newMembers(t testing.TB, others ...member.Record) *member.State {
	s := member.New(epoch, member.Options{ID: "self", Domain: "d0", PeerAddress: "self", Random: rand.New(rand.NewPCG(1, 1))})
	s.SetListing(epoch, fleet.Listing{Revision: 1, Instances: []fleet.ListedInstance{{ID: "self"}}})
	for range 3 {
		s.Tick(epoch)
	}
	require.Equal(t, member.Active, s.View().Self().Status)
	s.MergeRecords(epoch, others)
	return s
}

func newRecord(id string, domain fleet.Domain, status member.Status) member.Record {
	m := fleet.Member{ID: fleet.InstanceID(id), Incarnation: 1}
	return member.Record{Member: m, Domain: domain, PeerAddress: fleet.Address(id), Status: status}
}

// higherRanked returns a member of self's failure domain that ranks before self.
func higherRanked() member.Record {
	for i := 0; ; i++ {
		id := fmt.Sprint("a", i)
		if fleet.RendezvousScore(fleet.InstanceID(id), name) > fleet.RendezvousScore("self", name) {
			return newRecord(id, "d0", member.Active)
		}
	}
}

// newOwnership returns a state that wants one resource of self's failure domain.
func newOwnership(members *member.State) *ownership.State {
	s := ownership.New(ownership.Options{})
	s.SetResources(epoch, []ownership.ResourceSpec{{Resource: name, Domain: "d0", LargestDeadline: time.Second}})
	s.SetMembers(epoch, members.View())
	return s
}

// answerAll answers all claims with one verdict and returns their receivers.
func answerAll(s *ownership.State, now time.Time, verdict ownership.Verdict) []fleet.InstanceID {
	var claimReceivers []fleet.InstanceID
	for _, out := range s.Tick(now, true).Claims {
		claimReceivers = append(claimReceivers, out.To.Member.ID)
		reply := ownership.ClaimReply{From: out.To.Member}
		for _, r := range out.Message.Resources {
			reply.Answers = append(reply.Answers, ownership.Answer{Resource: r, Verdict: verdict})
		}
		s.HandleClaimReply(now, out, reply)
	}
	return claimReceivers
}

// Guards against claims that succeed before the settle time, without a lease,
// without consent, or while work of a fenced member may still be running.
func TestClaimNeedsConsent(t *testing.T) {
	remote := []member.Record{newRecord("a", "d1", member.Active), newRecord("b", "d1", member.Active), newRecord("c", "d1", member.Leaving)}
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
		{name: "fenced too recently", others: remote[:1], fenced: true, at: 1500 * time.Millisecond, lease: true, verdict: ownership.Free},
		{name: "fenced long enough", others: remote[:1], fenced: true, at: 3600 * time.Millisecond, lease: true, held: true},
		{name: "outranked by a local member", others: []member.Record{higherRanked()}, at: 2 * time.Second, lease: true, verdict: ownership.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := newMembers(t, tt.others...)
			s := newOwnership(members)
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
			assert.False(t, s.View().Holds(name, false), "nothing is held without a valid lease")
		})
	}
}

// Guards against claims to more members than needed: a claim goes to three other
// candidates, leaving ones included.
func TestClaimGoesToThree(t *testing.T) {
	var others []member.Record
	for i := range 8 {
		others = append(others, newRecord(fmt.Sprint("r", i), "d1", member.Active+member.Status(i%2)))
	}
	s := newOwnership(newMembers(t, others...))
	now := epoch.Add(2 * time.Second)
	claimReceivers := answerAll(s, now, ownership.Free)
	want := s.View().Candidates(name)[1:4]
	require.Len(t, claimReceivers, 3)
	for _, record := range want {
		assert.Contains(t, claimReceivers, record.Member.ID)
	}
	assert.Equal(t, fleet.InstanceID("self"), s.View().Candidates(name)[0].Member.ID, "its own failure domain comes first")
}

// Guards against answers to a claim that would allow two holders.
func TestAnswers(t *testing.T) {
	ahead, behind := higherRanked(), newRecord("b", "d1", member.Active)
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
		{name: "ranks first itself", from: behind, verdict: ownership.Outranked, holder: "self"},
		{name: "holds and is outranked", held: true, from: ahead, verdict: ownership.Draining},
		{name: "holds and ranks first", held: true, from: behind, verdict: ownership.Outranked, holder: "self"},
		{name: "holds and is leaving", held: true, leaving: true, from: behind, verdict: ownership.Draining},
		{name: "consented to a lower-ranked claimant before", leaving: true, previous: &behind, from: ahead, verdict: ownership.Held, holder: "b"},
		{name: "consented to a higher-ranked claimant before", leaving: true, previous: &ahead, from: behind, verdict: ownership.Outranked, holder: ahead.Member.ID},
		{name: "claimant has left", from: newRecord("c", "d0", member.Left), verdict: ownership.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := newMembers(t)
			s := newOwnership(members)
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

// Guards against a holder that consents while its requests are still in flight.
func TestConsentWaitsForDrain(t *testing.T) {
	members := newMembers(t)
	s := newOwnership(members)
	s.Tick(epoch.Add(2*time.Second), true)
	claimant := higherRanked()
	members.MergeRecords(epoch, []member.Record{claimant})
	s.SetMembers(epoch, members.View())
	claim := func() ownership.Verdict {
		reply, _ := s.HandleClaim(epoch, ownership.Claim{From: claimant, Resources: []fleet.Resource{name}})
		return reply.Answers[0].Verdict
	}
	assert.Equal(t, ownership.Draining, claim())
	assert.False(t, s.View().Holds(name, true), "no new work while draining")
	assert.Equal(t, ownership.Draining, claim())
	s.HandleDrained(epoch, name)
	assert.Equal(t, ownership.Free, claim())
}

// Guards against members that join, rank before a holder and do not know the holder.
func TestHolderAnnouncesItself(t *testing.T) {
	members := newMembers(t, newRecord("b", "d1", member.Active))
	s := newOwnership(members)
	now := epoch.Add(2 * time.Second)
	for range 2 {
		answerAll(s, now, ownership.Free)
	}
	tests := []struct {
		name        string
		join        []member.Record
		announcedTo []fleet.InstanceID
	}{
		{name: "acquired", announcedTo: []fleet.InstanceID{"b"}},
		{name: "nothing changed"},
		{name: "one joins", join: []member.Record{higherRanked()}, announcedTo: []fleet.InstanceID{higherRanked().Member.ID}},
	}
	for _, tt := range tests {
		now = now.Add(time.Second)
		members.MergeRecords(now, tt.join)
		s.SetMembers(now, members.View())
		var announcedTo []fleet.InstanceID
		for _, out := range s.Tick(now, true).Claims {
			assert.Equal(t, []fleet.Resource{name}, out.Message.Held)
			announcedTo = append(announcedTo, out.To.Member.ID)
			s.HandleClaimReply(now, out, ownership.ClaimReply{From: out.To.Member})
		}
		assert.Equal(t, tt.announcedTo, announcedTo, tt.name)
	}
}

// Guards against claims, while several members join at once, that reach no member
// that knows the holder: a member that received no announcement lists the candidates
// that were active before it.
func TestUninformedListsEarlierCandidates(t *testing.T) {
	earlier, holder := newRecord("e", "d1", member.Active), newRecord("h", "d1", member.Active)
	tests := []struct {
		name            string
		announced       bool
		possibleHolders []fleet.InstanceID
	}{
		{name: "no announcement", possibleHolders: []fleet.InstanceID{"e", "h"}},
		{name: "announcement of a holder", announced: true, possibleHolders: []fleet.InstanceID{"h"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := member.New(epoch, member.Options{ID: "self", Domain: "d0", Random: rand.New(rand.NewPCG(1, 1))})
			members.MergeRecords(epoch, []member.Record{earlier, holder})
			s := newOwnership(members)
			if tt.announced {
				s.HandleClaim(epoch, ownership.Claim{From: holder, Held: []fleet.Resource{name}})
			}
			reply, _ := s.HandleClaim(epoch, ownership.Claim{From: higherRanked(), Resources: []fleet.Resource{name}})
			var possibleHolders []fleet.InstanceID
			for _, answer := range reply.Answers {
				assert.Equal(t, ownership.Held, answer.Verdict)
				possibleHolders = append(possibleHolders, answer.Holder.Member.ID)
			}
			assert.ElementsMatch(t, tt.possibleHolders, possibleHolders)
		})
	}
}

// Guards against a claim that succeeds with consent given before this instance
// consented to another claimant, whether the consent arrived before or after that.
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
			claimant := higherRanked()
			members := newMembers(t, newRecord("b", "d1", member.Active))
			s := newOwnership(members)
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
			members.MergeRecords(now, []member.Record{claimant})
			s.SetMembers(now, members.View())
			s.HandleClaim(now.Add(time.Millisecond), ownership.Claim{From: claimant, Resources: []fleet.Resource{name}})
			if tt.late {
				consent()
			}
			claimant.Status = member.Left
			members.MergeRecords(now, []member.Record{claimant})
			s.SetMembers(now, members.View())
			claims := s.Tick(now.Add(time.Second), true).Claims
			assert.False(t, s.View().Holds(name, true))
			require.Len(t, claims, 1)
			assert.Equal(t, []fleet.Resource{name}, claims[0].Message.Resources)
		})
	}
}

// Guards against an instance that cannot reach a server and claims it again before
// the hold-off has passed.
func TestReleaseStartsHoldOff(t *testing.T) {
	members := newMembers(t, newRecord("b", "d1", member.Active))
	s := newOwnership(members)
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

// Guards against resources that stay held after a new incarnation, or after they are
// no longer wanted.
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
			members := newMembers(t)
			s := newOwnership(members)
			s.Tick(epoch.Add(2*time.Second), true)
			require.True(t, s.View().Holds(name, true))
			effects := tt.end(s, members)
			assert.Equal(t, tt.lost, len(effects.Lost) == 1)
			assert.Equal(t, tt.stop, len(effects.Drain) == 1)
			assert.Empty(t, s.View().HeldResources(true))
		})
	}
}

// Guards against incremental updates of the order that differ from a full
// computation.
func TestOrderAfterChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	members := newMembers(t)
	changed := newOwnership(members)
	for i := range 200 {
		record := newRecord(fmt.Sprint("i", i), fleet.Domain(fmt.Sprint("d", i%3)), member.Active)
		members.MergeRecords(epoch, []member.Record{record})
		if list := members.View().Members(); random.IntN(2) == 0 {
			left := list[random.IntN(len(list))].Record
			left.Status = member.Left
			members.MergeRecords(epoch, []member.Record{left})
		}
		changed.SetMembers(epoch, members.View())
		got, want := changed.View().Candidates(name), newOwnership(members).View().Candidates(name)
		compared := min(6, len(want))
		require.Equal(t, want[:compared], got[:min(compared, len(got))], "after change %d", i)
	}
}

func BenchmarkSetMembers(b *testing.B) {
	const servers, instances, domains = 5400, 400, 10
	members := newMembers(b)
	var records []member.Record
	for i := range instances {
		records = append(records, newRecord(fmt.Sprint("i", i), fleet.Domain(fmt.Sprint("d", i%domains)), member.Active))
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
			members.MergeRecords(epoch, []member.Record{newRecord(fmt.Sprint("j", i), "d1", member.Active)})
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
