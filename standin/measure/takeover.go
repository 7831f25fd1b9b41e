package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
	"galenaridge/standin/logline"
	"galenaridge/standin/pause"
	"galenaridge/standin/synthetic"
)

// takeoverTimeout is several times the sum of the fencing time and the largest
// deadline.
const takeoverTimeout = 30 * time.Second

// measureTakeover measures the time from the kill of an instance until other
// instances own its servers.
func measureTakeover(ctx context.Context, o Options) (Result, error) {
	killCount, deadlines := 2, []time.Duration{time.Second, 2 * time.Second}
	if o.Short {
		killCount, deadlines = 1, deadlines[1:]
	}
	t := Table{
		Title:   "From the kill until another instance held each server (12 instances, 3 failure domains, 26 servers)",
		Columns: []string{"largest deadline of the service", "kill", "servers", "first", "last"},
		Notes:   []string{"A claimant waits for the fencing of the killed instance, then for the largest deadline and 500 ms."},
	}
	for _, deadline := range deadlines {
		shape := baseShape
		shape.MaxDeadline = deadline
		if err := measureTakeovers(ctx, o, shape, killCount, &t); err != nil {
			return Result{Tables: []Table{t}}, err
		}
	}
	return Result{Tables: []Table{t}}, nil
}

// measureTakeovers starts a fleet and kills the given number of its instances
// one after another. It adds a row to the table for each.
func measureTakeovers(ctx context.Context, o Options, shape synthetic.Shape, killCount int, t *Table) error {
	f, err := openFleet(ctx, o, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	for kill := range killCount {
		slot, ownedServers, err := largestOwner(ctx, f, kill)
		if err != nil {
			return err
		}
		first, last, err := killAndWait(ctx, f, slot, ownedServers)
		if err != nil {
			return err
		}
		t.add(shape.MaxDeadline, kill+1, len(ownedServers), formatDuration(first), formatDuration(last))
		o.Progress(fmt.Sprintf("takeover %d servers of %s: %s to %s", len(ownedServers), slot, first, last))
	}
	return nil
}

// largestOwner returns the slot whose instance owns the most servers, and those
// servers. After the first kill, it skips instances whose state cannot be read,
// since they may be killed ones.
func largestOwner(ctx context.Context, f *harness.Fleet, killedCount int) (harness.Slot, []fleet.ServerID, error) {
	var largest harness.Slot
	var mostServers []fleet.ServerID
	for _, slot := range f.Slots() {
		text, err := f.InstanceState(ctx, slot)
		if err != nil {
			if killedCount > 0 {
				continue
			}
			return "", nil, err
		}
		var state operator.InstanceState
		if err := json.Unmarshal(text, &state); err != nil {
			return "", nil, err
		}
		if len(state.OwnedServers) <= len(mostServers) {
			continue
		}
		largest, mostServers = slot, nil
		for _, s := range state.OwnedServers {
			mostServers = append(mostServers, s.ID)
		}
	}
	return largest, mostServers, nil
}

// killAndWait kills an instance, and returns the times from the kill until the
// first and until the last of its servers had a new owner.
func killAndWait(ctx context.Context, f *harness.Fleet, slot harness.Slot, ownedServers []fleet.ServerID) (first, last time.Duration, err error) {
	killedAt := time.Now()
	if err := f.Kill(ctx, slot); err != nil {
		return 0, 0, err
	}
	last, err = waitForLogEvent(ctx, f, killedAt, takeoverTimeout, func(lines map[harness.Slot][]logline.Line) (time.Time, bool) {
		acquiredAt := map[fleet.Resource]time.Time{}
		for logSlot, slotLines := range lines {
			for _, l := range slotLines {
				if logSlot == slot {
					continue
				}
				for _, resource := range l.Acquired {
					acquiredAt[resource] = l.Time
				}
			}
		}
		var lastAcquired time.Time
		first = 0
		for _, id := range ownedServers {
			at, ok := acquiredAt[fleet.ServerResource(id)]
			if !ok {
				return lastAcquired, false
			}
			if at.After(lastAcquired) {
				lastAcquired = at
			}
			if elapsed := at.Sub(killedAt); first == 0 || elapsed < first {
				first = elapsed
			}
		}
		return lastAcquired, true
	})
	return first, last, err
}
