package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenaridge/standin/jsontime"
)

func duration(d time.Duration) jsontime.Duration { return jsontime.Duration(d) }

// progress returns the counts so far.
func (t *tally) progress(elapsed time.Duration, inFlight int) Progress {
	return Progress{Elapsed: elapsed, InFlight: inFlight, RequestCounts: t.total}
}

// report returns the counts of a run that took the given time.
func (t *tally) report(took time.Duration) Report {
	r := Report{
		Duration:         duration(took),
		Total:            t.total,
		LateStarts:       t.late,
		Seconds:          slices.Clone(t.seconds),
		Examples:         t.examples,
		ProtectedResults: t.keys,
	}
	for i, h := range t.answered {
		quantiles := summarize(h)
		r.Seconds[i].P50, r.Seconds[i].P99 = quantiles.P50, quantiles.P99
	}
	for name, g := range t.groups {
		r.Groups = append(r.Groups, Group{
			Service:             name.service,
			Class:               name.class,
			Counts:              g.counts,
			SendCount:           g.sent,
			AnsweredLatencies:   summarize(g.answered),
			UnansweredLatencies: summarize(g.refused),
			Codes:               g.codes,
			Statuses:            g.statuses,
		})
	}
	slices.SortFunc(r.Groups, func(a, b Group) int {
		return strings.Compare(string(a.Service)+"\x00"+string(a.Class), string(b.Service)+"\x00"+string(b.Class))
	})
	return r
}

// summarize returns the quantiles of a histogram of microseconds.
func summarize(h *hdrhistogram.Histogram) Latencies {
	at := func(percent float64) jsontime.Duration {
		return duration(time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond)
	}
	return Latencies{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   duration(time.Duration(h.Max()) * time.Microsecond),
	}
}

// Progress is the state of a run.
type Progress struct {
	Elapsed  time.Duration
	InFlight int
	RequestCounts
}

// String returns one line.
func (p Progress) String() string {
	return fmt.Sprintf("%s: %d ended, %d good, %d not run, %d unknown, %d wrong, %d in flight",
		p.Elapsed.Round(time.Second), p.Offered, p.Good, p.NotRun, p.Unknown, p.Wrong, p.InFlight)
}
