package caller

import (
	"net/http"
	"sync"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// sendResult is the result of one send of a protected request.
type sendResult struct {
	outcome fleet.Outcome
	code    exchange.Code
	status  int
	body    string
}

// OutcomeLog records the results of all sends of each key. It is safe for
// concurrent use.
type OutcomeLog struct {
	mu      sync.Mutex
	results map[fleet.Key][]sendResult
}

// NewOutcomeLog returns an empty log.
func NewOutcomeLog() *OutcomeLog { return &OutcomeLog{results: map[fleet.Key][]sendResult{}} }

func (l *OutcomeLog) add(key fleet.Key, results []sendResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[key] = append(l.results[key], results...)
}

// OutcomeSummary counts keys and sends, and lists the keys whose results
// contradict the runs on the servers.
type OutcomeSummary struct {
	Keys        int
	Sends       int
	RunTwice    []fleet.Key
	FalseNotRun []fleet.Key
	FalseDone   []fleet.Key
	// DifferingResponses lists keys with more than one response body of status
	// 200.
	DifferingResponses []fleet.Key
	// Done counts keys with a done result below status 400. Unknown counts keys
	// whose sends have no definite result.
	Done    int
	Unknown int
	Codes   map[exchange.Code]int
}

// Verify compares the log with how often servers started each key.
func (l *OutcomeLog) Verify(runs map[fleet.Key]int) OutcomeSummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := OutcomeSummary{Keys: len(l.results), Codes: map[exchange.Code]int{}}
	for key, results := range l.results {
		summary.add(key, results, runs[key])
	}
	return summary
}

func (s *OutcomeSummary) add(key fleet.Key, results []sendResult, runs int) {
	s.Sends += len(results)
	if runs > 1 {
		s.RunTwice = append(s.RunTwice, key)
	}
	var notRun, done, differing bool
	body := ""
	for _, result := range results {
		if result.code != "" {
			s.Codes[result.code]++
		}
		switch result.outcome {
		case fleet.NotRun:
			notRun = true
		case fleet.Done:
			done = done || result.status < http.StatusBadRequest
			if result.status == http.StatusOK {
				differing = differing || body != "" && body != result.body
				body = result.body
			}
		case fleet.Unknown:
		}
	}
	if notRun && runs > 0 {
		s.FalseNotRun = append(s.FalseNotRun, key)
	}
	if done && runs == 0 {
		s.FalseDone = append(s.FalseDone, key)
	}
	if differing {
		s.DifferingResponses = append(s.DifferingResponses, key)
	}
	switch {
	case done:
		s.Done++
	case !notRun:
		s.Unknown++
	}
}

// Merge adds the keys and counts of another load, except for Codes.
func (s *OutcomeSummary) Merge(other OutcomeSummary) {
	s.Keys += other.Keys
	s.Sends += other.Sends
	s.RunTwice = append(s.RunTwice, other.RunTwice...)
	s.FalseNotRun = append(s.FalseNotRun, other.FalseNotRun...)
	s.FalseDone = append(s.FalseDone, other.FalseDone...)
	s.DifferingResponses = append(s.DifferingResponses, other.DifferingResponses...)
	s.Done += other.Done
	s.Unknown += other.Unknown
}
