package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDecide guards against running a non-idempotent request twice and against
// attempts that cannot succeed.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"answered", Attempt{Answered: true, Idempotent: true, Attempts: 1, TimeLeft: time.Second}, Answered},
		{"protected and written", Attempt{Written: true, Attempts: 1, TimeLeft: time.Second}, MayHaveRun},
		{"protected and not written", Attempt{Attempts: 1, TimeLeft: time.Second}, Retry},
		{"idempotent and written", Attempt{Idempotent: true, Written: true, Attempts: 2, TimeLeft: time.Second}, Retry},
		{"third attempt", Attempt{Idempotent: true, Attempts: 3, TimeLeft: time.Second}, TooManyAttempts},
		{"no time", Attempt{Idempotent: true, Attempts: 1}, TooLate},
		{"too little time", Attempt{Idempotent: true, Attempts: 1, TimeLeft: time.Second, ExpectedDuration: 2 * time.Second}, TooLate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, Decide(test.attempt))
		})
	}
}

// TestBudget guards against retries that exceed their share of first attempts.
func TestBudget(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		firsts  int
		want    int
	}{
		{"no allowance", Options{}, 0, 0},
		{"allowance", Options{InitialTokens: 3, MaxTokens: 10}, 0, 3},
		{"no token below twelve attempts", Options{MaxTokens: 10}, 11, 0},
		{"a twelfth", Options{MaxTokens: 1000}, 1200, 100},
		{"cap", Options{}, 1000, 1},
		{"larger cap", Options{MaxTokens: 10}, 1000, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(test.options)
			for range test.firsts {
				b.RecordFirstAttempt()
			}
			require.Equal(t, test.want, b.Tokens())
			spent := 0
			for b.TakeToken() {
				spent++
			}
			require.Equal(t, test.want, spent)
		})
	}
}

// TestNoAllocation guards against allocations per request.
func TestNoAllocation(t *testing.T) {
	b := NewBudget(Options{})
	require.Zero(t, testing.AllocsPerRun(100, func() {
		b.RecordFirstAttempt()
		if Decide(Attempt{Idempotent: true, Attempts: 1, TimeLeft: time.Second}) == Retry {
			b.TakeToken()
		}
	}))
}
