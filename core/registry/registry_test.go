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
			s.Replace([]Server{server("a", 1), server("b", 1)}, time.Time{})
			s.Replace([]Server{server("b", 1)}, test.keepUntil)
			if test.relisted {
				s.Put(server("a", 1))
			}
			s.Expire(test.expireAt)
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
	s.Remove("a")
	s.Remove("unknown")
	require.True(t, s.Publish())
	require.Zero(t, s.View().ServerCount())
}
