package balance

import (
	"time"

	"galenaridge/core/registry"
)

// noticeTTL is how long the notice of a server that is no longer listed is kept: its entry
// may come back while the server is still leaving.
const noticeTTL = 10 * time.Minute

// Notice is what a server says about itself in a response.
type Notice struct {
	// Leaving is set if the server is about to end.
	Leaving bool
	// Pause is the time for which the server wants no request of this instance; zero if
	// it did not ask for a pause.
	Pause time.Duration
}

// notice holds what an incarnation of a server has said about itself.
type notice struct {
	leaving     bool
	pausedUntil time.Time
	receivedAt  time.Time
}

// notices holds the notices of servers. They outlive the listing of a server, since the
// store may say later, or by mistake, that the server takes requests.
type notices map[registry.Incarnation]notice

// excludes reports whether a server wants no request at a time.
func (n notices) excludes(now time.Time, server registry.Incarnation) bool {
	known, found := n[server]
	return found && (known.leaving || now.Before(known.pausedUntil))
}

// expire drops old notices of servers that are no longer listed.
func (n notices) expire(now time.Time, listed map[registry.Incarnation]*server) {
	for id, known := range n {
		if listed[id] == nil && now.Sub(known.receivedAt) > noticeTTL {
			delete(n, id)
		}
	}
}

// Observe records a notice in the response to the attempt.
func (a *Attempt) Observe(now time.Time, received Notice) {
	if received == (Notice{}) {
		return
	}
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	id := a.Server.Incarnation
	known := p.notices[id]
	if received.Leaving && !known.leaving {
		p.options.Events.ServerAnnouncedLeaving(a.Server)
	}
	if received.Pause > 0 {
		if !now.Before(known.pausedUntil) {
			p.options.Events.ServerPaused(a.Server, received.Pause)
		}
		if until := now.Add(received.Pause); until.After(known.pausedUntil) {
			known.pausedUntil = until
		}
	}
	known.leaving = known.leaving || received.Leaving
	known.receivedAt = now
	p.notices[id] = known
	p.notices.expire(now, p.byIncarnation)
}

// MayWrite reports whether the server of the attempt still takes requests of this
// instance. Responses to other attempts may have said otherwise since it was chosen.
func (a *Attempt) MayWrite(now time.Time) bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return !a.pool.notices.excludes(now, a.Server.Incarnation)
}

// pausedFor returns the time until the first pause of a server ends that was not tried
// yet, or zero if one of these servers is not paused or if there is none.
func (p *Pool) pausedFor(now time.Time, exclude []registry.Incarnation) time.Duration {
	shortest := time.Duration(0)
	for _, s := range p.live {
		known := p.notices[s.info.Incarnation]
		if known.leaving || excluded(exclude, s.info.Incarnation) {
			continue
		}
		left := known.pausedUntil.Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// PausedFor returns the time until a server takes requests of this instance again if all
// servers have asked for a pause, and zero otherwise.
func (p *Pool) PausedFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor(now, nil)
}
