package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// observe makes one attempt on a server of the pool and records a notice of it.
func observe(t *testing.T, p *Pool, now time.Time, id fleet.ServerID, received Notice) {
	t.Helper()
	var others []registry.Incarnation
	for _, s := range p.live {
		if s.info.ID != id {
			others = append(others, s.info.Incarnation)
		}
	}
	options := protectedOptions()
	options.Exclude = others
	attempt := pick(t, p, now, options)
	require.Equal(t, id, attempt.Server.ID)
	require.True(t, attempt.MayWrite(now))
	attempt.Observe(now, received)
	require.False(t, attempt.MayWrite(now))
	attempt.Finish(now, Shed, Load{})
}

// chosen returns the servers that a pool chooses within a time, for requests of all kinds,
// while the service fails part of its requests, so that servers are covered as well.
func chosen(p *Pool, from time.Time, duration time.Duration) map[fleet.ServerID]bool {
	found := make(map[fleet.ServerID]bool)
	for now := from; now.Before(from.Add(duration)); now = now.Add(20 * time.Millisecond) {
		for _, options := range []PickOptions{protectedOptions(), idempotentOptions()} {
			attempt, result := p.Pick(now, options)
			if result != Chosen {
				continue
			}
			found[attempt.Server.ID] = true
			attempt.Finish(now, Failed, Load{})
		}
	}
	return found
}

// TestLeavingNotice guards against requests to a server that has said in a response that it
// leaves, whatever the listing says, and against a restarted server that gets none.
func TestLeavingNotice(t *testing.T) {
	one, two := listed("one", "a", 4), listed("two", "a", 4)
	restarted := one
	restarted.StartedAt = 2
	tests := []struct {
		name   string
		update [][]registry.Server
		used   bool
	}{
		{"still listed as live", [][]registry.Server{{one, two}}, false},
		{"listed again", [][]registry.Server{{two}, {one, two}}, false},
		{"listed with another address", [][]registry.Server{{func() registry.Server { s := one; s.Address = "10.0.0.2:80"; return s }(), two}}, false},
		{"restarted", [][]registry.Server{{two}, {restarted, two}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(one, two)
			observe(t, p, start, "one", Notice{Leaving: true})
			for _, servers := range test.update {
				p.Update(servers)
			}
			found := chosen(p, start, 10*time.Second)
			require.Equal(t, test.used, found["one"])
			require.True(t, found["two"])
		})
	}
}

// TestPauseNotice guards against requests to a server in the pause that it asked for, for
// the floor and as trials too, and against a server that gets none after the pause.
func TestPauseNotice(t *testing.T) {
	const pause = 4 * time.Second
	p := newTestPool(listed("one", "a", 4), listed("two", "a", 4))
	observe(t, p, start, "one", Notice{Pause: pause})
	observe(t, p, start.Add(time.Second), "two", Notice{Pause: time.Second})
	_, result := p.Pick(start.Add(time.Second), protectedOptions())
	require.Equal(t, AllPaused, result)
	require.Equal(t, time.Second, p.PausedFor(start.Add(time.Second)))
	require.Zero(t, p.PausedFor(start.Add(2*time.Second)))
	require.False(t, chosen(p, start.Add(2*time.Second), 2*time.Second)["one"])
	require.True(t, chosen(p, start.Add(pause), 3*time.Second)["one"])
}

// TestShorterPause guards against a pause that a later response cuts short.
func TestShorterPause(t *testing.T) {
	p := newTestPool(listed("one", "a", 4))
	first := pick(t, p, start, protectedOptions())
	second := pick(t, p, start, protectedOptions())
	first.Observe(start, Notice{Pause: 3 * time.Second})
	second.Observe(start, Notice{Pause: time.Second})
	require.Equal(t, 3*time.Second, p.PausedFor(start))
}

// TestNoticesExpire guards against notices of servers that are gone and stay in memory.
func TestNoticesExpire(t *testing.T) {
	p := newTestPool(listed("one", "a", 4), listed("two", "a", 4))
	observe(t, p, start, "one", Notice{Leaving: true})
	p.Update([]registry.Server{listed("two", "a", 4)})
	observe(t, p, start.Add(noticeTTL+time.Second), "two", Notice{Pause: time.Second})
	require.Len(t, p.notices, 1)
}
