package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/core/quota"
)

// countingQuotas admits a number of requests and counts what was admitted and returned.
type countingQuotas struct {
	mu       sync.Mutex
	room     int
	reason   quota.Reason
	admitted []fleet.Customer
	returned []fleet.Customer
}

func (q *countingQuotas) Admit(_ time.Time, customer fleet.Customer) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.room == 0 {
		return quota.Decision{Reason: q.reason, RetryAfter: 700 * time.Millisecond, Known: 20, Limit: 20}
	}
	q.room--
	q.admitted = append(q.admitted, customer)
	return quota.Decision{OK: true}
}

func (q *countingQuotas) Return(_ time.Time, customer fleet.Customer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returned = append(q.returned, customer)
}

// TestServeQuota guards against requests above the quota that run, against attempts that
// count as requests, and against refused requests that stay counted although no server got
// them.
func TestServeQuota(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		key      string
		room     int
		steps    []attemptStep
		stopping bool
		status   int
		code     exchange.Code
		admitted int
		returned int
	}{
		{"served", "/write/x", "k1", 1, []attemptStep{respondWith(200)}, false, 200, "", 1, 0},
		{"failed by a server", "/write/x", "k1", 1, []attemptStep{respondWith(500)}, false, 500, "", 1, 0},
		{"above the quota", "/write/x", "k1", 0, []attemptStep{respondWith(200)}, false, 429, exchange.QuotaExceeded, 0, 0},
		{"retried", "/read/x", "k1", 1, []attemptStep{respondWith(500), respondWith(200)}, false, 200, "", 1, 0},
		{"without a customer", "/open/x", "", 0, []attemptStep{respondWith(200)}, false, 200, "", 0, 0},
		{"public route with a key", "/open/x", "k1", 0, []attemptStep{respondWith(200)}, false, 429, exchange.QuotaExceeded, 0, 0},
		{"unknown key", "/write/x", "k9", 1, []attemptStep{respondWith(200)}, false, 401, exchange.Unauthorized, 0, 0},
		{"no server reached", "/write/x", "k1", 1, []attemptStep{unreachable}, false, 503, exchange.NoCapacity, 1, 1},
		{"shed by servers", "/write/x", "k1", 1, []attemptStep{declined}, false, 503, exchange.NoCapacity, 1, 0},
		{"lost by a server", "/write/x", "k1", 1, []attemptStep{broken}, false, 504, exchange.UpstreamLost, 1, 0},
		{"stopping", "/write/x", "k1", 1, []attemptStep{respondWith(200)}, true, 503, exchange.Stopping, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine, state, sender, journal := newCustomersEngine(t, Revocation{}, test.steps...)
			quotas := &countingQuotas{room: test.room, reason: quota.LimitReached}
			engine.options.Quotas = quotas
			if test.stopping {
				state.stopPlan = &StopPlan{}
			}
			response := engine.Serve(context.Background(), requestWithKey(test.path, test.key))
			require.Equal(t, test.status, response.Status)
			require.Equal(t, test.code, response.Code)
			require.Len(t, quotas.admitted, test.admitted)
			require.Len(t, quotas.returned, test.returned)
			if test.status != 429 {
				require.Nil(t, journal.records[0].Quota)
				return
			}
			require.Zero(t, sender.count(), "a refused request reaches no server")
			require.Equal(t, fleet.NotRun, response.Outcome)
			require.Equal(t, 700*time.Millisecond, response.RetryAfter)
			require.Equal(t, 20.0, journal.records[0].Quota.Limit)
		})
	}
}

// TestServeFleetUnknown guards against callers below their limit that are told that they have
// used it, by an instance that knows no other one.
func TestServeFleetUnknown(t *testing.T) {
	engine, _, sender, _ := newCustomersEngine(t, Revocation{}, respondWith(200))
	engine.options.Quotas = &countingQuotas{reason: quota.FleetUnknown}
	response := engine.Serve(context.Background(), requestWithKey("/write/x", "k1"))
	require.Equal(t, 503, response.Status)
	require.Equal(t, exchange.NotReady, response.Code)
	require.Equal(t, 700*time.Millisecond, response.RetryAfter)
	require.Equal(t, fleet.NotRun, response.Outcome)
	require.Empty(t, sender.sent)
}
