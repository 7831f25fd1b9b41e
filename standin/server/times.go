package server

import (
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimes generates the service time of each request. Service times are
// uniform between mean-jitter and mean+jitter, and multiplied by coldFactor for
// the first coldRequests requests.
type serviceTimes struct {
	mu           sync.Mutex
	rng          *rand.Rand
	mean         time.Duration
	jitter       time.Duration
	coldRequests int
	coldFactor   float64
}

// serviceTime returns a random service time for the request with the given number
// among the started requests, counted from 1.
func (t *serviceTimes) serviceTime(startNumber int) time.Duration {
	t.mu.Lock()
	uniform := t.rng.Float64()
	t.mu.Unlock()
	duration := t.mean + time.Duration((2*uniform-1)*float64(t.jitter))
	if startNumber <= t.coldRequests && t.coldFactor > 0 {
		duration = time.Duration(float64(duration) * t.coldFactor)
	}
	return max(duration, 0)
}
