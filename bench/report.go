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
	// LateStarts counts requests that started more than 10 ms after their
	// scheduled time.
	LateStarts int     `json:"late"`
	Groups     []Group `json:"groups"`
	// Seconds holds the counts of each second from the start of the run.
	Seconds []RequestCounts `json:"seconds"`
	// Examples describes the first wrong responses, 20 at most.
	Examples []string `json:"examples,omitempty"`
	// ProtectedResults holds the result that the caller of each protected request
	// received, by the key of the request.
	ProtectedResults map[fleet.Key]ProtectedResult `json:"-"`
}

// RequestCounts counts requests by outcome. In the counts of one second, Offered
// counts requests by their scheduled time, all other fields by the time of their
// end.
type RequestCounts struct {
	Offered int `json:"offered"`
	Done    int `json:"done"`
	// Good counts requests that are done with a status below 400 and did not fail
	// the check of their response.
	Good    int `json:"good"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Wrong counts requests that are done and failed the check of their response.
	Wrong int `json:"wrong"`
	// MaxLatency covers all outcomes.
	MaxLatency jsontime.Duration `json:"slowest"`
	// P50 and P99 are quantiles of the latencies of requests that are done. They
	// are only set in the counts of one second.
	P50 jsontime.Duration `json:"p50,omitempty"`
	P99 jsontime.Duration `json:"p99,omitempty"`
}

// Group is the part of a report for one service and class.
type Group struct {
	Service fleet.ServiceName `json:"service"`
	Class   fleet.Class       `json:"class"`
	Counts  RequestCounts     `json:"counts"`
	// SendCount counts requests on the wire, including resends.
	SendCount int `json:"sent"`
	// AnsweredLatencies covers requests with the outcome done.
	AnsweredLatencies Latencies `json:"answered"`
	// UnansweredLatencies covers requests with the outcome not-run or unknown.
	UnansweredLatencies Latencies             `json:"refused"`
	Codes               map[exchange.Code]int `json:"codes"`
	Statuses            map[int]int           `json:"statuses"`
}

// Latencies holds quantiles of the time from the scheduled start to the end of
// requests.
type Latencies struct {
	Count int64             `json:"count"`
	P50   jsontime.Duration `json:"p50"`
	P90   jsontime.Duration `json:"p90"`
	P99   jsontime.Duration `json:"p99"`
	P999  jsontime.Duration `json:"p999"`
	Max   jsontime.Duration `json:"max"`
}

// Table returns the report as a text table, followed by the error codes, the
// totals and examples of wrong responses.
func (r Report) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRow(w, "service", "class", "offered", "good", "not run", "unknown", "wrong", "p50", "p90", "p99", "p99.9", "max", "refused p99")
	for _, g := range r.Groups {
		answered := g.AnsweredLatencies
		writeRow(w, g.Service, g.Class, g.Counts.Offered, g.Counts.Good, g.Counts.NotRun, g.Counts.Unknown, g.Counts.Wrong,
			roundedDuration(answered.P50), roundedDuration(answered.P90), roundedDuration(answered.P99), roundedDuration(answered.P999), roundedDuration(answered.Max), roundedDuration(g.UnansweredLatencies.P99))
	}
	_ = w.Flush()
	for _, g := range r.Groups {
		for _, code := range sortedKeys(g.Codes) {
			fmt.Fprintf(&b, "%s %s: %d %s\n", g.Service, g.Class, g.Codes[code], code)
		}
	}
	fmt.Fprintf(&b, "%d requests in %s, %.0f good a second, %d started late\n",
		r.Total.Offered, roundedDuration(r.Duration), float64(r.Total.Good)/max(r.Duration.Std().Seconds(), 1e-9), r.LateStarts)
	for _, example := range r.Examples {
		fmt.Fprintf(&b, "wrong response: %s\n", example)
	}
	return b.String()
}

func writeRow(w *tabwriter.Writer, cells ...any) {
	for _, c := range cells {
		_, _ = fmt.Fprintf(w, "%v\t", c)
	}
	_, _ = fmt.Fprintln(w)
}

// roundedDuration returns a duration rounded to 10 ms from 1 s on and to 10 µs
// from 1 ms on.
func roundedDuration(d jsontime.Duration) string {
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
