package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenaridge/bench"
	"galenaridge/bench/chart"
	"galenaridge/core/fleet"
	"galenaridge/standin/harness"
	"galenaridge/standin/jsontime"
	"galenaridge/standin/logline"
)

// Report is the result of an experiment. All offsets are measured from the
// start of the load.
type Report struct {
	Name string       `json:"name"`
	Seed uint64       `json:"seed"`
	Load bench.Report `json:"load"`
	// Verdict compares the outcomes that callers received with the requests
	// that servers ran.
	Verdict bench.Verdict `json:"verdict"`
	Events  []Event       `json:"events"`
	// ConditionChanges holds the changes of server conditions that owners
	// logged, in order of time.
	ConditionChanges []ConditionChange `json:"conditions"`
	PeakLoads        []PeakLoad        `json:"peaks"`
}

// ConditionChange is a change of the health condition of a server, as its owner
// logged it.
type ConditionChange struct {
	Offset jsontime.Duration `json:"at"`
	Server fleet.ServerID    `json:"server"`
	Before string            `json:"before"`
	After  string            `json:"after"`
	Reason string            `json:"reason"`
}

// PeakLoad holds the highest numbers of concurrent requests and connections
// that any server of a service counted, and the limits of one server.
type PeakLoad struct {
	Service  fleet.ServiceName `json:"service"`
	Requests int               `json:"requests"`
	Slots    fleet.Slots       `json:"slots"`
	Conns    int               `json:"conns"`
	MaxConns fleet.Conns       `json:"limit"`
}

// collectTimeout bounds the time to read the counters of all servers.
const collectTimeout = 20 * time.Second

// collectReport reads the counters of the servers and the logs of the
// instances, and combines them with the report of the load. It fails if the
// context has ended.
func collectReport(ctx context.Context, e Experiment, f *harness.Fleet, loadStart time.Time, loadReport bench.Report, events []Event) (Report, error) {
	if err := ctx.Err(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	keys, err := f.KeyRunCounts(ctx)
	if err != nil {
		return Report{}, err
	}
	peaks, err := readPeakLoads(ctx, e, f)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Name:             e.Name,
		Seed:             e.Seed,
		Load:             loadReport,
		Verdict:          loadReport.Verify(keys),
		Events:           events,
		ConditionChanges: readConditionChanges(f, loadStart),
		PeakLoads:        peaks,
	}, nil
}

// readPeakLoads returns one entry for each service, from the counters of its
// servers.
func readPeakLoads(ctx context.Context, e Experiment, f *harness.Fleet) ([]PeakLoad, error) {
	stats, err := f.ServerStats(ctx)
	if err != nil {
		return nil, err
	}
	var peaks []PeakLoad
	for _, service := range e.deployment().Services {
		peak := PeakLoad{Service: service.Name, Slots: service.Slots, MaxConns: service.Conns}
		for _, stat := range stats {
			if stat.Service == service.Name {
				peak.Requests = max(peak.Requests, stat.PeakRequests)
				peak.Conns = max(peak.Conns, stat.PeakConns)
			}
		}
		peaks = append(peaks, peak)
	}
	return peaks, nil
}

// readConditionChanges returns the condition changes in the logs of all
// instances since the start of the load, in order of time.
func readConditionChanges(f *harness.Fleet, loadStart time.Time) []ConditionChange {
	var conditions []ConditionChange
	for _, file := range f.LogFiles() {
		for _, line := range logline.Read(file, loadStart) {
			if line.Message == logline.ConditionChanged {
				conditions = append(conditions, ConditionChange{jsontime.Duration(line.Time.Sub(loadStart)), line.Server, line.Before, line.After, line.Reason})
			}
		}
	}
	slices.SortFunc(conditions, func(a, b ConditionChange) int { return cmp.Compare(a.Offset, b.Offset) })
	return conditions
}

// Violations describes each violated guarantee and each fault whose injection
// failed; empty if there are none.
func (r Report) Violations() []string {
	var violations []string
	if !r.Verdict.OK() {
		violations = append(violations, r.Verdict.String())
	}
	if r.Load.Total.Wrong > 0 {
		violations = append(violations, fmt.Sprintf("%d callers got a wrong answer", r.Load.Total.Wrong))
	}
	for _, peak := range r.PeakLoads {
		if peak.Requests > int(peak.Slots) || peak.Conns > int(peak.MaxConns) {
			violations = append(violations, fmt.Sprintf("a server of %s exceeded its limits", peak.Service))
		}
	}
	for _, e := range r.Events {
		if e.Failure != "" {
			violations = append(violations, e.Description+" failed: "+e.Failure)
		}
	}
	return violations
}

// Table returns the report as text.
func (r Report) Table() string {
	var b strings.Builder
	b.WriteString(r.Load.Table())
	fmt.Fprintf(&b, "\n%s\n", r.Verdict)
	for _, e := range r.Events {
		fmt.Fprintf(&b, "%8s  %s\n", formatSeconds(e.StartOffset), e.Description)
	}
	for _, c := range r.ConditionChanges {
		fmt.Fprintf(&b, "%8s  server %s from %s to %s: %s\n", formatSeconds(c.Offset), c.Server, c.Before, c.After, c.Reason)
	}
	for _, peak := range r.PeakLoads {
		fmt.Fprintf(&b, "highest load on a server of %s: %d requests of %d slots, %d connections of %d\n",
			peak.Service, peak.Requests, peak.Slots, peak.Conns, peak.MaxConns)
	}
	for _, violation := range r.Violations() {
		fmt.Fprintf(&b, "BROKEN: %s\n", violation)
	}
	return b.String()
}

func formatSeconds(d jsontime.Duration) string { return fmt.Sprintf("%.2fs", d.Std().Seconds()) }

// Write writes report.json and load.png into a directory under out that has the
// name of the experiment, and returns the path of that directory.
func (r Report) Write(out string) (string, error) {
	dir := filepath.Join(out, r.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", eris.Wrap(err, "create the output directory")
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644); err != nil {
		return "", eris.Wrap(err, "write the report")
	}
	var marks []chart.Mark
	for _, e := range r.Events {
		marks = append(marks, chart.Mark{At: e.StartOffset.Std(), Label: e.Description})
	}
	return dir, chart.Write(filepath.Join(dir, "load.png"), r.Name, r.Load, marks)
}
