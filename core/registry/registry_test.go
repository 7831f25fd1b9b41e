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

// TestReplace guards against servers that stay after they are gone, and against
// those that are dropped since their entries lapsed.
func TestReplace(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name  string
		keep  time.Time
		later time.Time
		again bool
		want  []fleet.ServerID
	}{
		{"gone at once", time.Time{}, now, false, []fleet.ServerID{"b"}},
		{"kept after an outage", now.Add(time.Second), now, false, []fleet.ServerID{"a", "b"}},
		{"gone when its time is up", now.Add(time.Second), now.Add(time.Second), false, []fleet.ServerID{"b"}},
		{"back in time", now.Add(time.Second), now.Add(time.Second), true, []fleet.ServerID{"a", "b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Replace([]Server{server("a", 1), server("b", 1)}, time.Time{})
			s.Replace([]Server{server("b", 1)}, test.keep)
			if test.again {
				s.Put(server("a", 1))
			}
			s.Expire(test.later)
			require.Equal(t, test.want, ids(s))
		})
	}
}

// TestPublish guards against views that change under their readers, and against
// work for reports that change nothing.
func TestPublish(t *testing.T) {
	s := NewState()
	s.Put(server("a", 1))
	require.True(t, s.Publish())
	before := s.View()
	warm := server("a", 1)
	s.Put(warm)
	require.False(t, s.Publish(), "the same entry changes nothing")
	s.Put(server("a", 2))
	require.True(t, s.Publish(), "another start does")
	require.Equal(t, StartTime(1), before.Servers("s")[0].StartedAt)
	require.Equal(t, StartTime(2), s.View().Servers("s")[0].StartedAt)
	s.Remove("a")
	s.Remove("unknown")
	require.True(t, s.Publish())
	require.Zero(t, s.View().ServerCount())
}
