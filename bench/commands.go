package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Histograms hold 1 µs to 5 min with three significant digits.
const (
	histogramMin    = 1
	histogramMax    = int64(5 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// secondDigits is coarser, since there is a histogram for each second.
	secondDigits = 2
	// maxExamples bounds the wrong answers that a report describes.
	maxExamples = 20
	// lateStart is from which delay of its start a request counts as late.
	lateStart = 10 * time.Millisecond
)

// event is one finished request.
type event struct {
	kind   Kind
	caller string
	// due, began and ended count from the start of the run.
	due    time.Duration
	began  time.Duration
	ended  time.Duration
	result client.Result
	wrong  error
}

// group names what the latencies are kept for.
type group struct {
	service fleet.ServiceName
	class   fleet.Class
}

// tally is what a run counted. One goroutine owns it. Its commands are in
// this file and its queries in queries.go.
type tally struct {
	groups  map[group]*groupTally
	keys    map[fleet.Key]ProtectedResult
	seconds []RequestCounts
	// answered holds the latencies of what was done in each second.
	answered []*hdrhistogram.Histogram
	examples []string
	total    RequestCounts
	late     int
}

// groupTally is what was counted for one service and class.
type groupTally struct {
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
	counts   RequestCounts
	codes    map[exchange.Code]int
	statuses map[int]int
	sent     int
}

// ProtectedResult is what the caller of a protected request was told.
type ProtectedResult struct {
	Outcome fleet.Outcome `json:"outcome"`
	Code    exchange.Code `json:"code,omitempty"`
	Status  int           `json:"status,omitempty"`
}

func newTally() *tally {
	return &tally{groups: map[group]*groupTally{}, keys: map[fleet.Key]ProtectedResult{}}
}

// add counts one finished request.
func (t *tally) add(e event) {
	g := t.group(e.kind)
	g.sent += e.result.SendCount
	if e.began-e.due > lateStart {
		t.late++
	}
	latency := max((e.ended - e.due).Microseconds(), histogramMin)
	if e.result.Outcome == fleet.Done {
		_ = g.answered.RecordValue(min(latency, histogramMax))
		_ = t.answeredIn(e.ended).RecordValue(min(latency, histogramMax))
		g.statuses[e.result.Status]++
	} else {
		_ = g.refused.RecordValue(min(latency, histogramMax))
		g.codes[e.result.Code]++
	}
	for _, s := range []*RequestCounts{&t.total, &g.counts, t.second(e.ended)} {
		s.count(e)
	}
	t.total.Offered++
	g.counts.Offered++
	t.second(e.due).Offered++
	if e.wrong != nil && len(t.examples) < maxExamples {
		t.examples = append(t.examples, e.caller+": "+e.wrong.Error())
	}
	if e.kind.Protected {
		t.keys[e.result.Key] = ProtectedResult{e.result.Outcome, e.result.Code, e.result.Status}
	}
}

// group returns the counts of a kind's service and class.
func (t *tally) group(k Kind) *groupTally {
	name := group{k.Service, k.Class}
	g, ok := t.groups[name]
	if !ok {
		g = &groupTally{
			answered: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
			refused:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
			codes:    map[exchange.Code]int{},
			statuses: map[int]int{},
		}
		t.groups[name] = g
	}
	return g
}

// second returns the counts of the second that holds a time of the run.
func (t *tally) second(at time.Duration) *RequestCounts {
	i := int(at / time.Second)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, RequestCounts{})
		t.answered = append(t.answered, hdrhistogram.New(histogramMin, histogramMax, secondDigits))
	}
	return &t.seconds[i]
}

// answeredIn returns the latencies of the second that holds a time of the run.
func (t *tally) answeredIn(at time.Duration) *hdrhistogram.Histogram {
	t.second(at)
	return t.answered[at/time.Second]
}

// count counts the end of a request.
func (s *RequestCounts) count(e event) {
	s.MaxLatency = max(s.MaxLatency, duration(e.ended-e.due))
	switch e.result.Outcome {
	case fleet.Done:
		s.Done++
		if e.wrong != nil {
			s.Wrong++
		} else if e.result.Status < 400 {
			s.Good++
		}
	case fleet.NotRun:
		s.NotRun++
	case fleet.Unknown:
		s.Unknown++
	}
}
