package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"galenaridge/core/exchange"
)

// TestLoadTable guards against loads that are believed too long, and against
// entries of replaced instances that stay for ever.
func TestLoadTable(t *testing.T) {
	now := time.Now()
	half := exchange.Load{Slots: 4, Busy: 1}
	tests := []struct {
		name string
		note func(table *loadTable)
		at   time.Duration
		cost float64
		kept bool
	}{
		{"unknown", func(*loadTable) {}, 0, neutralCost, false},
		{"reported", func(table *loadTable) { table.report("s", "a", half, now) }, time.Second, 0.25, true},
		{"reported long ago", func(table *loadTable) { table.report("s", "a", half, now) }, 3 * time.Second, neutralCost, false},
		{"without slots", func(table *loadTable) { table.report("s", "a", exchange.Load{}, now) }, time.Second, avoidCost / 2, true},
		{"avoided", func(table *loadTable) { table.avoid("s", "a", now.Add(time.Second)) }, 500 * time.Millisecond, avoidCost, true},
		{"avoided before", func(table *loadTable) { table.avoid("s", "a", now.Add(time.Second)) }, time.Second, neutralCost, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table loadTable
			tt.note(&table)
			at := now.Add(tt.at)
			assert.InDelta(t, tt.cost, table.cost("s", "a", at), 1e-9)
			table.sweep(at)
			_, kept := table.entries.Load(loadKey{"s", "a"})
			assert.Equal(t, tt.kept, kept)
		})
	}
}

// TestWaiting guards against an owner that is chosen again and again although
// its replies do not come.
func TestWaiting(t *testing.T) {
	now := time.Now()
	var table loadTable
	var ends []func()
	for range 40 {
		if table.cost("s", "silent", now) <= table.cost("s", "other", now) {
			ends = append(ends, table.begin("s", "silent"))
		}
	}
	assert.Len(t, ends, 1)
	table.sweep(now)
	assert.Greater(t, table.cost("s", "silent", now), table.cost("s", "other", now))
	for _, end := range ends {
		end()
	}
	table.sweep(now)
	_, kept := table.pending.Load(loadKey{"s", "silent"})
	assert.False(t, kept)
}
