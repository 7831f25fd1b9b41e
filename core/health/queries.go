package health

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Status describes the condition of one server.
type Status struct {
	Server    fleet.ServerID
	Condition Condition
	Reason    Reason
	Since     time.Time
	// Severity orders servers by the evidence against them; zero if there is none.
	Severity float64
	// HasPermit reports whether the owner holds an ejection permit for the server.
	HasPermit bool
	// Relapses counts the ejections that have not decayed yet.
	Relapses int
}

// View is an immutable copy of the conditions of the owned servers.
type View struct {
	statuses      []Status
	medianLatency time.Duration
}

// View returns an immutable copy of the conditions.
func (d *Detector) View() View {
	statuses := make([]Status, 0, len(d.servers))
	for _, s := range d.servers {
		statuses = append(statuses, s.status)
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	view := View{statuses: statuses}
	if len(d.healthyMedians) > 0 {
		view.medianLatency = d.healthyMedians[len(d.healthyMedians)/2]
	}
	return view
}

// Status returns the status of a server, and false if the server is not owned.
func (v View) Status(id fleet.ServerID) (Status, bool) {
	i, found := slices.BinarySearchFunc(v.statuses, id, func(s Status, id fleet.ServerID) int {
		return cmp.Compare(s.Server, id)
	})
	if !found {
		return Status{}, false
	}
	return v.statuses[i], true
}

// All returns the status of each server in order of id.
func (v View) All() []Status { return slices.Clone(v.statuses) }

// Usable returns the servers that are neither dead nor draining, for the report
// to the steward.
func (v View) Usable() []fleet.ServerID {
	var usable []fleet.ServerID
	for _, s := range v.statuses {
		if s.Condition != Dead && s.Condition != Draining {
			usable = append(usable, s.Server)
		}
	}
	return usable
}

// EjectionRequests returns the requests for the servers that need or hold a
// permit, for the report to the steward. A server on trial may soon be
// reinstated, so its severity is halved and its permit is revoked first.
func (v View) EjectionRequests() []EjectionRequest {
	var requests []EjectionRequest
	for _, s := range v.statuses {
		switch s.Condition {
		case Suspect:
			if s.Reason != Untested {
				requests = append(requests, EjectionRequest{Server: s.Server, Severity: s.Severity})
			}
		case Ejected:
			requests = append(requests, EjectionRequest{Server: s.Server, Severity: s.Severity})
		case Trial:
			requests = append(requests, EjectionRequest{Server: s.Server, Severity: s.Severity / 2})
		case Healthy, Dead, Draining:
		}
	}
	return requests
}

// MedianLatency returns the middle one of the recent median latencies of the
// owned healthy servers; zero if too few requests ended.
func (v View) MedianLatency() time.Duration { return v.medianLatency }

// assess returns the evidence against a server.
func (d *Detector) assess(now time.Time, s *server) evidence {
	c := d.comparisonFor(now, s)
	return c.assess(&s.window, &s.snapshot, now.Sub(d.resumedAt))
}

// comparisonFor returns the comparison for a server. Its baseline is the median
// of the other owned servers if there are at least two, else the baseline of the
// service, else, if compareLearned allows it, the median of the latencies learned
// by this instance.
func (d *Detector) comparisonFor(now time.Time, s *server) comparison {
	c := comparison{thresholds: &d.thresholds, stallAge: d.stallAge}
	ownMedians := 0
	if s.status.Condition == Healthy && s.median > 0 {
		ownMedians = 1
	}
	switch {
	case len(d.healthyMedians)-ownMedians >= 2:
		c.baseline = medianWithout(d.healthyMedians, s.median, ownMedians == 1)
	case d.baseline > 0 && now.Sub(d.baselineSetAt) < baselineTTL:
		c.baseline = d.baseline
	case d.thresholds.compareLearned && d.learnedLatencies.total() >= minLearned:
		c.baseline = d.learnedLatencies.quantile(0.5)
	}
	return c
}

// medianWithout returns the median of sorted durations, without one occurrence of
// excluded if exclude is set.
func medianWithout(sorted []time.Duration, excluded time.Duration, exclude bool) time.Duration {
	if !exclude {
		return sorted[len(sorted)/2]
	}
	middle := (len(sorted) - 1) / 2
	if at, found := slices.BinarySearch(sorted, excluded); found && at <= middle {
		middle++
	}
	return sorted[middle]
}

// windowMedian returns the median latency over a window; zero if it holds fewer
// than minCount latencies.
func windowMedian(w *window, minCount int) time.Duration {
	if w.sum.latencyCount < minCount {
		return 0
	}
	return w.sum.latencies.quantile(0.5)
}
