package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"galenaridge/client"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Latency histograms cover 1 µs to 5 min with three significant digits. The
// limits are in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(5 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// secondDigits is lower than histogramDigits to save memory, since each
	// second of a run has its own histogram.
	secondDigits = 2
	// maxExamples is the maximum number of wrong responses that a report
	// describes.
	maxExamples = 20
	// lateStartThreshold is the delay after its scheduled time beyond which the
	// start of a request counts as late.
	lateStartThreshold = 10 * time.Millisecond
)

// completion is one finished request.
type completion struct {
	kind     Kind
	callerID string
	// scheduledAt, startedAt and endedAt are offsets from the start of the run.
	scheduledAt time.Duration
	startedAt   time.Duration
	endedAt     time.Duration
	result      client.Result
	// checkErr is set if a response with status 200 failed its check.
	checkErr error
}

// groupKey identifies a group of requests that share counts and histograms.
type groupKey struct {
	service fleet.ServiceName
	class   fleet.Class
}

// runCounts holds the counts and latencies of a run. Only one goroutine may use
// it. Its commands are in this file and its queries in queries.go.
type runCounts struct {
	groups           map[groupKey]*groupCounts
	protectedResults map[fleet.Key]ProtectedResult
	seconds          []RequestCounts
	// secondLatencies holds, for each second of the run, the latencies of the
	// requests that ended in it with the outcome done.
	secondLatencies []*hdrhistogram.Histogram
	examples        []string
	total           RequestCounts
	lateStarts      int
}

// groupCounts holds the counts and latencies of one service and class.
type groupCounts struct {
	answeredLatencies   *hdrhistogram.Histogram
	unansweredLatencies *hdrhistogram.Histogram
	counts              RequestCounts
	codes               map[exchange.Code]int
	statuses            map[int]int
	sendCount           int
}

// ProtectedResult is the result that the caller of a protected request received.
type ProtectedResult struct {
	Outcome fleet.Outcome `json:"outcome"`
	Code    exchange.Code `json:"code,omitempty"`
	Status  int           `json:"status,omitempty"`
}

func newRunCounts() *runCounts {
	return &runCounts{groups: map[groupKey]*groupCounts{}, protectedResults: map[fleet.Key]ProtectedResult{}}
}

// add counts one finished request.
func (r *runCounts) add(done completion) {
	group := r.groupCounts(done.kind)
	group.sendCount += done.result.SendCount
	if done.startedAt-done.scheduledAt > lateStartThreshold {
		r.lateStarts++
	}
	latency := max((done.endedAt - done.scheduledAt).Microseconds(), histogramMin)
	if done.result.Outcome == fleet.Done {
		_ = group.answeredLatencies.RecordValue(min(latency, histogramMax))
		_ = r.latenciesAt(done.endedAt).RecordValue(min(latency, histogramMax))
		group.statuses[done.result.Status]++
	} else {
		_ = group.unansweredLatencies.RecordValue(min(latency, histogramMax))
		group.codes[done.result.Code]++
	}
	for _, counts := range []*RequestCounts{&r.total, &group.counts, r.secondCounts(done.endedAt)} {
		counts.addOutcome(done)
	}
	r.total.Offered++
	group.counts.Offered++
	r.secondCounts(done.scheduledAt).Offered++
	if done.checkErr != nil && len(r.examples) < maxExamples {
		r.examples = append(r.examples, done.callerID+": "+done.checkErr.Error())
	}
	if done.kind.Protected {
		r.protectedResults[done.result.Key] = ProtectedResult{done.result.Outcome, done.result.Code, done.result.Status}
	}
}

// groupCounts returns the counts of a kind's service and class.
func (r *runCounts) groupCounts(kind Kind) *groupCounts {
	key := groupKey{kind.Service, kind.Class}
	group, ok := r.groups[key]
	if !ok {
		group = &groupCounts{
			answeredLatencies:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
			unansweredLatencies: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
			codes:               map[exchange.Code]int{},
			statuses:            map[int]int{},
		}
		r.groups[key] = group
	}
	return group
}

// secondCounts returns the counts of the second that contains an offset from the
// start of the run.
func (r *runCounts) secondCounts(offset time.Duration) *RequestCounts {
	index := int(offset / time.Second)
	for len(r.seconds) <= index {
		r.seconds = append(r.seconds, RequestCounts{})
		r.secondLatencies = append(r.secondLatencies, hdrhistogram.New(histogramMin, histogramMax, secondDigits))
	}
	return &r.seconds[index]
}

// latenciesAt returns the latencies of the second that contains an offset from
// the start of the run.
func (r *runCounts) latenciesAt(offset time.Duration) *hdrhistogram.Histogram {
	r.secondCounts(offset)
	return r.secondLatencies[offset/time.Second]
}

// addOutcome counts the outcome of a finished request.
func (c *RequestCounts) addOutcome(done completion) {
	c.MaxLatency = max(c.MaxLatency, jsonDuration(done.endedAt-done.scheduledAt))
	switch done.result.Outcome {
	case fleet.Done:
		c.Done++
		if done.checkErr != nil {
			c.Wrong++
		} else if done.result.Status < 400 {
			c.Good++
		}
	case fleet.NotRun:
		c.NotRun++
	case fleet.Unknown:
		c.Unknown++
	}
}
