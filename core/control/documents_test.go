package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// watchers returns the members that watch after a time of silence, each by its
// own computation.
func watchers(ids []fleet.InstanceID, silence time.Duration) []fleet.InstanceID {
	now := time.Unix(1000, 0)
	n := &node{platformAt: now.Add(-silence)}
	var chosen []fleet.InstanceID
	for i, self := range ids {
		others := slices.Delete(slices.Clone(ids), i, i+1)
		if rankAmong("a", self, others) < n.watcherCount(now) {
			chosen = append(chosen, self)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// TestWatchers guards against too many reads of the platform, and against a
// platform that nobody watches although one member reaches it.
func TestWatchers(t *testing.T) {
	tests := []struct {
		name    string
		members int
		silence time.Duration
		want    int
	}{
		{"none", 0, 0, 0},
		{"one", 1, 0, 1},
		{"all well", 7, 0, 2},
		{"a short silence", 7, platformSilence - time.Millisecond, 2},
		{"the first two read nothing", 7, platformSilence, 4},
		{"four read nothing", 7, 2 * platformSilence, 6},
		{"nobody reads", 7, 3 * platformSilence, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ids []fleet.InstanceID
			for i := range test.members {
				ids = append(ids, fleet.InstanceID(fmt.Sprintf("i%d", i)))
			}
			got := watchers(ids, test.silence)
			require.Len(t, got, test.want)
			require.Subset(t, watchers(ids, test.silence+platformSilence), got, "those that watch go on")
			slices.Reverse(ids)
			require.Equal(t, got, watchers(ids, test.silence), "the order of the list must not matter")
		})
	}
}
