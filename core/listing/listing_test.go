package listing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"galenaridge/core/fleet"
)

func drawList(t *rapid.T, revision fleet.Revision) fleet.Listing {
	list := fleet.Listing{Revision: revision, Instances: []fleet.ListedInstance{}, Servers: []fleet.ListedServer{}}
	for i := range 6 {
		if rapid.Bool().Draw(t, "server") {
			list.Servers = append(list.Servers, fleet.ListedServer{
				ID:       fleet.ServerID(fmt.Sprintf("s%d", i)),
				Presence: rapid.SampledFrom(fleet.PresenceValues()).Draw(t, "presence"),
			})
		}
		if rapid.Bool().Draw(t, "instance") {
			list.Instances = append(list.Instances, fleet.ListedInstance{
				ID:     fleet.InstanceID(fmt.Sprintf("i%d", i)),
				Domain: fleet.Domain(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")),
			})
		}
	}
	return list
}

// TestDeltasLeadToTheSameList guards against a receiver of deltas whose list differs from
// the listing of the sender.
func TestDeltasLeadToTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []fleet.Listing{drawList(t, 1)}
		var history History
		for revision := fleet.Revision(2); revision < 8; revision++ {
			next := drawList(t, revision)
			history = history.Add(Diff(lists[len(lists)-1], next))
			lists = append(lists, next)
		}
		latest := lists[len(lists)-1]
		for _, known := range lists[:len(lists)-1] {
			delta, found := history.Since(known.Revision)
			require.True(t, found)
			got, err := Apply(known, delta)
			require.NoError(t, err)
			require.Equal(t, latest, got)
		}
	})
}

// TestRevisions guards against deltas that are applied to a list of another revision.
func TestRevisions(t *testing.T) {
	step := func(from, to fleet.Revision) Delta { return Delta{From: from, To: to} }
	tests := []struct {
		name   string
		deltas []Delta
		known  fleet.Revision
		found  bool
	}{
		{"empty", nil, 1, false},
		{"reaches back", []Delta{step(1, 2), step(2, 5)}, 1, true},
		{"too old", []Delta{step(3, 4)}, 1, false},
		{"gap drops the earlier deltas", []Delta{step(1, 2), step(3, 4)}, 1, false},
		{"revision between two deltas", []Delta{step(1, 5)}, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var history History
			for _, d := range tt.deltas {
				history = history.Add(d)
			}
			_, found := history.Since(tt.known)
			require.Equal(t, tt.found, found)
		})
	}
	_, err := Apply(fleet.Listing{Revision: 1}, step(2, 3))
	require.ErrorIs(t, err, ErrRevisionMismatch)
}

// TestHistoryIsBounded guards against a history that grows without bound.
func TestHistoryIsBounded(t *testing.T) {
	var history History
	for revision := range fleet.Revision(3 * maxDeltas) {
		history = history.Add(Delta{From: revision, To: revision + 1})
	}
	require.Len(t, history.deltas, maxDeltas)
	_, found := history.Since(2 * maxDeltas)
	require.True(t, found)
}
