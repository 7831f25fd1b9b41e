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

// Slots returns all slots in the order of their numbers.
func (f *Fleet) Slots() []Slot {
	var slots []Slot
	for _, s := range f.layout.slots {
		slots = append(slots, s.slot)
	}
	return slots
}

// DomainOf returns the failure domain of a slot, or an empty one if there is no
// such slot.
func (f *Fleet) DomainOf(slot Slot) fleet.Domain {
	layout, _ := f.layout.findSlot(slot)
	return layout.domain
}

// InstanceID returns the instance id of the latest process in a slot.
func (f *Fleet) InstanceID(slot Slot) (fleet.InstanceID, error) {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return "", err
	}
	return inst.id, nil
}

// Entry returns the caller address of a slot, or an empty one if there is no such
// slot.
func (f *Fleet) Entry(slot Slot) fleet.Address {
	layout, _ := f.layout.findSlot(slot)
	return layout.callerAddress
}

// Entries returns the caller addresses of all slots.
func (f *Fleet) Entries() []fleet.Address {
	var entries []fleet.Address
	for _, s := range f.layout.slots {
		entries = append(entries, s.callerAddress)
	}
	return entries
}

// ClientDialAddresses maps the caller address of each slot to the link address
// that callers dial instead, so that their traffic has ClientDelay. It is empty if
// ClientDelay is zero.
func (f *Fleet) ClientDialAddresses() map[fleet.Address]fleet.Address {
	return f.layout.clientDialAddresses(f.linkAddresses)
}

// Servers returns the listing entries of all servers, with each server live.
func (f *Fleet) Servers() []fleet.ListedServer { return f.layout.liveListing().Servers }

// InstanceState returns the JSON state that an instance reports to operators.
func (f *Fleet) InstanceState(ctx context.Context, slot Slot) ([]byte, error) {
	layout, ok := f.layout.findSlot(slot)
	if !ok {
		return nil, eris.Wrap(errUnknownPart, string(slot))
	}
	return f.control.request(ctx, http.MethodGet, layout.operatorAddress, "/state", nil)
}

// InstanceMetrics returns the metrics of an instance in their text format.
func (f *Fleet) InstanceMetrics(ctx context.Context, slot Slot) ([]byte, error) {
	layout, ok := f.layout.findSlot(slot)
	if !ok {
		return nil, eris.Wrap(errUnknownPart, string(slot))
	}
	return f.control.request(ctx, http.MethodGet, layout.operatorAddress, "/metrics", nil)
}

// ServerStats returns the counters of all servers whose process runs.
func (f *Fleet) ServerStats(ctx context.Context) (map[fleet.ServerID]server.Stats, error) {
	return getFromServers[server.Stats](ctx, f, "/stats")
}

// KeyRunCounts returns the number of runs of each protected key, summed over all
// servers. Runs that have only started count too, and so do runs on killed
// servers listed in SeparateServers.
func (f *Fleet) KeyRunCounts(ctx context.Context) (map[fleet.Key]int, error) {
	counts, err := getFromServers[map[fleet.Key]int](ctx, f, "/keys")
	if err != nil {
		return nil, err
	}
	for _, id := range f.options.Deployment.SeparateServers {
		counts[id], err = countJournalKeys(f.journalFile(id))
		if err != nil {
			return nil, err
		}
	}
	sum := map[fleet.Key]int{}
	for _, keys := range counts {
		for key, runs := range keys {
			sum[key] += runs
		}
	}
	return sum, nil
}

// countJournalKeys returns how many times each key occurs in a server's journal.
func countJournalKeys(name string) (map[fleet.Key]int, error) {
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

// PlatformStats returns the call counters of the platform.
func (f *Fleet) PlatformStats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := f.control.getJSON(ctx, f.layout.platformControl, "/stats", &stats)
	return stats, err
}

// LinkStates returns the states of all links.
func (f *Fleet) LinkStates(ctx context.Context) ([]link.State, error) {
	var states []link.State
	err := f.control.getJSON(ctx, f.layout.linkControl, "/links", &states)
	return states, err
}

// LogFiles returns the path of each log file by the name of its process. For
// instances this name is the slot.
func (f *Fleet) LogFiles() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	files := map[string]string{}
	for name, p := range f.standIns {
		files[name] = p.logFile
	}
	for slot, inst := range f.instances {
		files[string(slot)] = inst.logFile
	}
	return files
}

// ProcessIDs returns the process IDs of all running processes.
func (f *Fleet) ProcessIDs() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	processes := slices.Collect(maps.Values(f.standIns))
	for _, inst := range f.instances {
		processes = append(processes, inst.process)
	}
	var ids []int
	for _, p := range processes {
		if p.running() {
			ids = append(ids, p.command.Process.Pid)
		}
	}
	return ids
}

// InstancePID returns the process ID of the latest process in a slot.
func (f *Fleet) InstancePID(slot Slot) (int, error) {
	inst, _, err := f.findInstance(slot)
	if err != nil {
		return 0, err
	}
	return inst.command.Process.Pid, nil
}

// findInstance returns the latest instance in a slot and the slot's layout.
func (f *Fleet) findInstance(slot Slot) (*instance, slotLayout, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst, ok := f.instances[slot]
	if !ok {
		return nil, slotLayout{}, eris.Wrap(errUnknownPart, string(slot))
	}
	layout, _ := f.layout.findSlot(slot)
	return inst, layout, nil
}

// runningInstances returns the instances whose processes run, by slot.
func (f *Fleet) runningInstances() map[Slot]*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := map[Slot]*instance{}
	for slot, inst := range f.instances {
		if inst.running() {
			running[slot] = inst
		}
	}
	return running
}

// getFromServers reads the JSON value at a control path from each server whose
// process runs.
func getFromServers[T any](ctx context.Context, f *Fleet, path string) (map[fleet.ServerID]T, error) {
	var mu sync.Mutex
	values := map[fleet.ServerID]T{}
	requests := pool.New().WithContext(ctx).WithFirstError()
	for _, s := range f.layout.servers {
		f.mu.Lock()
		running := f.standIns[f.layout.processName(s)].running()
		f.mu.Unlock()
		if !running {
			continue
		}
		requests.Go(func(ctx context.Context) error {
			var value T
			if err := f.control.getJSON(ctx, s.options.Control, path, &value); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			values[s.options.ID] = value
			return nil
		})
	}
	return values, requests.Wait()
}
