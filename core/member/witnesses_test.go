package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/fleet"
)

// Guards against a change of the witness set during which a certificate from one
// set and a lease from the other are valid at the same time.
func TestWitnessChangeNeedsBothMajorities(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	// The old witnesses are 0, 1, 2 and the new ones 2, 3, 4. Times are in
	// milliseconds before now; zero means never acknowledged.
	tests := []struct {
		name           string
		ackedMillisAgo [5]int
		acknowledged   []int
		committed      WitnessSetVersion
		leaseLeft      time.Duration
	}{
		{name: "old majority only", ackedMillisAgo: [5]int{100, 100, 100}, committed: 1},
		{name: "new majority only", ackedMillisAgo: [5]int{0, 0, 100, 100, 100}, acknowledged: []int{2, 3, 4}, committed: 1},
		{name: "the earlier end of both leases counts", ackedMillisAgo: [5]int{100, 100, 0, 700, 700}, acknowledged: []int{0, 3, 4}, committed: 1, leaseLeft: 1300 * time.Millisecond},
		{name: "committed by the old majority", ackedMillisAgo: [5]int{900, 900, 0, 100, 100}, acknowledged: []int{0, 1}, committed: 2, leaseLeft: 1900 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(now, Options{ID: "self", Random: rand.New(rand.NewPCG(1, 1))})
			var all []fleet.Member
			for i := range 5 {
				m := fleet.Member{ID: fleet.InstanceID(fmt.Sprint(i)), Incarnation: 1}
				all = append(all, m)
				s.MergeRecords(now, []Record{{Member: m, Status: Active}})
				if ago := tt.ackedMillisAgo[i]; ago > 0 {
					s.entries[m].witness.lastAckedSentAt = now.Add(-time.Duration(ago) * time.Millisecond)
				}
			}
			s.committed = witnessSet{version: 1, witnesses: all[:3]}
			s.proposed = witnessSet{version: 2, witnesses: all[2:]}
			for _, i := range tt.acknowledged {
				s.entries[all[i]].witness.ackedWitnessSetVersion = 2
			}
			s.commitWitnesses()
			s.renewLease(now, &Effects{})
			assert.Equal(t, tt.committed, s.committed.version)
			want := time.Time{}
			if tt.leaseLeft > 0 {
				want = now.Add(tt.leaseLeft)
			}
			assert.Equal(t, want, s.leaseUntil)
		})
	}
}

// Guards against a lease that is renewed after the witnesses may have dropped the
// record of its fencing.
func TestLongLapsedLeaseIsNotRenewed(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name   string
		pause  time.Duration
		former int
	}{
		{name: "short pause", pause: time.Minute},
		{name: "long pause", pause: 6 * time.Minute, former: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(start, Options{ID: "self", Random: rand.New(rand.NewPCG(1, 1))})
			witness := fleet.Member{ID: "w", Incarnation: 1}
			s.MergeRecords(start, []Record{{Member: witness, Status: Active}})
			s.committed = witnessSet{version: 1, witnesses: []fleet.Member{witness}}
			s.proposed = s.committed
			s.entries[witness].witness.lastAckedSentAt = start
			s.Tick(start)
			s.Tick(start.Add(tt.pause))
			assert.Len(t, s.View().FormerIncarnations(), tt.former)
		})
	}
}
