package integration_test

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainBound is the guaranteed maximum time until a draining server receives
	// no more requests.
	drainBound = 2 * time.Second
	// applyBound is the guaranteed maximum time until all instances use a new
	// configuration.
	applyBound = 2 * time.Second
	// observationSlack allows for the delay between a write to the store and the
	// time that the test records for it.
	observationSlack = 100 * time.Millisecond
	// revertSlack is the guaranteed maximum time for which a process may still
	// serve requests by an older configuration after it finished a request by a
	// newer one. Requests can overtake a configuration change.
	revertSlack = 250 * time.Millisecond
)

// soakRun is a request that a server ran.
type soakRun struct {
	// server is the id of the server.
	server    string
	startedAt time.Time
}

// checkGuarantees checks the guarantees against the calls of callers and the runs
// of servers.
func (s *soak) checkGuarantees() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runsByRequest()
	served, unseen := 0, 0
	type result struct {
		instance string
		status   int
	}
	results := make(map[result]int)
	for _, call := range s.calls {
		s.checkCall(call, runs[call.id])
		results[result{call.instance, call.status}]++
		switch {
		case call.status == 200:
			served++
		case call.refusedByLink():
			unseen++
		}
	}
	s.checkDrainedServers(runs)
	s.checkConfigVersions()
	s.t.Logf("%d of %d requests served; by instance and status: %v", served, len(s.calls), results)
	require.Greater(s.t, served*4, len(s.calls)-unseen, "at least a quarter of the requests that reached an instance is served")
}

// runsByRequest returns the runs of each request on all servers, by the id of the
// request.
func (s *soak) runsByRequest() map[string][]soakRun {
	runs := make(map[string][]soakRun)
	for _, server := range s.servers {
		for _, run := range server.ExecutedRequests() {
			id := run.URI[strings.LastIndexByte(run.URI, '/')+1:]
			runs[id] = append(runs[id], soakRun{server: server.ID(), startedAt: run.ReadAt})
		}
	}
	return runs
}

// checkCall checks that a response belongs to the request, that a refused
// protected request did not run, that a protected request ran at most once, and
// that planned actions abort no request.
func (s *soak) checkCall(call soakCall, runs []soakRun) {
	if call.protected {
		require.LessOrEqual(s.t, len(runs), 1, "request %s ran twice: %v", call.id, runs)
	}
	switch call.status {
	case 200:
		require.True(s.t, strings.HasSuffix(call.body, "/"+call.id), "request %s got %q", call.id, call.body)
		require.NotEmpty(s.t, runs)
	case 408, 421, 429, 503:
		if call.protected {
			require.Empty(s.t, runs, "request %s ran despite a status for requests that are not run", call.id)
		}
	case 0:
		// The instance may close a reused connection while the caller sends a
		// request over it. Such a request is not run.
		racedWithClose := call.reused && len(runs) == 0
		require.False(s.t, s.plannedOnly && !racedWithClose, "request %s got no response during planned actions: %s", call.id, call.body)
	default:
		require.False(s.t, s.plannedOnly, "request %s got %d %s during planned actions", call.id, call.status, call.body)
	}
}

// checkDrainedServers checks that servers receive no requests later than
// drainBound after they were marked as draining. Faults of the store and of links
// delay the update, so only runs without faults are checked.
func (s *soak) checkDrainedServers(runs map[string][]soakRun) {
	if !s.plannedOnly {
		return
	}
	for id, requestRuns := range runs {
		for _, run := range requestRuns {
			drainedAt, draining := s.drainingSince[run.server]
			late := draining && run.startedAt.Sub(drainedAt) > drainBound+observationSlack
			require.False(s.t, late, "request %s reached %s after it was drained", id, run.server)
		}
	}
}

// checkConfigVersions checks that no process reverts to an older configuration,
// and that each configuration is in use within applyBound in runs without faults.
func (s *soak) checkConfigVersions() {
	processes := make(map[string][]soakCall)
	for _, call := range s.calls {
		if call.status == 200 && call.processNumber > 0 {
			key := call.instance + string(rune('0'+call.processNumber))
			processes[key] = append(processes[key], call)
		}
	}
	for name, calls := range processes {
		s.checkProcess(name, calls)
	}
}

func (s *soak) checkProcess(name string, calls []soakCall) {
	slices.SortFunc(calls, func(a, b soakCall) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	type observation struct {
		version int
		at      time.Time
	}
	var observations []observation
	for _, call := range calls {
		minVersion := 0
		for _, earlier := range observations {
			if call.sentAt.Sub(earlier.at) > revertSlack {
				minVersion = max(minVersion, earlier.version)
			}
		}
		if s.plannedOnly {
			minVersion = max(minVersion, s.requiredVersion(call.sentAt.Add(-applyBound-observationSlack)))
		}
		version, found := s.oldestMatchingVersion(call, minVersion)
		require.True(s.t, found, "%s served %s by none of the configurations from index %d on: %s", name, call.id, minVersion, call.body)
		observations = append(observations, observation{version: version, at: call.doneAt})
	}
}

// requiredVersion returns the index of the newest configuration that the store had
// acknowledged at a time.
func (s *soak) requiredVersion(at time.Time) int {
	newest := 0
	for i, version := range s.versions {
		if !version.acknowledgedAt.After(at) {
			newest = i
		}
	}
	return newest
}

// oldestMatchingVersion returns the index of the oldest configuration, from
// minVersion on, that routes requests to the service whose server sent the
// response. An instance may read a configuration up to observationSlack before the
// time that the test recorded for it.
func (s *soak) oldestMatchingVersion(call soakCall, minVersion int) (int, bool) {
	// Response bodies start with the id of the server, which starts with the name
	// of its service.
	service, _, _ := strings.Cut(call.body, "-")
	for i := minVersion; i < len(s.versions); i++ {
		if s.versions[i].service == service && !s.versions[i].acknowledgedAt.Add(-observationSlack).After(call.doneAt) {
			return i, true
		}
	}
	return 0, false
}
