package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
)

// watchers returns the members that watch the platform if no instance has read
// it for the duration silence. Each member decides for itself.
func watchers(ids []fleet.InstanceID, silence time.Duration) []fleet.InstanceID {
	now := time.Unix(1000, 0)
	n := &node{platformReadAt: now.Add(-silence)}
	var chosen []fleet.InstanceID
	for i, self := range ids {
		others := slices.Delete(slices.Clone(ids), i, i+1)
		if watchRankAmong("a", self, others) < n.watcherCount(now) {
			chosen = append(chosen, self)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// TestWatchers guards against too many reads of the platform, and against a
// platform that nobody watches although one member can reach it.
func TestWatchers(t *testing.T) {
	tests := []struct {
		name    string
		members int
		silence time.Duration
		want    int
	}{
		{"no member", 0, 0, 0},
		{"one member", 1, 0, 1},
		{"recent read", 7, 0, 2},
		{"just before the timeout", 7, platformSilenceTimeout - time.Millisecond, 2},
		{"the first two cannot read", 7, platformSilenceTimeout, 4},
		{"the first four cannot read", 7, 2 * platformSilenceTimeout, 6},
		{"no member can read", 7, 3 * platformSilenceTimeout, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ids []fleet.InstanceID
			for i := range test.members {
				ids = append(ids, fleet.InstanceID(fmt.Sprintf("i%d", i)))
			}
			got := watchers(ids, test.silence)
			require.Len(t, got, test.want)
			require.Subset(t, watchers(ids, test.silence+platformSilenceTimeout), got, "members that watch must keep watching")
			slices.Reverse(ids)
			require.Equal(t, got, watchers(ids, test.silence), "the order of the list must not matter")
		})
	}
}
