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

var startTime = time.Unix(1000, 0)

func newHeartbeat(id string, domain fleet.Domain) Heartbeat {
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

// newFleet returns the states of instances that have received a heartbeat of each
// other.
func newFleet(now time.Time, heartbeats ...Heartbeat) []*State {
	states := make([]*State, 0, len(heartbeats))
	for _, self := range heartbeats {
		s := New(Options{Self: self, Start: now.Add(-time.Minute)})
		s.SetLocalStatus(LocalStatus{
			Leaving: self.Leaving, Ready: self.Ready, Slow: self.Slow, StoreUnreachable: self.StoreUnreachable, RequestRate: self.RequestRate,
			Version: self.Version, Position: self.Position, CopyConfirmedAt: now.Add(-self.CopyAge), ConfigConfirmedAt: now.Add(-self.ConfigAge),
		})
		for _, other := range heartbeats {
			s.HandleHeartbeat(now, other)
		}
		s.UpdateView(now)
		states = append(states, s)
	}
	return states
}

// TestAgreement guards against instances that compute different working sets from the
// same heartbeats, or a failure domain without an active instance.
func TestAgreement(t *testing.T) {
	var heartbeats []Heartbeat
	for i := range 24 {
		heartbeats = append(heartbeats, newHeartbeat(fmt.Sprintf("i%02d", i), fleet.Domain(rune('a'+i%3))))
	}
	states := newFleet(startTime, heartbeats...)
	active := 0
	for _, s := range states {
		require.Equal(t, states[0].View().activeAddresses(), s.View().activeAddresses())
		if s.View().Role() == Active {
			active++
		}
	}
	require.Equal(t, 3, active)
	for _, domain := range []fleet.Domain{"a", "b", "c"} {
		require.Len(t, states[0].View().ActiveFor(domain), 1)
		require.Equal(t, domain, states[0].View().ActiveFor(domain)[0].Domain)
	}
	require.Len(t, states[0].View().ActiveFor("unknown"), 3, "callers of an unknown failure domain may use all")
}

// TestRank guards against callers that are sent to an instance while a better one of
// the same failure domain is idle.
func TestRank(t *testing.T) {
	tests := []struct {
		name   string
		change func(b *Heartbeat)
	}{
		{"not ready", func(b *Heartbeat) { b.Ready = false }},
		{"leaving", func(b *Heartbeat) { b.Leaving = true }},
		{"slow", func(b *Heartbeat) { b.Slow = true }},
		{"with an old copy", func(b *Heartbeat) { b.CopyAge = maxCopyLag + time.Second }},
		{"just started", func(b *Heartbeat) { b.Uptime = time.Second }},
		{"on a smaller machine", func(b *Heartbeat) { b.Cores = 0.5 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, worse := range []string{"x", "y"} {
				heartbeats := []Heartbeat{newHeartbeat("x", "a"), newHeartbeat("y", "a"), newHeartbeat("z", "b")}
				for i := range heartbeats {
					if string(heartbeats[i].Member.ID) == worse {
						test.change(&heartbeats[i])
					}
				}
				observer := newFleet(startTime, heartbeats...)[2]
				active := observer.View().ActiveFor("a")
				require.Len(t, active, 1)
				require.NotEqual(t, fleet.InstanceID(worse), active[0].Member.ID)
			}
		})
	}
}

// TestAllCopiesAge guards against changes of the working set while the store is down
// and all copies age alike.
func TestAllCopiesAge(t *testing.T) {
	heartbeats := []Heartbeat{newHeartbeat("x", "a"), newHeartbeat("y", "a"), newHeartbeat("z", "a")}
	before := newFleet(startTime, heartbeats...)[0].View().activeAddresses()
	for i := range heartbeats {
		heartbeats[i].CopyAge = time.Minute + time.Duration(i)*500*time.Millisecond
	}
	require.Equal(t, before, newFleet(startTime, heartbeats...)[0].View().activeAddresses())
}

// TestSilence guards against callers that are sent to a crashed instance, and against
// a single lost datagram that changes the working set.
func TestSilence(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
		live    int
	}{
		{"three missing heartbeats", 3 * inUseInterval, 1},
		{"five missing heartbeats", 5 * inUseInterval, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := newHeartbeat("y", "a")
			other.Interval = inUseInterval
			s := newFleet(startTime, newHeartbeat("x", "a"), other)[0]
			s.UpdateView(startTime.Add(test.silence))
			require.Equal(t, test.live, s.View().LivePeerCount())
		})
	}
}

// TestCapacity guards against fewer active instances than the load needs.
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
			var heartbeats []Heartbeat
			for i := range 8 {
				b := newHeartbeat(fmt.Sprintf("i%d", i), "a")
				b.Cores = test.cores
				heartbeats = append(heartbeats, b)
			}
			heartbeats[0].RequestRate = test.rate
			require.Equal(t, test.want, newFleet(startTime, heartbeats...)[0].View().ActiveCount())
		})
	}
}

// TestLoadThatVaries guards against a working set that changes several times a second while the
// measured load varies around the capacity of the active instances.
func TestLoadThatVaries(t *testing.T) {
	tests := []struct {
		name string
		// rates are the rates that are measured one after the other.
		rates []float64
		want  []int
	}{
		{"around the capacity of one", []float64{155, 165, 155, 165, 150, 165}, []int{1, 2, 2, 2, 2, 2}},
		{"around the capacity of two", []float64{325, 315, 325, 315}, []int{3, 3, 3, 3}},
		{"falls", []float64{165, 140, 135, 140, 159}, []int{2, 2, 1, 1, 1}},
		{"ends", []float64{325, 0}, []int{3, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var heartbeats []Heartbeat
			for i := range 4 {
				heartbeat := newHeartbeat(fmt.Sprintf("i%d", i), "a")
				heartbeat.Cores = 0.32
				heartbeats = append(heartbeats, heartbeat)
			}
			states := newFleet(startTime, heartbeats...)
			for i, rate := range test.rates {
				now := startTime.Add(time.Duration(i+1) * inUseInterval)
				for _, s := range states {
					s.SetLocalStatus(LocalStatus{Ready: true, RequestRate: rate / float64(len(states)), CopyConfirmedAt: now})
				}
				// Two rounds, so that all know who is active.
				for range 2 {
					for _, from := range states {
						heartbeat := from.heartbeat(now)
						heartbeat.Interval = inUseInterval
						for _, to := range states {
							to.HandleHeartbeat(now, heartbeat)
						}
					}
					for _, s := range states {
						s.UpdateView(now)
					}
				}
				for _, s := range states {
					require.Equal(t, test.want[i], s.View().ActiveCount(), "at %v requests a second, after %v", rate, test.rates[:i])
				}
			}
		})
	}
}

// TestAssignByCapacity guards against the overload of a small machine that gets as many
// callers as the large one next to it.
func TestAssignByCapacity(t *testing.T) {
	tests := []struct {
		name  string
		cores []float64
	}{
		{"one small one", []float64{0.8, 0.16}},
		{"some small ones", []float64{0.8, 0.16, 0.16, 0.16}},
		{"alike", []float64{0.3, 0.3}},
		{"one", []float64{0.16}},
		{"none that states its size", []float64{0, 0}},
	}
	const callers = 20_000
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var heartbeats []Heartbeat
			total := 0.0
			for i, cores := range test.cores {
				heartbeat := newHeartbeat(fmt.Sprintf("i%d", i), "a")
				heartbeat.Cores, heartbeat.RequestRate = cores, 1000
				heartbeats = append(heartbeats, heartbeat)
				total += cores
			}
			view := newFleet(startTime, heartbeats...)[0].View()
			random := rand.New(rand.NewPCG(1, 2))
			got := make(map[fleet.InstanceID]float64)
			for range callers {
				assigned := view.Assign("a", random)
				require.NotEmpty(t, assigned)
				got[assigned[random.IntN(len(assigned))].Member.ID] += 1.0 / callers
			}
			for _, heartbeat := range heartbeats {
				if total > 0 && heartbeat.Cores < slices.Max(test.cores) {
					require.LessOrEqual(t, got[heartbeat.Member.ID], heartbeat.Cores/total+0.01, "share of %s", heartbeat.Member.ID)
				}
				require.Positive(t, got[heartbeat.Member.ID], "share of %s", heartbeat.Member.ID)
			}
		})
	}
}

// TestEffectiveCores guards against more load than the bandwidth of a small link allows.
func TestEffectiveCores(t *testing.T) {
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

// TestAlone guards against an instance that waits for peers although none is left.
func TestAlone(t *testing.T) {
	s := New(Options{Self: newHeartbeat("x", "a"), Start: startTime, Seeds: []fleet.Address{"gone:1"}})
	s.UpdateView(startTime)
	require.Equal(t, Idle, s.View().Role())
	require.Len(t, s.View().ActiveFor("a"), 1, "callers that request an assignment before that are sent here")
	s.UpdateView(startTime.Add(settleTime))
	require.Equal(t, Active, s.View().Role())
	require.True(t, s.View().IsStoreReader())
}

// TestDiscovery guards against instances that never find each other: a restarted
// instance knows only a seed and has to learn its other peers from the reply.
func TestDiscovery(t *testing.T) {
	known := newFleet(startTime, newHeartbeat("x", "a"), newHeartbeat("y", "b"))[0]
	started := New(Options{Self: newHeartbeat("n", "a"), Start: startTime, Seeds: []fleet.Address{"x:1"}})
	started.UpdateView(startTime)
	due := started.DueHeartbeats(startTime.Add(inUseInterval), false)
	require.NotEmpty(t, due)
	requested := false
	for _, outgoing := range due {
		if len(outgoing.Recipients) > 0 {
			require.Equal(t, []fleet.Address{"x:1"}, outgoing.Recipients)
			reply, _ := known.HandleHeartbeat(startTime, outgoing.Heartbeat)
			require.Equal(t, fleet.Address("n:1"), reply)
			requested = true
		}
	}
	require.True(t, requested)
	started.HandleHeartbeat(startTime, known.ContactsReply(startTime))
	started.UpdateView(startTime)
	var recipients []fleet.Address
	for _, outgoing := range started.DueHeartbeats(startTime.Add(10*time.Second), true) {
		recipients = append(recipients, outgoing.Recipients...)
	}
	require.ElementsMatch(t, []fleet.Address{"x:1", "y:1"}, recipients)
}

// TestDiscoveryAfterFullRestart guards against instances that stay unknown to each other
// after all restart together and know only one seed.
func TestDiscoveryAfterFullRestart(t *testing.T) {
	const count = 90
	states := make(map[fleet.Address]*State, count)
	for i := range count {
		self := newHeartbeat(fmt.Sprintf("n%02d", i), fleet.Domain(rune('a'+i%3)))
		states[self.PeerAddress] = New(Options{Self: self, Start: startTime, Seeds: []fleet.Address{"n00:1"}})
	}
	for tick := range 15 {
		now := startTime.Add(time.Duration(tick+1) * inUseInterval)
		for _, s := range states {
			s.UpdateView(now)
			for _, outgoing := range s.DueHeartbeats(now, false) {
				if outgoing.Heartbeat.RequestsContacts {
					require.LessOrEqual(t, len(outgoing.Recipients), maxAnnouncements, "announcements must not grow with the square of the fleet size")
				}
				for _, to := range outgoing.Recipients {
					receiver := states[to]
					if reply, _ := receiver.HandleHeartbeat(now, outgoing.Heartbeat); reply != "" {
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

// TestAnnouncementsStateRegularInterval guards against instances that count the sender
// of an announcement as failed, since the announcement stated a shorter interval than
// the regular one of the sender.
func TestAnnouncementsStateRegularInterval(t *testing.T) {
	self := newHeartbeat("z", "a")
	self.Cores = 0.5
	s := New(Options{Self: self, Start: startTime, Seeds: []fleet.Address{"seed:1"}})
	for _, id := range []string{"x", "y"} {
		s.HandleHeartbeat(startTime, newHeartbeat(id, "a"))
	}
	now := startTime.Add(time.Second)
	s.HandleHeartbeat(now, newHeartbeat("x", "a"))
	s.HandleHeartbeat(now, newHeartbeat("y", "a"))
	s.UpdateView(now)
	require.Equal(t, Idle, s.View().Role())
	announced := false
	for _, outgoing := range s.DueHeartbeats(now, false) {
		if outgoing.Heartbeat.RequestsContacts {
			announced = true
			require.Equal(t, idleInterval, outgoing.Heartbeat.Interval)
		}
	}
	require.True(t, announced)
}

// TestRemoteHeartbeatsGrowLinearly guards against traffic between failure domains that
// grows with the square of the fleet size.
func TestRemoteHeartbeatsGrowLinearly(t *testing.T) {
	const duration = 20 * time.Second
	count := func(instances int) int {
		var heartbeats []Heartbeat
		domains := make(map[fleet.Address]fleet.Domain)
		for i := range instances {
			heartbeat := newHeartbeat(fmt.Sprintf("i%03d", i), fleet.Domain(rune('a'+i%3)))
			heartbeats = append(heartbeats, heartbeat)
			domains[heartbeat.PeerAddress] = heartbeat.Domain
		}
		remote := 0
		for _, s := range newFleet(startTime, heartbeats...) {
			for at := time.Duration(0); at < duration; at += inUseInterval / 2 {
				for _, outgoing := range s.DueHeartbeats(startTime.Add(at), false) {
					for _, to := range outgoing.Recipients {
						if domains[to] != s.self.Domain {
							remote++
						}
					}
				}
			}
		}
		return remote
	}
	small, large := count(100), count(400)
	require.Positive(t, small)
	require.LessOrEqual(t, float64(large), 4.4*float64(small), "%d heartbeats of 100 instances, %d of 400", small, large)
}

// TestIdleInstancesKnowRemoteActives guards against directories that have no instance
// to assign after the loss of a failure domain. Its callers are then sent to the active
// instances of other failure domains, which even idle instances have to know.
func TestIdleInstancesKnowRemoteActives(t *testing.T) {
	const count = 30
	states := make(map[fleet.Address]*State, count)
	for i := range count {
		self := newHeartbeat(fmt.Sprintf("n%02d", i), fleet.Domain(rune('a'+i%3)))
		states[self.PeerAddress] = New(Options{Self: self, Start: startTime, Seeds: []fleet.Address{"n00:1", "n01:1"}})
	}
	deliver := func(now time.Time, lostDomain fleet.Domain) {
		for _, s := range states {
			if s.self.Domain == lostDomain {
				continue
			}
			s.UpdateView(now)
			for _, outgoing := range s.DueHeartbeats(now, false) {
				for _, to := range outgoing.Recipients {
					if receiver := states[to]; receiver.self.Domain != lostDomain {
						if reply, _ := receiver.HandleHeartbeat(now, outgoing.Heartbeat); reply != "" {
							s.HandleHeartbeat(now, receiver.ContactsReply(now))
						}
					}
				}
			}
		}
	}
	now := startTime
	for ; now.Before(startTime.Add(20 * time.Second)); now = now.Add(inUseInterval / 2) {
		deliver(now, "")
	}
	for until := now.Add(6 * time.Second); now.Before(until); now = now.Add(inUseInterval / 2) {
		deliver(now, "a")
	}
	for address, s := range states {
		if s.self.Domain == "a" {
			continue
		}
		active := s.View().ActiveFor("a")
		require.NotEmpty(t, active, "%s knows no active instance", address)
		for _, heartbeat := range active {
			require.NotEqual(t, fleet.Domain("a"), heartbeat.Domain, "%s knows an instance of the lost failure domain as active", address)
		}
	}
}

// TestLateDatagram guards against a delayed datagram of an earlier process that replaces
// the heartbeat of its successor.
func TestLateDatagram(t *testing.T) {
	s := New(Options{Self: newHeartbeat("x", "a"), Start: startTime.Add(-time.Minute)})
	earlier := newHeartbeat("y", "a")
	restarted := earlier
	restarted.Member.Incarnation, restarted.Uptime = 2, time.Second
	s.HandleHeartbeat(startTime, restarted)
	s.HandleHeartbeat(startTime, earlier)
	require.Equal(t, fleet.Incarnation(2), s.peers["y"].heartbeat.Member.Incarnation)
}

// TestReader guards against a failure domain in which no instance reads the store, or
// several do.
func TestReader(t *testing.T) {
	heartbeats := []Heartbeat{newHeartbeat("x", "a"), newHeartbeat("y", "a"), newHeartbeat("z", "a")}
	for failed := range 3 {
		readers := 0
		for _, s := range newFleet(startTime, heartbeats...) {
			if s.View().IsStoreReader() {
				require.False(t, s.self.StoreUnreachable)
				readers++
			}
		}
		require.Equal(t, 1, readers)
		if failed < 2 {
			for i := range heartbeats {
				if !heartbeats[i].StoreUnreachable {
					heartbeats[i].StoreUnreachable = true
					break
				}
			}
		}
	}
}

// TestHeartbeatAges guards against a copy that seems younger than it is, because a heartbeat
// states the ages as of the last change of the local status.
func TestHeartbeatAges(t *testing.T) {
	s := New(Options{Self: newHeartbeat("x", "a"), Start: startTime.Add(-time.Minute)})
	confirmedAt := startTime.Add(-100 * time.Millisecond)
	s.SetLocalStatus(LocalStatus{Ready: true, CopyConfirmedAt: confirmedAt, ConfigConfirmedAt: confirmedAt, ReadsStore: true, ReadAt: confirmedAt, OutageSeenAt: confirmedAt})
	sentAt := startTime.Add(250 * time.Millisecond)
	tests := []struct {
		name      string
		heartbeat Heartbeat
	}{
		{"regular", s.DueHeartbeats(sentAt, true)[0].Heartbeat},
		{"reply to a request for contacts", s.ContactsReply(sentAt)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, 350*time.Millisecond, test.heartbeat.CopyAge)
			require.Equal(t, 350*time.Millisecond, test.heartbeat.ConfigAge)
			require.Equal(t, 350*time.Millisecond, test.heartbeat.ReadAge)
			require.Equal(t, 350*time.Millisecond, test.heartbeat.OutageAge)
		})
	}
}

// TestReaderAhead guards against several instances of a failure domain that go on reading the
// store, and against none that does because all rely on one that no longer reads it.
func TestReaderAhead(t *testing.T) {
	tests := []struct {
		name  string
		reads []bool
		age   time.Duration
		want  []bool
	}{
		{"none", []bool{false, false, false}, 0, []bool{false, false, false}},
		{"the first one", []bool{true, false, false}, 0, []bool{false, true, true}},
		{"the second one", []bool{false, true, false}, 0, []bool{false, false, true}},
		{"all", []bool{true, true, true}, 0, []bool{false, true, true}},
		{"the first one, a while ago", []bool{true, false, false}, maxReadAge + time.Millisecond, []bool{false, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var heartbeats []Heartbeat
			for i, reads := range test.reads {
				heartbeat := newHeartbeat(fmt.Sprintf("i%d", i), "a")
				heartbeat.Cores = float64(3 - i)
				heartbeat.ReadsStore, heartbeat.ReadAge = reads, test.age
				heartbeats = append(heartbeats, heartbeat)
			}
			var got []bool
			for _, s := range newFleet(startTime, heartbeats...) {
				got = append(got, s.View().HasReaderAhead())
			}
			require.Equal(t, test.want, got)
		})
	}
}

// TestReaderInterval guards against copies that nobody confirms in time: an idle instance that
// reads the store says so as often as an active one.
func TestReaderInterval(t *testing.T) {
	tests := []struct {
		name  string
		reads bool
		want  time.Duration
	}{
		{"does not read the store", false, idleInterval},
		{"reads the store", true, inUseInterval},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newHeartbeat("y", "a"), newHeartbeat("z", "a")
			first.Cores, second.Cores = 3, 2
			idle := newFleet(startTime, newHeartbeat("x", "a"), first, second)[0]
			require.Equal(t, Idle, idle.View().Role())
			idle.SetLocalStatus(LocalStatus{Ready: true, ReadsStore: test.reads, ReadAt: startTime})
			for _, outgoing := range idle.DueHeartbeats(startTime.Add(time.Minute), false) {
				if slices.Contains(outgoing.Recipients, first.PeerAddress) {
					require.Equal(t, test.want, outgoing.Heartbeat.Interval)
				}
			}
		})
	}
}
