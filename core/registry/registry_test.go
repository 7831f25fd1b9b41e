package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

func server(id fleet.ServerID, born StartTime) Server {
	return Server{Incarnation: Incarnation{ID: id, StartedAt: born}, Service: "s", Address: "10.0.0.1:80", Slots: 2}
}

func ids(s *State) []fleet.ServerID {
	s.Publish()
	var found []fleet.ServerID
	for _, server := range s.View().Servers("s") {
		found = append(found, server.ID)
	}
	return found
}

// TestReplace guards against removed servers that stay listed, and against servers
// that are dropped because their entries expired during an outage.
func TestReplace(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name      string
		keepUntil time.Time
		expireAt  time.Time
		relisted  bool
		want      []fleet.ServerID
	}{
		{"removed immediately", time.Time{}, now, false, []fleet.ServerID{"b"}},
		{"kept after an outage", now.Add(time.Second), now, false, []fleet.ServerID{"a", "b"}},
		{"removed when the grace period ends", now.Add(time.Second), now.Add(time.Second), false, []fleet.ServerID{"b"}},
		{"listed again within the grace period", now.Add(time.Second), now.Add(time.Second), true, []fleet.ServerID{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Replace([]Server{server("a", 1), server("b", 1)}, fleet.Position{Revision: 1}, time.Time{})
			s.Replace([]Server{server("b", 1)}, fleet.Position{Revision: 2}, test.keepUntil)
			if test.relisted {
				s.Put(server("a", 1))
			}
			s.Expire(test.expireAt, fleet.Position{Revision: 2})
			require.Equal(t, test.want, ids(s))
		})
	}
}

// TestKeepMissing guards against a server that is dropped although an outage ended later than was
// known, and against a longer grace period that becomes a shorter one or brings a server back.
func TestKeepMissing(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name     string
		until    time.Time
		expireAt time.Time
		want     []fleet.ServerID
	}{
		{"longer", now.Add(2 * time.Second), now.Add(time.Second), []fleet.ServerID{"a", "b"}},
		{"longer, at the end", now.Add(2 * time.Second), now.Add(2 * time.Second), []fleet.ServerID{"b"}},
		{"shorter", now, now, []fleet.ServerID{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Replace([]Server{server("a", 1), server("b", 1), server("c", 1)}, fleet.Position{Revision: 1}, time.Time{})
			s.Remove("c", fleet.Position{Revision: 2})
			s.Replace([]Server{server("b", 1)}, fleet.Position{Revision: 2}, now.Add(time.Second))
			s.KeepMissing(test.until)
			s.Expire(test.expireAt, fleet.Position{Revision: 2})
			require.Equal(t, test.want, ids(s))
		})
	}
}

// TestPublish guards against views that change after they were published, and against
// new views for reports without a change.
func TestPublish(t *testing.T) {
	s := NewState()
	s.Put(server("a", 1))
	require.True(t, s.Publish())
	before := s.View()
	unchanged := server("a", 1)
	s.Put(unchanged)
	require.False(t, s.Publish(), "the same entry changes nothing")
	s.Put(server("a", 2))
	require.True(t, s.Publish(), "a new incarnation is a change")
	require.Equal(t, StartTime(1), before.Servers("s")[0].StartedAt)
	require.Equal(t, StartTime(2), s.View().Servers("s")[0].StartedAt)
	s.Remove("a", fleet.Position{Revision: 3})
	s.Remove("unknown", fleet.Position{Revision: 3})
	require.True(t, s.Publish())
	require.Zero(t, s.View().ServerCount())
}

// at returns a server with the position at which its entry was written.
func at(server Server, era fleet.Era, revision fleet.Revision) Server {
	server.Written = fleet.Position{Era: era, Revision: revision}
	return server
}

func leaving(server Server) Server {
	server.Presence = fleet.Leaving
	return server
}

// TestRestore guards against a server that comes back into use because a restored store
// returns to an entry from before its end, and against the loss of live servers that such a
// store does not list yet. The store is restored to revision 60 or earlier, and its first
// listing in the new era is at revision 65.
func TestRestore(t *testing.T) {
	now := time.Unix(100, 0)
	end := fleet.Position{Era: 1, Revision: 70}
	remove := func(s *State) { s.Remove("a", end) }
	tests := []struct {
		name string
		// before is the state in the old era, listed the listing of the new era, and put a
		// later change.
		before []Server
		apply  func(s *State)
		listed []Server
		put    []Server
		live   bool
		// expired is whether the server is still live after the grace period.
		expired bool
	}{
		{"removed", []Server{at(server("a", 1), 1, 50)}, remove, []Server{at(server("a", 1), 2, 50)}, nil, false, false},
		{"removed, and written again later", []Server{at(server("a", 1), 1, 50)}, remove, []Server{at(server("a", 1), 2, 50)}, []Server{at(server("a", 1), 2, 66)}, true, true},
		{"removed, and started again", []Server{at(server("a", 1), 1, 50)}, remove, []Server{at(server("a", 2), 2, 62)}, nil, true, true},
		{"removed before it was known", nil, remove, []Server{at(server("a", 1), 2, 50)}, nil, false, false},
		{"leaving", []Server{at(leaving(server("a", 1)), 1, 70)}, nil, []Server{at(server("a", 1), 2, 50)}, nil, false, false},
		{"leaving, listed twice", []Server{at(leaving(server("a", 1)), 1, 70)}, nil, []Server{at(server("a", 1), 2, 50)}, []Server{at(server("a", 1), 2, 50)}, false, false},
		{"leaving, and written again as live", []Server{at(leaving(server("a", 1)), 1, 70)}, nil, []Server{at(server("a", 1), 2, 50)}, []Server{at(server("a", 1), 2, 66)}, true, true},
		{"live and listed", []Server{at(server("a", 1), 1, 70)}, nil, []Server{at(server("a", 1), 2, 50)}, nil, true, true},
		{"live and not listed yet", []Server{at(server("a", 1), 1, 70)}, nil, nil, nil, true, false},
		{"live and written again", []Server{at(server("a", 1), 1, 70)}, nil, nil, []Server{at(server("a", 1), 2, 66)}, true, true},
		{"an earlier incarnation is listed", []Server{at(server("a", 2), 1, 70)}, nil, []Server{at(server("a", 1), 2, 50)}, nil, true, false},
		{"unknown", nil, nil, []Server{at(server("a", 1), 2, 50)}, nil, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Replace(test.before, end, time.Time{})
			if test.apply != nil {
				test.apply(s)
			}
			first := fleet.Position{Era: 2, Revision: 65}
			s.Replace(test.listed, first, now.Add(time.Second))
			s.Replace(test.listed, first, time.Time{})
			for _, server := range test.put {
				s.Put(server)
			}
			require.Equal(t, test.live, isLive(s), "within the grace period")
			s.Expire(now.Add(time.Second), first)
			require.Equal(t, test.expired, isLive(s), "after the grace period")
			s.Replace(test.listed, first, time.Time{})
			require.Equal(t, test.expired, isLive(s), "after another listing")
		})
	}
}

func isLive(s *State) bool {
	s.Publish()
	listed := s.View().Servers("s")
	return len(listed) == 1 && listed[0].Presence == fleet.Live
}

// TestStored guards against listings for other instances that have what only this instance
// keeps, or that lack what the store lists.
func TestStored(t *testing.T) {
	s := NewState()
	s.Replace([]Server{at(server("a", 1), 1, 50), at(leaving(server("b", 1)), 1, 70)}, fleet.Position{Era: 1, Revision: 70}, time.Time{})
	listed := []Server{at(server("b", 1), 2, 50)}
	s.Replace(listed, fleet.Position{Era: 2, Revision: 65}, time.Unix(100, 0))
	s.Publish()
	require.Equal(t, 2, s.View().ServerCount())
	require.Equal(t, listed, s.View().Stored())
}

// TestLateResults guards against an older entry or removal that arrives after a newer one.
func TestLateResults(t *testing.T) {
	s := NewState()
	s.Put(at(leaving(server("a", 1)), 1, 12))
	s.Put(at(server("a", 1), 1, 11))
	require.False(t, isLive(s), "an older entry")
	s.Put(at(server("a", 2), 1, 14))
	require.False(t, s.Remove("a", fleet.Position{Era: 1, Revision: 13}))
	require.True(t, isLive(s), "an older removal")
	s.Remove("a", fleet.Position{Era: 1, Revision: 15})
	s.Put(at(server("a", 2), 1, 14))
	require.False(t, isLive(s), "an entry from before the removal")
}

// TestRemovalsAreForgotten guards against memory that grows with each server that ever left.
func TestRemovalsAreForgotten(t *testing.T) {
	s := NewState()
	now := time.Unix(100, 0)
	s.Remove("a", fleet.Position{Revision: 1})
	s.Expire(now, fleet.Position{Revision: 2})
	s.Expire(now.Add(removalTTL-time.Second), fleet.Position{Revision: 2})
	require.Len(t, s.removals, 1)
	s.Expire(now.Add(removalTTL), fleet.Position{Revision: 2})
	require.Empty(t, s.removals)
}
