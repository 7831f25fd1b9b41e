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

// Ledger keeps what all copies of each key were told.
type Ledger struct {
	mu   sync.Mutex
	keys map[fleet.Key][]told
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{keys: map[fleet.Key][]told{}} }

func (l *Ledger) add(key fleet.Key, copies []told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = append(l.keys[key], copies...)
}

// Account compares what callers were told with what the servers ran.
type Account struct {
	Keys        int
	Copies      int
	Twice       []fleet.Key
	FalseNotRun []fleet.Key
	FalseDone   []fleet.Key
	// Differing keys got different answers of servers.
	Differing []fleet.Key
	// Done keys ran and some copy got the answer; Unknown keys have no copy
	// with a definite outcome.
	Done    int
	Unknown int
	Codes   map[exchange.Code]int
}

// Verify compares the ledger with how often servers started each key.
func (l *Ledger) Verify(runs map[fleet.Key]int) Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Account{Keys: len(l.keys), Codes: map[exchange.Code]int{}}
	for key, copies := range l.keys {
		a.add(key, copies, runs[key])
	}
	return a
}

func (a *Account) add(key fleet.Key, copies []told, runs int) {
	a.Copies += len(copies)
	if runs > 1 {
		a.Twice = append(a.Twice, key)
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
		a.Differing = append(a.Differing, key)
	}
	switch {
	case done:
		a.Done++
	case !notRun:
		a.Unknown++
	}
}

// Merge adds the counts of another load.
func (a *Account) Merge(b Account) {
	a.Keys += b.Keys
	a.Copies += b.Copies
	a.Twice = append(a.Twice, b.Twice...)
	a.FalseNotRun = append(a.FalseNotRun, b.FalseNotRun...)
	a.FalseDone = append(a.FalseDone, b.FalseDone...)
	a.Differing = append(a.Differing, b.Differing...)
	a.Done += b.Done
	a.Unknown += b.Unknown
}
