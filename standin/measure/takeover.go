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

// takeoverTimeout is several times what fencing and the largest deadline take.
const takeoverTimeout = 30 * time.Second

func measureTakeover(ctx context.Context, o Options) (Result, error) {
	kills, deadlines := 2, []time.Duration{time.Second, 2 * time.Second}
	if o.Short {
		kills, deadlines = 1, deadlines[1:]
	}
	t := Table{
		Title:   "From the kill until another instance held each server (12 instances, 3 failure domains, 26 servers)",
		Columns: []string{"largest deadline of the service", "kill", "servers", "first", "last"},
		Notes:   []string{"A claimant waits for the fencing of the killed instance, then for the largest deadline and 500 ms."},
	}
	for _, deadline := range deadlines {
		shape := base
		shape.Deadline = deadline
		if err := takeovers(ctx, o, shape, kills, &t); err != nil {
			return Result{Tables: []Table{t}}, err
		}
	}
	return Result{Tables: []Table{t}}, nil
}

// takeovers kills instances of one fleet one after another.
func takeovers(ctx context.Context, o Options, shape synthetic.Shape, kills int, t *Table) error {
	f, err := open(ctx, o, shape)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pause.For(ctx, settleTime); err != nil {
		return err
	}
	for kill := range kills {
		slot, owned, err := largestOwner(ctx, f, kill)
		if err != nil {
			return err
		}
		first, last, err := takeover(ctx, f, slot, owned)
		if err != nil {
			return err
		}
		t.add(shape.Deadline, kill+1, len(owned), duration(first), duration(last))
		o.Progress(fmt.Sprintf("takeover %d servers of %s: %s to %s", len(owned), slot, first, last))
	}
	return nil
}

// largestOwner returns the instance with the most servers among those that
// were not killed, which are the first ones.
func largestOwner(ctx context.Context, f *harness.Fleet, killed int) (harness.Slot, []fleet.ServerID, error) {
	var largest harness.Slot
	var most []fleet.ServerID
	for _, slot := range f.Slots() {
		text, err := f.InstanceState(ctx, slot)
		if err != nil {
			if killed > 0 {
				continue
			}
			return "", nil, err
		}
		var state operator.InstanceState
		if err := json.Unmarshal(text, &state); err != nil {
			return "", nil, err
		}
		if len(state.OwnedServers) <= len(most) {
			continue
		}
		largest, most = slot, nil
		for _, s := range state.OwnedServers {
			most = append(most, s.ID)
		}
	}
	return largest, most, nil
}

// takeover kills an instance and returns when the first and the last of its
// servers had a new owner.
func takeover(ctx context.Context, f *harness.Fleet, slot harness.Slot, owned []fleet.ServerID) (first, last time.Duration, err error) {
	began := time.Now()
	if err := f.Kill(ctx, slot); err != nil {
		return 0, 0, err
	}
	last, err = awaitLog(ctx, f, began, takeoverTimeout, func(lines map[harness.Slot][]logline.Line) (time.Time, bool) {
		acquired := map[fleet.Resource]time.Time{}
		for of, all := range lines {
			for _, l := range all {
				if of == slot {
					continue
				}
				for _, resource := range l.Acquired {
					acquired[resource] = l.Time
				}
			}
		}
		var end time.Time
		first = 0
		for _, id := range owned {
			at, ok := acquired[fleet.ServerResource(id)]
			if !ok {
				return end, false
			}
			if at.After(end) {
				end = at
			}
			if took := at.Sub(began); first == 0 || took < first {
				first = took
			}
		}
		return end, true
	})
	return first, last, err
}
