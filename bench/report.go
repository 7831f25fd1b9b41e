package bench

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

// Report is the result of a run.
type Report struct {
	Duration jsontime.Duration `json:"took"`
	Total    RequestCounts     `json:"total"`
	// LateStarts counts requests that started more than 10 ms after their time.
	LateStarts int     `json:"late"`
	Groups     []Group `json:"groups"`
	// Seconds holds the counts of each second from the start of the run.
	Seconds []RequestCounts `json:"seconds"`
	// Examples describes the first wrong answers.
	Examples []string `json:"examples,omitempty"`
	// ProtectedResults holds each protected key with what its caller was told.
	ProtectedResults map[fleet.Key]ProtectedResult `json:"-"`
}

// RequestCounts counts requests: Offered by their scheduled time, all others by the
// time of their end.
type RequestCounts struct {
	Offered int `json:"offered"`
	Done    int `json:"done"`
	// Good requests are done with a status below 400 and a right answer.
	Good    int `json:"good"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Wrong answers were done and failed the check of the body.
	Wrong      int               `json:"wrong"`
	MaxLatency jsontime.Duration `json:"slowest"`
	// P50 and P99 are quantiles of the latencies of what was done. Only the
	// seconds of a report have them.
	P50 jsontime.Duration `json:"p50,omitempty"`
	P99 jsontime.Duration `json:"p99,omitempty"`
}

// Group is the part of a report for one service and class.
type Group struct {
	Service fleet.ServiceName `json:"service"`
	Class   fleet.Class       `json:"class"`
	Counts  RequestCounts     `json:"counts"`
	// SendCount counts requests on the wire, with those that were sent again.
	SendCount int `json:"sent"`
	// AnsweredLatencies holds the latencies of requests that a server answered.
	AnsweredLatencies Latencies `json:"answered"`
	// UnansweredLatencies holds the latencies of requests that are not run or unknown.
	UnansweredLatencies Latencies             `json:"refused"`
	Codes               map[exchange.Code]int `json:"codes"`
	Statuses            map[int]int           `json:"statuses"`
}

// Latencies are quantiles of the time from the scheduled start to the end.
type Latencies struct {
	Count int64             `json:"count"`
	P50   jsontime.Duration `json:"p50"`
	P90   jsontime.Duration `json:"p90"`
	P99   jsontime.Duration `json:"p99"`
	P999  jsontime.Duration `json:"p999"`
	Max   jsontime.Duration `json:"max"`
}

// Table returns the report as text.
func (r Report) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	row(w, "service", "class", "offered", "good", "not run", "unknown", "wrong", "p50", "p90", "p99", "p99.9", "max", "refused p99")
	for _, g := range r.Groups {
		a := g.AnsweredLatencies
		row(w, g.Service, g.Class, g.Counts.Offered, g.Counts.Good, g.Counts.NotRun, g.Counts.Unknown, g.Counts.Wrong,
			short(a.P50), short(a.P90), short(a.P99), short(a.P999), short(a.Max), short(g.UnansweredLatencies.P99))
	}
	_ = w.Flush()
	for _, g := range r.Groups {
		for _, code := range sortedKeys(g.Codes) {
			fmt.Fprintf(&b, "%s %s: %d %s\n", g.Service, g.Class, g.Codes[code], code)
		}
	}
	fmt.Fprintf(&b, "%d requests in %s, %.0f good a second, %d started late\n",
		r.Total.Offered, short(r.Duration), float64(r.Total.Good)/max(r.Duration.Std().Seconds(), 1e-9), r.LateStarts)
	for _, example := range r.Examples {
		fmt.Fprintf(&b, "wrong answer: %s\n", example)
	}
	return b.String()
}

func row(w *tabwriter.Writer, cells ...any) {
	for _, c := range cells {
		_, _ = fmt.Fprintf(w, "%v\t", c)
	}
	_, _ = fmt.Fprintln(w)
}

// short returns a duration with three digits or so.
func short(d jsontime.Duration) string {
	v := d.Std()
	switch {
	case v >= time.Second:
		return v.Round(10 * time.Millisecond).String()
	case v >= time.Millisecond:
		return v.Round(10 * time.Microsecond).String()
	default:
		return v.String()
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
