package workset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

var begin = time.Unix(1000, 0)

func beatOf(id string, domain fleet.Domain) Heartbeat {
	return Heartbeat{
		Member:        fleet.Member{ID: fleet.InstanceID(id), Incarnation: 1},
		Domain:        domain,
		PeerAddress:   fleet.Address(id + ":1"),
		CallerAddress: fleet.Address(id),
		Ready:         true,
		Interval:      time.Second,
		Cores:         1,
		Uptime:        time.Minute,
	}
}

// newFleet returns the states of a fleet in which all have heard all.
func newFleet(now time.Time, beats ...Heartbeat) []*State {
	states := make([]*State, 0, len(beats))
	for _, self := range beats {
		s := New(Options{Self: self, Start: now.Add(-time.Minute)})
		for _, other := range beats {
			s.HandleHeartbeat(now, other)
		}
		s.UpdateView(now)
		states = append(states, s)
	}
	return states
}

// TestAgreement guards against instances that send callers to different ones, or
// to none.
func TestAgreement(t *testing.T) {
	var beats []Heartbeat
	for i := range 24 {
		beats = append(beats, beatOf(fmt.Sprintf("i%02d", i), fleet.Domain(rune('a'+i%3))))
	}
	states := newFleet(begin, beats...)
	active := 0
	for _, s := range states {
		require.Equal(t, states[0].View().addresses(), s.View().addresses())
		if s.View().Role() == Active {
			active++
		}
	}
	require.Equal(t, 3, active)
	for _, domain := range []fleet.Domain{"a", "b", "c"} {
		require.Len(t, states[0].View().ActiveFor(domain), 1)
		require.Equal(t, domain, states[0].View().ActiveFor(domain)[0].Domain)
	}
	require.Len(t, states[0].View().ActiveFor("unknown"), 3, "callers from elsewhere may use all")
}

// TestRank guards against callers that are sent to an instance that serves them
// worse than another one.
func TestRank(t *testing.T) {
	worse := []struct {
		name   string
		change func(b *Heartbeat)
	}{
		{"not ready", func(b *Heartbeat) { b.Ready = false }},
		{"leaving", func(b *Heartbeat) { b.Leaving = true }},
		{"slow", func(b *Heartbeat) { b.Slow = true }},
		{"with an old copy", func(b *Heartbeat) { b.CopyAge = staleLead + time.Second }},
		{"just started", func(b *Heartbeat) { b.Uptime = time.Second }},
		{"on a smaller machine", func(b *Heartbeat) { b.Cores = 0.5 }},
	}
	for _, test := range worse {
		t.Run(test.name, func(t *testing.T) {
			for _, bad := range []string{"x", "y"} {
				beats := []Heartbeat{beatOf("x", "a"), beatOf("y", "a"), beatOf("z", "b")}
				for i := range beats {
					if string(beats[i].Member.ID) == bad {
						test.change(&beats[i])
					}
				}
				observer := newFleet(begin, beats...)[2]
				active := observer.View().ActiveFor("a")
				require.Len(t, active, 1)
				require.NotEqual(t, fleet.InstanceID(bad), active[0].Member.ID)
			}
		})
	}
}

// TestAllCopiesAge guards against a change of the working set while the store is
// down, when all copies age alike.
func TestAllCopiesAge(t *testing.T) {
	beats := []Heartbeat{beatOf("x", "a"), beatOf("y", "a"), beatOf("z", "a")}
	before := newFleet(begin, beats...)[0].View().addresses()
	for i := range beats {
		beats[i].CopyAge = time.Minute + time.Duration(i)*500*time.Millisecond
	}
	require.Equal(t, before, newFleet(begin, beats...)[0].View().addresses())
}

// TestSilence guards against callers that are sent to an instance that has gone,
// and against one lost datagram that changes the working set.
func TestSilence(t *testing.T) {
	tests := []struct {
		name  string
		quiet time.Duration
		live  int
	}{
		{"three missing beats", 3 * fastEvery, 1},
		{"five missing beats", 5 * fastEvery, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := beatOf("y", "a")
			other.Interval = fastEvery
			s := newFleet(begin, beatOf("x", "a"), other)[0]
			s.UpdateView(begin.Add(test.quiet))
			require.Equal(t, test.live, s.View().LivePeerCount())
		})
	}
}

// TestCapacity guards against too few instances for the load.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		cores float64
		want  int
	}{
		{"idle", 0, 0.3, 1},
		{"light", 100, 0.3, 1},
		{"heavy", 400, 0.3, 3},
		{"heavy on large machines", 400, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var beats []Heartbeat
			for i := range 8 {
				b := beatOf(fmt.Sprintf("i%d", i), "a")
				b.Cores = test.cores
				beats = append(beats, b)
			}
			beats[0].RequestRate = test.rate
			require.Equal(t, test.want, newFleet(begin, beats...)[0].View().ActiveCount())
		})
	}
}

// TestAssignByCapacity guards against a small machine that gets as many callers as
// the large one that it helps, and drowns.
func TestAssignByCapacity(t *testing.T) {
	tests := []struct {
		name  string
		cores []float64
	}{
		{"one small one", []float64{0.8, 0.16}},
		{"some small ones", []float64{0.8, 0.16, 0.16, 0.16}},
		{"alike", []float64{0.3, 0.3}},
		{"one", []float64{0.16}},
		{"none that says its size", []float64{0, 0}},
	}
	const callers = 20_000
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var beats []Heartbeat
			total := 0.0
			for i, cores := range test.cores {
				beat := beatOf(fmt.Sprintf("i%d", i), "a")
				beat.Cores, beat.RequestRate = cores, 1000
				beats = append(beats, beat)
				total += cores
			}
			view := newFleet(begin, beats...)[0].View()
			random := rand.New(rand.NewPCG(1, 2))
			got := make(map[fleet.InstanceID]float64)
			for range callers {
				named := view.Assign("a", random)
				require.NotEmpty(t, named)
				got[named[random.IntN(len(named))].Member.ID] += 1.0 / callers
			}
			for _, beat := range beats {
				if total > 0 && beat.Cores < slices.Max(test.cores) {
					require.LessOrEqual(t, got[beat.Member.ID], beat.Cores/total+0.01, "share of %s", beat.Member.ID)
				}
				require.Positive(t, got[beat.Member.ID], "share of %s", beat.Member.ID)
			}
		})
	}
}

// TestEffective guards against load beyond what a small link carries.
func TestEffective(t *testing.T) {
	tests := []struct {
		cores, link, want float64
	}{
		{0.8, 10, 0.3125},
		{0.8, 200, 0.8},
		{0.16, 10, 0.16},
		{0.8, 0, 0.8},
	}
	for _, test := range tests {
		require.InDelta(t, test.want, EffectiveCores(test.cores, test.link), 1e-9)
	}
}

// TestAlone guards against an instance that waits for others which are all gone.
func TestAlone(t *testing.T) {
	s := New(Options{Self: beatOf("x", "a"), Start: begin, Seeds: []fleet.Address{"gone:1"}})
	s.UpdateView(begin)
	require.Equal(t, Idle, s.View().Role())
	require.Len(t, s.View().ActiveFor("a"), 1, "callers that ask before are sent here")
	s.UpdateView(begin.Add(settleTime))
	require.Equal(t, Active, s.View().Role())
	require.True(t, s.View().IsStoreReader())
}

// TestMeeting guards against instances that never find each other, as when a
// restarted one knows only seeds that are gone.
func TestMeeting(t *testing.T) {
	known := newFleet(begin, beatOf("x", "a"), beatOf("y", "b"))[0]
	fresh := New(Options{Self: beatOf("n", "a"), Start: begin, Seeds: []fleet.Address{"x:1"}})
	fresh.UpdateView(begin)
	due := fresh.DueHeartbeats(begin.Add(fastEvery), false)
	require.NotEmpty(t, due)
	asked := false
	for _, sending := range due {
		if len(sending.Recipients) > 0 {
			require.Equal(t, []fleet.Address{"x:1"}, sending.Recipients)
			reply, _ := known.HandleHeartbeat(begin, sending.Heartbeat)
			require.Equal(t, fleet.Address("n:1"), reply)
			asked = true
		}
	}
	require.True(t, asked)
	fresh.HandleHeartbeat(begin, known.ContactsReply(begin))
	fresh.UpdateView(begin)
	var to []fleet.Address
	for _, sending := range fresh.DueHeartbeats(begin.Add(10*time.Second), true) {
		to = append(to, sending.Recipients...)
	}
	require.ElementsMatch(t, []fleet.Address{"x:1", "y:1"}, to)
}

// TestMeetingAfterLossOfAll guards against instances that stay unknown to each
// other when all were restarted together and know only one seed.
func TestMeetingAfterLossOfAll(t *testing.T) {
	const count = 90
	states := make(map[fleet.Address]*State, count)
	for i := range count {
		self := beatOf(fmt.Sprintf("n%02d", i), fleet.Domain(rune('a'+i%3)))
		states[self.PeerAddress] = New(Options{Self: self, Start: begin, Seeds: []fleet.Address{"n00:1"}})
	}
	for tick := range 15 {
		now := begin.Add(time.Duration(tick+1) * fastEvery)
		for _, s := range states {
			s.UpdateView(now)
			for _, sending := range s.DueHeartbeats(now, false) {
				if sending.Heartbeat.RequestsContacts {
					require.LessOrEqual(t, len(sending.Recipients), maxGreeted, "the greetings of all do not grow with the square of the fleet")
				}
				for _, to := range sending.Recipients {
					receiver := states[to]
					if reply, _ := receiver.HandleHeartbeat(now, sending.Heartbeat); reply != "" {
						s.HandleHeartbeat(now, receiver.ContactsReply(now))
					}
				}
			}
		}
	}
	for address, s := range states {
		require.GreaterOrEqual(t, len(s.peers), count*9/10, "known to %s", address)
	}
}

// TestGreetingsStateTheNextBeat guards against instances that take one that greeted
// them for gone, since it stated a shorter interval than that of its beats.
func TestGreetingsStateTheNextBeat(t *testing.T) {
	self := beatOf("z", "a")
	self.Cores = 0.5
	s := New(Options{Self: self, Start: begin, Seeds: []fleet.Address{"seed:1"}})
	for _, id := range []string{"x", "y"} {
		s.HandleHeartbeat(begin, beatOf(id, "a"))
	}
	now := begin.Add(time.Second)
	s.HandleHeartbeat(now, beatOf("x", "a"))
	s.HandleHeartbeat(now, beatOf("y", "a"))
	s.UpdateView(now)
	require.Equal(t, Idle, s.View().Role())
	greeted := false
	for _, sending := range s.DueHeartbeats(now, false) {
		if sending.Heartbeat.RequestsContacts {
			greeted = true
			require.Equal(t, slowEvery, sending.Heartbeat.Interval)
		}
	}
	require.True(t, greeted)
}

// TestFarBeatsGrowWithTheFleet guards against bytes between failure domains that
// grow with the square of the fleet.
func TestFarBeatsGrowWithTheFleet(t *testing.T) {
	const long = 20 * time.Second
	count := func(instances int) int {
		var beats []Heartbeat
		domains := make(map[fleet.Address]fleet.Domain)
		for i := range instances {
			beat := beatOf(fmt.Sprintf("i%03d", i), fleet.Domain(rune('a'+i%3)))
			beats = append(beats, beat)
			domains[beat.PeerAddress] = beat.Domain
		}
		far := 0
		for _, s := range newFleet(begin, beats...) {
			for at := time.Duration(0); at < long; at += fastEvery / 2 {
				for _, sending := range s.DueHeartbeats(begin.Add(at), false) {
					for _, to := range sending.Recipients {
						if domains[to] != s.self.Domain {
							far++
						}
					}
				}
			}
		}
		return far
	}
	small, large := count(100), count(400)
	require.Positive(t, small)
	require.LessOrEqual(t, float64(large), 4.4*float64(small), "%d beats of 100 instances, %d of 400", small, large)
}

// TestIdleInstancesHearOfOthers guards against directories that name nobody when
// their own failure domain is lost.
func TestIdleInstancesHearOfOthers(t *testing.T) {
	const count = 30
	states := make(map[fleet.Address]*State, count)
	for i := range count {
		self := beatOf(fmt.Sprintf("n%02d", i), fleet.Domain(rune('a'+i%3)))
		states[self.PeerAddress] = New(Options{Self: self, Start: begin, Seeds: []fleet.Address{"n00:1", "n01:1"}})
	}
	deliver := func(now time.Time, lost fleet.Domain) {
		for _, s := range states {
			if s.self.Domain == lost {
				continue
			}
			s.UpdateView(now)
			for _, sending := range s.DueHeartbeats(now, false) {
				for _, to := range sending.Recipients {
					if receiver := states[to]; receiver.self.Domain != lost {
						if reply, _ := receiver.HandleHeartbeat(now, sending.Heartbeat); reply != "" {
							s.HandleHeartbeat(now, receiver.ContactsReply(now))
						}
					}
				}
			}
		}
	}
	now := begin
	for ; now.Before(begin.Add(20 * time.Second)); now = now.Add(fastEvery / 2) {
		deliver(now, "")
	}
	for until := now.Add(6 * time.Second); now.Before(until); now = now.Add(fastEvery / 2) {
		deliver(now, "a")
	}
	for address, s := range states {
		if s.self.Domain == "a" {
			continue
		}
		named := s.View().ActiveFor("a")
		require.NotEmpty(t, named, "%s names nobody", address)
		for _, beat := range named {
			require.NotEqual(t, fleet.Domain("a"), beat.Domain, "%s names an instance that is gone", address)
		}
	}
}

// TestLateDatagram guards against a datagram of an earlier process that replaces
// what its successor said.
func TestLateDatagram(t *testing.T) {
	s := New(Options{Self: beatOf("x", "a"), Start: begin.Add(-time.Minute)})
	old := beatOf("y", "a")
	restarted := old
	restarted.Member.Incarnation, restarted.Uptime = 2, time.Second
	s.HandleHeartbeat(begin, restarted)
	s.HandleHeartbeat(begin, old)
	require.Equal(t, fleet.Incarnation(2), s.peers["y"].beat.Member.Incarnation)
}

// TestReader guards against a failure domain in which nobody reads the store.
func TestReader(t *testing.T) {
	beats := []Heartbeat{beatOf("x", "a"), beatOf("y", "a"), beatOf("z", "a")}
	for lost := range 3 {
		readers := 0
		for _, s := range newFleet(begin, beats...) {
			if s.View().IsStoreReader() {
				require.False(t, s.self.StoreUnreachable)
				readers++
			}
		}
		require.Equal(t, 1, readers)
		if lost < 2 {
			for i := range beats {
				if !beats[i].StoreUnreachable {
					beats[i].StoreUnreachable = true
					break
				}
			}
		}
	}
}
