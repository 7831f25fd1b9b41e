package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
)

// Summary is what a demo showed.
type Summary struct {
	Report  bench.Report
	Verdict bench.Verdict
	// Detection is the time from the fault of the server to its ejection; zero
	// if it was not ejected.
	Detection time.Duration
	// FalseEjections counts ejections of servers without a fault.
	FalseEjections int
	Peaks          []Peak
	// Cut counts requests that a planned stop cut, as far as they were lost on
	// the stopped instance.
	StopFailed error
}

// Peak is the highest load on the servers of a service.
type Peak struct {
	Service  fleet.ServiceName
	Requests int
	Slots    fleet.Slots
	Conns    int
	Limit    fleet.Conns
}

// Broken lists what must always hold and did not.
func (s Summary) Broken() []string {
	var broken []string
	if len(s.Verdict.RunTwice) > 0 {
		broken = append(broken, fmt.Sprintf("%d protected requests ran more than once", len(s.Verdict.RunTwice)))
	}
	if len(s.Verdict.FalseNotRun) > 0 {
		broken = append(broken, fmt.Sprintf("%d requests that were told not-run ran", len(s.Verdict.FalseNotRun)))
	}
	if len(s.Verdict.FalseDone) > 0 {
		broken = append(broken, fmt.Sprintf("%d requests that were told done did not run", len(s.Verdict.FalseDone)))
	}
	if s.Report.Total.Wrong > 0 {
		broken = append(broken, fmt.Sprintf("%d callers got a wrong answer", s.Report.Total.Wrong))
	}
	for _, peak := range s.Peaks {
		if peak.Requests > int(peak.Slots) || peak.Conns > int(peak.Limit) {
			broken = append(broken, fmt.Sprintf("a server of %s was pushed past its limits", peak.Service))
		}
	}
	if s.StopFailed != nil {
		broken = append(broken, "the planned stop failed: "+s.StopFailed.Error())
	}
	return broken
}

// Table returns the summary as text.
func (s Summary) Table() string {
	var b strings.Builder
	b.WriteString(s.Report.Table())
	fmt.Fprintf(&b, "\n%s\n", s.Verdict)
	detection := "not ejected"
	if s.Detection > 0 {
		detection = s.Detection.Round(time.Millisecond).String()
	}
	fmt.Fprintf(&b, "detection time of the stalled server: %s; false ejections: %d\n", detection, s.FalseEjections)
	for _, peak := range s.Peaks {
		fmt.Fprintf(&b, "highest load on a server of %s: %d requests of %d slots, %d connections of %d\n",
			peak.Service, peak.Requests, peak.Slots, peak.Conns, peak.Limit)
	}
	for _, broken := range s.Broken() {
		fmt.Fprintf(&b, "BROKEN: %s\n", broken)
	}
	return b.String()
}

// collect reads the counts of servers and the logs of instances.
func collect(ctx context.Context, deployment harness.Deployment, f *harness.Fleet, report bench.Report, met faults) (Summary, error) {
	keys, err := f.ServerKeys(ctx)
	if err != nil {
		return Summary{}, err
	}
	stats, err := f.ServerStats(ctx)
	if err != nil {
		return Summary{}, err
	}
	summary := Summary{Report: report, Verdict: report.Verify(keys), StopFailed: met.stopFailed}
	for _, service := range deployment.Services {
		peak := Peak{Service: service.Name, Slots: service.Slots, Limit: service.Conns}
		for _, s := range stats {
			if s.Service == service.Name {
				peak.Requests = max(peak.Requests, s.PeakRequests)
				peak.Conns = max(peak.Conns, s.PeakConns)
			}
		}
		summary.Peaks = append(summary.Peaks, peak)
	}
	for _, change := range readChanges(f.LogFiles()) {
		if change.After != "ejected" || change.Before == "trial" {
			continue
		}
		if change.Server != met.gray {
			summary.FalseEjections++
			continue
		}
		if took := change.Time.Sub(met.grayAt); summary.Detection == 0 || took < summary.Detection {
			summary.Detection = took
		}
	}
	return summary, nil
}

// change is a log line about the condition of a server.
type change struct {
	Time    time.Time      `json:"time"`
	Message string         `json:"msg"`
	Server  fleet.ServerID `json:"server"`
	Before  string         `json:"before"`
	After   string         `json:"after"`
}

// readChanges returns the changes of conditions in all logs; lines that are
// cut off by a kill are passed over.
func readChanges(files map[string]string) []change {
	var changes []change
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var c change
			if json.Unmarshal(lines.Bytes(), &c) == nil && c.Message == "server condition changed" {
				changes = append(changes, c)
			}
		}
		_ = file.Close()
	}
	return changes
}
