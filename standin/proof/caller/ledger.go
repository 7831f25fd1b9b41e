package caller

import (
	"net/http"
	"sync"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// told is what one copy of a protected request was told.
type told struct {
	outcome fleet.Outcome
	code    exchange.Code
	status  int
	body    string
}

// OutcomeLog keeps what all copies of each key were told.
type OutcomeLog struct {
	mu   sync.Mutex
	keys map[fleet.Key][]told
}

// NewOutcomeLog returns an empty ledger.
func NewOutcomeLog() *OutcomeLog { return &OutcomeLog{keys: map[fleet.Key][]told{}} }

func (l *OutcomeLog) add(key fleet.Key, copies []told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = append(l.keys[key], copies...)
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
	a := OutcomeSummary{Keys: len(l.keys), Codes: map[exchange.Code]int{}}
	for key, copies := range l.keys {
		a.add(key, copies, runs[key])
	}
	return a
}

func (a *OutcomeSummary) add(key fleet.Key, copies []told, runs int) {
	a.Sends += len(copies)
	if runs > 1 {
		a.RunTwice = append(a.RunTwice, key)
	}
	var notRun, done, differ bool
	body := ""
	for _, c := range copies {
		if c.code != "" {
			a.Codes[c.code]++
		}
		switch c.outcome {
		case fleet.NotRun:
			notRun = true
		case fleet.Done:
			done = done || c.status < http.StatusBadRequest
			if c.status == http.StatusOK {
				differ = differ || body != "" && body != c.body
				body = c.body
			}
		case fleet.Unknown:
		}
	}
	if notRun && runs > 0 {
		a.FalseNotRun = append(a.FalseNotRun, key)
	}
	if done && runs == 0 {
		a.FalseDone = append(a.FalseDone, key)
	}
	if differ {
		a.DifferingResponses = append(a.DifferingResponses, key)
	}
	switch {
	case done:
		a.Done++
	case !notRun:
		a.Unknown++
	}
}

// Merge adds the counts of another load.
func (a *OutcomeSummary) Merge(b OutcomeSummary) {
	a.Keys += b.Keys
	a.Sends += b.Sends
	a.RunTwice = append(a.RunTwice, b.RunTwice...)
	a.FalseNotRun = append(a.FalseNotRun, b.FalseNotRun...)
	a.FalseDone = append(a.FalseDone, b.FalseDone...)
	a.DifferingResponses = append(a.DifferingResponses, b.DifferingResponses...)
	a.Done += b.Done
	a.Unknown += b.Unknown
}
