package harness

import (
	"context"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"galenaridge/core/fleet"
	"galenaridge/standin/link"
	"galenaridge/standin/platform"
	"galenaridge/standin/server"
)

// Slots returns all slots in their order.
func (f *Fleet) Slots() []Slot {
	var slots []Slot
	for _, p := range f.layout.places {
		slots = append(slots, p.slot)
	}
	return slots
}

// DomainOf returns the failure domain of a slot, or "" if there is no such
// slot.
func (f *Fleet) DomainOf(slot Slot) fleet.Domain {
	at, _ := f.layout.place(slot)
	return at.domain
}

// InstanceID returns the id of the process that runs in a slot.
func (f *Fleet) InstanceID(slot Slot) (fleet.InstanceID, error) {
	in, _, err := f.find(slot)
	if err != nil {
		return "", err
	}
	return in.id, nil
}

// Entry returns the address of a slot for callers.
func (f *Fleet) Entry(slot Slot) fleet.Address {
	at, _ := f.layout.place(slot)
	return at.caller
}

// Entries returns the addresses for callers of all slots.
func (f *Fleet) Entries() []fleet.Address {
	var entries []fleet.Address
	for _, p := range f.layout.places {
		entries = append(entries, p.caller)
	}
	return entries
}

// ClientDialAddresses returns which address a caller dials in place of the address of
// an instance, so that its traffic has the delay of clients.
func (f *Fleet) ClientDialAddresses() map[fleet.Address]fleet.Address {
	return f.layout.clientVia(f.opened)
}

// Servers returns all servers as the platform lists them when live.
func (f *Fleet) Servers() []fleet.ListedServer { return f.layout.listing().Servers }

// InstanceState returns the state of an instance as it reports it, in JSON.
func (f *Fleet) InstanceState(ctx context.Context, slot Slot) ([]byte, error) {
	at, ok := f.layout.place(slot)
	if !ok {
		return nil, eris.Wrap(errUnknown, string(slot))
	}
	return f.control.do(ctx, http.MethodGet, at.operator, "/state", nil)
}

// InstanceMetrics returns the metrics of an instance in text form.
func (f *Fleet) InstanceMetrics(ctx context.Context, slot Slot) ([]byte, error) {
	at, ok := f.layout.place(slot)
	if !ok {
		return nil, eris.Wrap(errUnknown, string(slot))
	}
	return f.control.do(ctx, http.MethodGet, at.operator, "/metrics", nil)
}

// ServerStats returns the counts of all servers whose process runs.
func (f *Fleet) ServerStats(ctx context.Context) (map[fleet.ServerID]server.Stats, error) {
	return fromServers[server.Stats](ctx, f, "/stats")
}

// KeyRunCounts returns how often each protected key started to run on all
// servers together, including servers that run alone and were killed.
func (f *Fleet) KeyRunCounts(ctx context.Context) (map[fleet.Key]int, error) {
	all, err := fromServers[map[fleet.Key]int](ctx, f, "/keys")
	if err != nil {
		return nil, err
	}
	for _, id := range f.options.Deployment.SeparateServers {
		all[id], err = readJournal(f.journalFile(id))
		if err != nil {
			return nil, err
		}
	}
	sum := map[fleet.Key]int{}
	for _, keys := range all {
		for key, runs := range keys {
			sum[key] += runs
		}
	}
	return sum, nil
}

// readJournal counts the keys in the journal of a server.
func readJournal(name string) (map[fleet.Key]int, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, eris.Wrap(err, "read a journal")
	}
	keys := map[fleet.Key]int{}
	for line := range strings.Lines(string(text)) {
		keys[fleet.Key(strings.TrimSuffix(line, "\n"))]++
	}
	return keys, nil
}

// PlatformStats returns the counts of the platform's calls.
func (f *Fleet) PlatformStats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := f.control.get(ctx, f.layout.operators, "/stats", &stats)
	return stats, err
}

// LinkStates returns the states of all links.
func (f *Fleet) LinkStates(ctx context.Context) ([]link.State, error) {
	var states []link.State
	err := f.control.get(ctx, f.layout.control, "/links", &states)
	return states, err
}

// LogFiles returns the log file of each process by its name; an instance has
// the name of its slot.
func (f *Fleet) LogFiles() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	files := map[string]string{}
	for name, p := range f.parts {
		files[name] = p.logFile
	}
	for slot, in := range f.instances {
		files[string(slot)] = in.logFile
	}
	return files
}

// ProcessIDs returns the ids of the processes that run.
func (f *Fleet) ProcessIDs() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	processes := slices.Collect(maps.Values(f.parts))
	for _, in := range f.instances {
		processes = append(processes, in.process)
	}
	var ids []int
	for _, p := range processes {
		if p.running() {
			ids = append(ids, p.command.Process.Pid)
		}
	}
	return ids
}

// InstancePID returns the id of the process that runs in a slot.
func (f *Fleet) InstancePID(slot Slot) (int, error) {
	in, _, err := f.find(slot)
	if err != nil {
		return 0, err
	}
	return in.command.Process.Pid, nil
}

// find returns the instance in a slot and its place.
func (f *Fleet) find(slot Slot) (*instance, place, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in, ok := f.instances[slot]
	if !ok {
		return nil, place{}, eris.Wrap(errUnknown, string(slot))
	}
	at, _ := f.layout.place(slot)
	return in, at, nil
}

// running returns the instances whose process runs.
func (f *Fleet) running() map[Slot]*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := map[Slot]*instance{}
	for slot, in := range f.instances {
		if in.running() {
			running[slot] = in
		}
	}
	return running
}

// fromServers reads the same path from all servers whose process runs.
func fromServers[T any](ctx context.Context, f *Fleet, path string) (map[fleet.ServerID]T, error) {
	var mu sync.Mutex
	all := map[fleet.ServerID]T{}
	p := pool.New().WithContext(ctx).WithFirstError()
	for _, s := range f.layout.servers {
		f.mu.Lock()
		runs := f.parts[f.layout.processOf(s)].running()
		f.mu.Unlock()
		if !runs {
			continue
		}
		p.Go(func(ctx context.Context) error {
			var value T
			if err := f.control.get(ctx, s.options.Control, path, &value); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			all[s.options.ID] = value
			return nil
		})
	}
	return all, p.Wait()
}
