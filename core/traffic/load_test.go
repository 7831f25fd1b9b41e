package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/exchange"
)

// TestLoadTable guards against the use of outdated loads, and against entries of
// replaced instances that are never removed.
func TestLoadTable(t *testing.T) {
	now := time.Now()
	quarterLoad := exchange.Load{Slots: 4, Busy: 1}
	tests := []struct {
		name   string
		record func(table *loadTable)
		at     time.Duration
		cost   float64
		kept   bool
	}{
		{"unknown", func(*loadTable) {}, 0, unknownLoadCost, false},
		{"reported", func(table *loadTable) { table.recordLoad("s", "a", quarterLoad, now) }, time.Second, 0.25, true},
		{"reported long ago", func(table *loadTable) { table.recordLoad("s", "a", quarterLoad, now) }, 3 * time.Second, unknownLoadCost, false},
		{"without slots", func(table *loadTable) { table.recordLoad("s", "a", exchange.Load{}, now) }, time.Second, unreachableCost / 2, true},
		{"avoided", func(table *loadTable) { table.markUnreachable("s", "a", now.Add(time.Second)) }, 500 * time.Millisecond, unreachableCost, true},
		{"no longer avoided", func(table *loadTable) { table.markUnreachable("s", "a", now.Add(time.Second)) }, time.Second, unknownLoadCost, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table loadTable
			tt.record(&table)
			at := now.Add(tt.at)
			assert.InDelta(t, tt.cost, table.cost("s", "a", at), 1e-9)
			table.removeExpired(at)
			_, kept := table.entries.Load(loadKey{"s", "a"})
			assert.Equal(t, tt.kept, kept)
		})
	}
}

// TestPendingRequests guards against an owner that is chosen repeatedly although its
// replies are lost.
func TestPendingRequests(t *testing.T) {
	now := time.Now()
	var table loadTable
	var ends []func()
	for range 40 {
		if table.cost("s", "silent", now) <= table.cost("s", "other", now) {
			ends = append(ends, table.trackRequest("s", "silent"))
		}
	}
	assert.Len(t, ends, 1)
	table.removeExpired(now)
	assert.Greater(t, table.cost("s", "silent", now), table.cost("s", "other", now))
	for _, end := range ends {
		end()
	}
	table.removeExpired(now)
	_, kept := table.pending.Load(loadKey{"s", "silent"})
	assert.False(t, kept)
}
