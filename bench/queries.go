package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenaridge/standin/jsontime"
)

func jsonDuration(d time.Duration) jsontime.Duration { return jsontime.Duration(d) }

// progress returns the current totals.
func (r *runCounts) progress(elapsed time.Duration, inFlight int) Progress {
	return Progress{Elapsed: elapsed, InFlight: inFlight, RequestCounts: r.total}
}

// report returns the report of a run with the given duration.
func (r *runCounts) report(elapsed time.Duration) Report {
	report := Report{
		Duration:         jsonDuration(elapsed),
		Total:            r.total,
		LateStarts:       r.lateStarts,
		Seconds:          slices.Clone(r.seconds),
		Examples:         r.examples,
		ProtectedResults: r.protectedResults,
	}
	for i, latencies := range r.secondLatencies {
		quantiles := latencyQuantiles(latencies)
		report.Seconds[i].P50, report.Seconds[i].P99 = quantiles.P50, quantiles.P99
	}
	for key, group := range r.groups {
		report.Groups = append(report.Groups, Group{
			Service:             key.service,
			Class:               key.class,
			Counts:              group.counts,
			SendCount:           group.sendCount,
			AnsweredLatencies:   latencyQuantiles(group.answeredLatencies),
			UnansweredLatencies: latencyQuantiles(group.unansweredLatencies),
			Codes:               group.codes,
			Statuses:            group.statuses,
		})
	}
	slices.SortFunc(report.Groups, func(a, b Group) int {
		return strings.Compare(string(a.Service)+"\x00"+string(a.Class), string(b.Service)+"\x00"+string(b.Class))
	})
	return report
}

// latencyQuantiles returns the quantiles of a histogram with values in
// microseconds.
func latencyQuantiles(h *hdrhistogram.Histogram) Latencies {
	quantile := func(percent float64) jsontime.Duration {
		return jsonDuration(time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond)
	}
	return Latencies{
		Count: h.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   jsonDuration(time.Duration(h.Max()) * time.Microsecond),
	}
}

// Progress is the state of an unfinished run. Offered counts only finished
// requests.
type Progress struct {
	Elapsed  time.Duration
	InFlight int
	RequestCounts
}

// String returns the progress in one line.
func (p Progress) String() string {
	return fmt.Sprintf("%s: %d ended, %d good, %d not run, %d unknown, %d wrong, %d in flight",
		p.Elapsed.Round(time.Second), p.Offered, p.Good, p.NotRun, p.Unknown, p.Wrong, p.InFlight)
}
