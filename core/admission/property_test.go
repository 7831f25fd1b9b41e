package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"galenaridge/core/fleet"
)

// poolModel drives a pool with random commands and keeps what is in flight.
type poolModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	pool    *Pool
	listed  map[fleet.ServerID]ServerSlots
	drained map[fleet.ServerID]bool
	waiting []*waiter
	running []*Grant
}

var modelServers = []fleet.ServerID{"a", "b", "c"}

// setServers lists random servers.
func (m *poolModel) setServers() {
	m.listed = make(map[fleet.ServerID]ServerSlots)
	var listed []ServerSlots
	for _, id := range modelServers {
		if rapid.IntRange(0, 3).Draw(m.t, "listed") == 0 {
			delete(m.drained, id)
			continue
		}
		slots := fleet.Slots(rapid.IntRange(0, 4).Draw(m.t, "slots"))
		use := rapid.SampledFrom(UseValues()).Draw(m.t, "use")
		m.listed[id] = ServerSlots{Server: id, Slots: slots, Use: use}
		listed = append(listed, m.listed[id])
	}
	m.pool.SetServers(listed)
}

// ask sends a random request to the pool.
func (m *poolModel) ask() {
	now := m.clock.Now()
	ask := Request{
		Tenant:       rapid.SampledFrom([]fleet.Tenant{"x", "y"}).Draw(m.t, "tenant"),
		TenantWeight: rapid.IntRange(0, 3).Draw(m.t, "weight"),
		Protected:    rapid.Bool().Draw(m.t, "protected"),
		Idempotent:   rapid.Bool().Draw(m.t, "idempotent"),
	}
	if rapid.Bool().Draw(m.t, "exclude") {
		ask.Exclude = []fleet.ServerID{rapid.SampledFrom(modelServers).Draw(m.t, "excluded")}
	}
	if rapid.Bool().Draw(m.t, "deadline") {
		ask.Deadline = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "left")) * time.Millisecond)
	}
	g, w, _ := m.pool.enter(now, &ask)
	if g != nil {
		m.began(g, &ask)
	}
	if w != nil {
		m.waiting = append(m.waiting, w)
	}
}

// collect moves requests that got a slot from waiting to running.
func (m *poolModel) collect() {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waiter) bool {
		if w.grant != nil {
			m.began(w.grant, &w.ask)
		}
		return w.grant != nil || w.err != nil
	})
}

// began checks a new grant against the servers in force.
func (m *poolModel) began(g *Grant, ask *Request) {
	m.running = append(m.running, g)
	l, known := m.listed[g.Server]
	limit := l.Slots
	if l.Use == Trial {
		limit = min(limit, 1)
	}
	inFlight := fleet.Slots(0)
	slots := make(map[int]bool)
	for _, r := range m.running {
		if r.Server != g.Server {
			continue
		}
		inFlight++
		if slots[r.Slot] {
			m.t.Fatalf("slot %d of %s is used twice", r.Slot, r.Server)
		}
		slots[r.Slot] = true
	}
	switch {
	case !known || m.drained[g.Server] || l.Use == None:
		m.t.Fatalf("%s takes no work", g.Server)
	case inFlight > limit || g.Slot >= int(l.Slots):
		m.t.Fatalf("%d requests on %s with %d slots", inFlight, g.Server, limit)
	case l.Use == Trial && !ask.Idempotent:
		m.t.Fatalf("request on trial server %s is not idempotent", g.Server)
	case slices.Contains(ask.Exclude, g.Server):
		m.t.Fatalf("%s is excluded", g.Server)
	case ask.expired(m.clock.Now()):
		m.t.Fatal("a slot was granted after the deadline")
	}
}

// step runs one random command.
func (m *poolModel) step() {
	id := rapid.SampledFrom(modelServers).Draw(m.t, "server")
	switch rapid.IntRange(0, 19).Draw(m.t, "command") {
	case 0:
		m.setServers()
	case 1:
		if _, known := m.listed[id]; known {
			m.drained[id] = true
		}
		m.pool.Drain(id)
	case 2:
		delete(m.drained, id)
		m.pool.Resume(id)
	case 3:
		m.clock.Advance(time.Duration(rapid.IntRange(0, 500).Draw(m.t, "time")) * time.Millisecond)
		m.pool.Expire(m.clock.Now())
	case 4:
		if len(m.waiting) > 0 {
			m.pool.abandon(m.waiting[0])
			m.waiting = m.waiting[1:]
		}
	case 5, 6, 7, 8, 9, 10:
		if len(m.running) > 0 {
			i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "running")
			g := m.running[i]
			m.running = slices.Delete(m.running, i, i+1)
			g.Release()
			g.Release()
		}
	default:
		m.ask()
	}
	m.collect()
}

// check fails if a slot is free that a waiting request could use, or if the
// load is wrong.
func (m *poolModel) check() {
	for _, w := range m.waiting {
		if s := m.pool.servers.choose(&w.ask); s != nil {
			m.t.Fatalf("a request waits although %s has a free slot", s.id)
		}
	}
	load := m.pool.Load()
	if int(load.Busy) != len(m.running) || load.Queued != len(m.waiting) {
		m.t.Fatalf("load %+v with %d running and %d waiting", load, len(m.running), len(m.waiting))
	}
}

// TestSlotsHold guards against more requests than slots across any sequence
// of commands, and against free slots beside waiting requests.
func TestSlotsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		m := &poolModel{
			t: t, clock: clock,
			pool:    New(clock, Options{QueueSize: 8, ServiceTime: 50 * time.Millisecond}),
			drained: make(map[fleet.ServerID]bool),
		}
		m.setServers()
		for range 150 {
			m.step()
			m.check()
		}
	})
}
