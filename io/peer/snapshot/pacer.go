package snapshot

import (
	"sync"
	"time"

	"galenaridge/core/fleet"
)

// Mbps is the speed of a network link in megabits per second.
type Mbps float64

const (
	// linkShare is the share of the network link that documents may use.
	linkShare = 0.5
	// maxPacingDelay is how long a part may wait for its turn. A peer whose part would
	// wait longer is told to ask another instance.
	maxPacingDelay = 150 * time.Millisecond
)

// pacer spaces parts so that they use at most linkShare of a link. A link without a speed
// is not limited.
type pacer struct {
	clock     fleet.Clock
	linkSpeed Mbps

	mu     sync.Mutex
	freeAt time.Time
}

// reserve returns how long a part has to wait for its turn, or false if that is too long.
func (p *pacer) reserve(bytes int) (time.Duration, bool) {
	if p.linkSpeed <= 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	wait := p.freeAt.Sub(now)
	if wait > maxPacingDelay {
		return 0, false
	}
	microseconds := float64(bytes) * 8 / float64(p.linkSpeed) / linkShare
	p.freeAt = p.freeAt.Add(time.Duration(microseconds * float64(time.Microsecond)))
	return wait, true
}
