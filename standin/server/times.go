package server

import (
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimes draws the time that each request takes: uniform in mean plus
// or minus jitter, and longer by the factor for the first cold requests.
type serviceTimes struct {
	mu     sync.Mutex
	rng    *rand.Rand
	mean   time.Duration
	jitter time.Duration
	cold   int
	factor float64
}

// draw returns the service time of the request with the given number, which
// counts from 1.
func (t *serviceTimes) draw(number int) time.Duration {
	t.mu.Lock()
	u := t.rng.Float64()
	t.mu.Unlock()
	took := t.mean + time.Duration((2*u-1)*float64(t.jitter))
	if number <= t.cold && t.factor > 0 {
		took = time.Duration(float64(took) * t.factor)
	}
	return max(took, 0)
}
