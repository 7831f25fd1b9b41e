package caller

import (
	"net/http"
	"sync"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// sendResult is what one copy of a protected request was told.
type sendResult struct {
	outcome fleet.Outcome
	code    exchange.Code
	status  int
	body    string
}

// OutcomeLog keeps what all copies of each key were told.
type OutcomeLog struct {
	mu      sync.Mutex
	results map[fleet.Key][]sendResult
}

// NewOutcomeLog returns an empty ledger.
func NewOutcomeLog() *OutcomeLog { return &OutcomeLog{results: map[fleet.Key][]sendResult{}} }

func (l *OutcomeLog) add(key fleet.Key, results []sendResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[key] = append(l.results[key], results...)
}

// OutcomeSummary compares what callers were told with what the servers ran.
type OutcomeSummary struct {
	Keys        int
	Sends       int
	RunTwice    []fleet.Key
	FalseNotRun []fleet.Key
	FalseDone   []fleet.Key
	// DifferingResponses keys got different answers of servers.
	DifferingResponses []fleet.Key
	// Done keys ran and some copy got the answer; Unknown keys have no copy
	// with a definite outcome.
	Done    int
	Unknown int
	Codes   map[exchange.Code]int
}

// Verify compares the ledger with how often servers started each key.
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

// Merge adds the counts of another load.
func (s *OutcomeSummary) Merge(b OutcomeSummary) {
	s.Keys += b.Keys
	s.Sends += b.Sends
	s.RunTwice = append(s.RunTwice, b.RunTwice...)
	s.FalseNotRun = append(s.FalseNotRun, b.FalseNotRun...)
	s.FalseDone = append(s.FalseDone, b.FalseDone...)
	s.DifferingResponses = append(s.DifferingResponses, b.DifferingResponses...)
	s.Done += b.Done
	s.Unknown += b.Unknown
}
