package health

import (
	"cmp"
	"slices"
	"time"

	"galenaridge/core/fleet"
)

// Status is the condition of one server.
type Status struct {
	Server    fleet.ServerID
	Condition Condition
	Reason    Reason
	Since     time.Time
	// Severity orders servers by how much speaks against them.
	Severity float64
	// HasPermit says whether the owner holds a permit for the server.
	HasPermit bool
	// Relapses counts ejections that have not decayed yet.
	Relapses int
}

// View is an immutable copy of the conditions of the owned servers.
type View struct {
	statuses []Status
	median   time.Duration
}

// View returns an immutable copy of the conditions.
func (s *Detector) View() View {
	statuses := make([]Status, 0, len(s.servers))
	for _, v := range s.servers {
		statuses = append(statuses, v.status)
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })
	view := View{statuses: statuses}
	if len(s.medians) > 0 {
		view.median = s.medians[len(s.medians)/2]
	}
	return view
}

// Status returns the condition of a server and whether it is known.
func (v View) Status(id fleet.ServerID) (Status, bool) {
	i, found := slices.BinarySearchFunc(v.statuses, id, func(s Status, id fleet.ServerID) int {
		return cmp.Compare(s.Server, id)
	})
	if !found {
		return Status{}, false
	}
	return v.statuses[i], true
}

// All returns the condition of each server in order of id.
func (v View) All() []Status { return slices.Clone(v.statuses) }

// Usable returns the servers that accept connections and do not leave, for
// the report to the steward.
func (v View) Usable() []fleet.ServerID {
	var usable []fleet.ServerID
	for _, s := range v.statuses {
		if s.Condition != Dead && s.Condition != Draining {
			usable = append(usable, s.Server)
		}
	}
	return usable
}

// EjectionRequests returns the servers that need or hold a permit, for the report to
// the steward. A server on trial is about to return, so it gives way first.
func (v View) EjectionRequests() []EjectionRequest {
	var wishes []EjectionRequest
	for _, s := range v.statuses {
		switch s.Condition {
		case Suspect:
			if s.Reason != Untested {
				wishes = append(wishes, EjectionRequest{Server: s.Server, Severity: s.Severity})
			}
		case Ejected:
			wishes = append(wishes, EjectionRequest{Server: s.Server, Severity: s.Severity})
		case Trial:
			wishes = append(wishes, EjectionRequest{Server: s.Server, Severity: s.Severity / 2})
		case Healthy, Dead, Draining:
		}
	}
	return wishes
}

// MedianLatency returns the recent median latency over the owned healthy servers;
// zero if too few requests ended.
func (v View) MedianLatency() time.Duration { return v.median }

// judge weighs the evidence against a server.
func (s *Detector) judge(now time.Time, v *server) evidence {
	c := s.compare(now, v)
	return c.judge(&v.window, &v.snapshot, now.Sub(s.resumed))
}

// compare returns what a server is judged against: the other servers known
// here if there are enough, else the median of the service, else, if that is
// allowed, the latencies learned here.
func (s *Detector) compare(now time.Time, v *server) comparison {
	c := comparison{thresholds: &s.thresholds, stallAge: s.stallAge}
	own := 0
	if v.status.Condition == Healthy && v.median > 0 {
		own = 1
	}
	switch {
	case len(s.medians)-own >= 2:
		c.median = medianWithout(s.medians, v.median, own == 1)
	case s.baseline > 0 && now.Sub(s.baselineAt) < baselineLife:
		c.median = s.baseline
	case s.thresholds.slowAlone && s.learned.total() >= learnedEnough:
		c.median = s.learned.quantile(0.5)
	}
	return c
}

// medianWithout returns the median of sorted durations, leaving one of them
// out if so asked.
func medianWithout(sorted []time.Duration, left time.Duration, leave bool) time.Duration {
	if !leave {
		return sorted[len(sorted)/2]
	}
	middle := (len(sorted) - 1) / 2
	if at, found := slices.BinarySearch(sorted, left); found && at <= middle {
		middle++
	}
	return sorted[middle]
}

// medianOf returns the median latency over a window; zero if it holds fewer
// than enough.
func medianOf(w *window, enough int) time.Duration {
	if w.sum.timed < enough {
		return 0
	}
	return w.sum.latencies.quantile(0.5)
}
