package integration_test

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainBound and applyBound are the promises for leaving servers and for
	// configurations, and seenSlack the time that the store's answer takes to be
	// seen by the test.
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	seenSlack  = 100 * time.Millisecond
	// revertSlack is the promise for requests that overtake a configuration.
	revertSlack = 250 * time.Millisecond
)

// soakRun is a request that a server ran.
type soakRun struct {
	server string
	at     time.Time
}

// check compares what callers and servers saw.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs()
	served := 0
	for _, call := range s.calls {
		s.checkCall(call, runs[call.id])
		if call.status == 200 {
			served++
		}
	}
	s.checkLeaving(runs)
	s.checkVersions()
	s.t.Logf("%d of %d requests served", served, len(s.calls))
	require.Greater(s.t, served*4, len(s.calls), "a quarter is served at least")
}

// runs returns the requests that servers ran, by their id.
func (s *soak) runs() map[string][]soakRun {
	runs := make(map[string][]soakRun)
	for _, server := range s.servers {
		for _, run := range server.ExecutedRequests() {
			id := run.URI[strings.LastIndexByte(run.URI, '/')+1:]
			runs[id] = append(runs[id], soakRun{server: server.ID(), at: run.ReadAt})
		}
	}
	return runs
}

// checkCall checks that an answer is the right one, that a refusal is true, that a
// request that may run once ran once, and that planned work cuts nothing.
func (s *soak) checkCall(call soakCall, runs []soakRun) {
	if call.protect {
		require.LessOrEqual(s.t, len(runs), 1, "request %s ran twice: %v", call.id, runs)
	}
	switch call.status {
	case 200:
		require.True(s.t, strings.HasSuffix(call.body, "/"+call.id), "request %s got %q", call.id, call.body)
		require.NotEmpty(s.t, runs)
	case 408, 421, 429, 503:
		if call.protect {
			require.Empty(s.t, runs, "request %s was said not to have run", call.id)
		}
	case 0:
		// A request may cross the end of a kept connection; then it is not run.
		crossed := call.kept && len(runs) == 0
		require.False(s.t, s.planned && !crossed, "request %s got no answer in planned work: %s", call.id, call.body)
	default:
		require.False(s.t, s.planned, "request %s got %d %s in planned work", call.id, call.status, call.body)
	}
}

// checkLeaving checks that servers get nothing after they have left. Faults of the
// store and of links stretch the promise, so it holds in planned work.
func (s *soak) checkLeaving(runs map[string][]soakRun) {
	if !s.planned {
		return
	}
	for id, list := range runs {
		for _, run := range list {
			left, leaves := s.leaving[run.server]
			late := leaves && run.at.Sub(left) > drainBound+seenSlack
			require.False(s.t, late, "request %s reached %s after it left", id, run.server)
		}
	}
}

// checkVersions checks that no process goes back to an older configuration, and
// that in planned work each is in force in time.
func (s *soak) checkVersions() {
	processes := make(map[string][]soakCall)
	for _, call := range s.calls {
		if call.status == 200 && call.process > 0 {
			key := call.node + string(rune('0'+call.process))
			processes[key] = append(processes[key], call)
		}
	}
	for name, calls := range processes {
		s.checkProcess(name, calls)
	}
}

func (s *soak) checkProcess(name string, calls []soakCall) {
	slices.SortFunc(calls, func(a, b soakCall) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	type seen struct {
		version int
		at      time.Time
	}
	var before []seen
	for _, call := range calls {
		floor := 0
		for _, b := range before {
			if call.sent.Sub(b.at) > revertSlack {
				floor = max(floor, b.version)
			}
		}
		if s.planned {
			floor = max(floor, s.inForce(call.sent.Add(-applyBound-seenSlack)))
		}
		version, found := s.explain(call, floor)
		require.True(s.t, found, "%s served %s as no configuration from %d on allows: %s", name, call.id, floor, call.body)
		before = append(before, seen{version: version, at: call.done})
	}
}

// inForce returns the newest version that was acknowledged at a time.
func (s *soak) inForce(at time.Time) int {
	version := 0
	for i, v := range s.versions {
		if !v.at.After(at) {
			version = i
		}
	}
	return version
}

// explain returns the oldest version, from a floor on, that sends a request to the
// server that answered it. A version may be read before the test notes it.
func (s *soak) explain(call soakCall, floor int) (int, bool) {
	// Answers begin with the id of the server.
	service, _, _ := strings.Cut(call.body, "-")
	for i := floor; i < len(s.versions); i++ {
		if s.versions[i].service == service && !s.versions[i].at.Add(-seenSlack).After(call.done) {
			return i, true
		}
	}
	return 0, false
}
