package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/standin/harness"
	"galenaridge/standin/logline"
)

// Summary is the result of a demo.
type Summary struct {
	Report  bench.Report
	Verdict bench.Verdict
	// DetectionTime is the time from the fault of the stalled server to its
	// first ejection; zero if it was not ejected.
	DetectionTime time.Duration
	// FalseEjections counts ejections of servers without a fault.
	FalseEjections int
	// PeakLoads holds one entry for each service.
	PeakLoads []PeakLoad
	// StopError is the error of the planned stop; nil if it succeeded.
	StopError error
}

// PeakLoad holds the highest numbers of concurrent requests and connections on
// any server of a service, and the limits of one server.
type PeakLoad struct {
	Service  fleet.ServiceName
	Requests int
	Slots    fleet.Slots
	Conns    int
	MaxConns fleet.Conns
}

// Violations describes each violated guarantee and a failed planned stop; empty
// if there are none.
func (s Summary) Violations() []string {
	var violations []string
	if len(s.Verdict.RunTwice) > 0 {
		violations = append(violations, fmt.Sprintf("%d protected requests ran more than once", len(s.Verdict.RunTwice)))
	}
	if len(s.Verdict.FalseNotRun) > 0 {
		violations = append(violations, fmt.Sprintf("%d requests ran although their callers received not-run", len(s.Verdict.FalseNotRun)))
	}
	if len(s.Verdict.FalseDone) > 0 {
		violations = append(violations, fmt.Sprintf("%d requests did not run although their callers received done", len(s.Verdict.FalseDone)))
	}
	if s.Report.Total.Wrong > 0 {
		violations = append(violations, fmt.Sprintf("%d callers got a wrong answer", s.Report.Total.Wrong))
	}
	for _, peak := range s.PeakLoads {
		if peak.Requests > int(peak.Slots) || peak.Conns > int(peak.MaxConns) {
			violations = append(violations, fmt.Sprintf("a server of %s exceeded its limits", peak.Service))
		}
	}
	if s.StopError != nil {
		violations = append(violations, "the planned stop failed: "+s.StopError.Error())
	}
	return violations
}

// Table returns the summary as text.
func (s Summary) Table() string {
	var b strings.Builder
	b.WriteString(s.Report.Table())
	fmt.Fprintf(&b, "\n%s\n", s.Verdict)
	detection := "not ejected"
	if s.DetectionTime > 0 {
		detection = s.DetectionTime.Round(time.Millisecond).String()
	}
	fmt.Fprintf(&b, "detection time of the stalled server: %s; false ejections: %d\n", detection, s.FalseEjections)
	for _, peak := range s.PeakLoads {
		fmt.Fprintf(&b, "highest load on a server of %s: %d requests of %d slots, %d connections of %d\n",
			peak.Service, peak.Requests, peak.Slots, peak.Conns, peak.MaxConns)
	}
	for _, violation := range s.Violations() {
		fmt.Fprintf(&b, "BROKEN: %s\n", violation)
	}
	return b.String()
}

// collectSummary reads the counters of the servers and the logs of the
// instances, and combines them with the report of the load.
func collectSummary(ctx context.Context, deployment harness.Deployment, f *harness.Fleet, report bench.Report, injected injectedFaults) (Summary, error) {
	keys, err := f.KeyRunCounts(ctx)
	if err != nil {
		return Summary{}, err
	}
	stats, err := f.ServerStats(ctx)
	if err != nil {
		return Summary{}, err
	}
	summary := Summary{Report: report, Verdict: report.Verify(keys), StopError: injected.stopError}
	for _, service := range deployment.Services {
		peak := PeakLoad{Service: service.Name, Slots: service.Slots, MaxConns: service.Conns}
		for _, stat := range stats {
			if stat.Service == service.Name {
				peak.Requests = max(peak.Requests, stat.PeakRequests)
				peak.Conns = max(peak.Conns, stat.PeakConns)
			}
		}
		summary.PeakLoads = append(summary.PeakLoads, peak)
	}
	for _, file := range f.LogFiles() {
		for _, line := range logline.Read(file, time.Time{}) {
			summary.recordEjection(line, injected)
		}
	}
	return summary, nil
}

// recordEjection counts the ejection that a log line reports, if it reports
// one: as the detection of the stalled server or as a false ejection. An
// ejection after a trial is a relapse and counts as neither.
func (s *Summary) recordEjection(line logline.Line, injected injectedFaults) {
	ejected := line.Message == logline.ConditionChanged && line.After == health.Ejected.String()
	if !ejected || line.Before == health.Trial.String() {
		return
	}
	if line.Server != injected.stalledServer {
		s.FalseEjections++
		return
	}
	if elapsed := line.Time.Sub(injected.stalledAt); s.DetectionTime == 0 || elapsed < s.DetectionTime {
		s.DetectionTime = elapsed
	}
}
