package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// quiet takes no events.
type quiet struct{}

func (quiet) ServerSuspected(registry.Server, Result, time.Duration, float64) {}
func (quiet) ServerCleared(registry.Server, time.Duration)                    {}

// seeded is a random source that repeats.
type seeded struct{ *rand.Rand }

func newSeeded(seed uint64) seeded { return seeded{rand.New(rand.NewPCG(seed, 1))} }

var start = time.Unix(1_000_000, 0)

func listed(id string, domain fleet.Domain, slots fleet.Slots) registry.Server {
	return registry.Server{
		Incarnation: registry.Incarnation{ID: fleet.ServerID(id), StartedAt: 1},
		Service:     "s",
		Domain:      domain,
		Address:     "10.0.0.1:80",
		Slots:       slots,
		Presence:    fleet.Live,
	}
}

func newTestPool(servers ...registry.Server) *Pool {
	p := NewPool(Options{Domain: "a", Random: newSeeded(1), Events: quiet{}})
	p.Update(servers)
	return p
}

func protectedAsk() PickOptions {
	return PickOptions{Kind: "r", LatencyObjective: time.Second, TimeLeft: 2 * time.Second}
}

func idempotentAsk() PickOptions {
	return PickOptions{Kind: "r", Idempotent: true, AllowTrial: true, LatencyObjective: time.Second, TimeLeft: 2 * time.Second}
}

// pick chooses a server and fails the test if there is none.
func pick(t *testing.T, p *Pool, now time.Time, ask PickOptions) *Attempt {
	t.Helper()
	lease, refusal := p.Pick(now, ask)
	require.Equal(t, Chosen, refusal)
	return lease
}

// TestPickAvoids guards against requests to servers that are likely to fail
// them while others have room.
func TestPickAvoids(t *testing.T) {
	tests := []struct {
		name string
		// spoil makes the server "bad" worse than the other one.
		spoil func(t *testing.T, p *Pool, now time.Time)
	}{
		{"a server with a request that is outstanding for long", func(t *testing.T, p *Pool, now time.Time) {
			p.servers[registry.Incarnation{ID: "bad", StartedAt: 1}].leases = []*Attempt{{
				ExpectedDuration: 250 * time.Millisecond, started: now.Add(-600 * time.Millisecond), stallAfter: time.Second,
			}}
		}},
		{"a server that brought no answer", func(t *testing.T, p *Pool, now time.Time) {
			p.servers[registry.Incarnation{ID: "bad", StartedAt: 1}].belief = belief{}.stalled(now.Add(-2 * time.Second))
		}},
		{"a server that answered with an error", func(t *testing.T, p *Pool, now time.Time) {
			p.servers[registry.Incarnation{ID: "bad", StartedAt: 1}].belief = belief{failing: 0.02, at: now}.erred(now)
		}},
		{"a server that could not be reached", func(t *testing.T, p *Pool, now time.Time) {
			p.servers[registry.Incarnation{ID: "bad", StartedAt: 1}].cutUntil = now.Add(time.Second)
		}},
		{"a server of which another instance reports a stall", func(t *testing.T, p *Pool, now time.Time) {
			key := KeyOf(registry.Incarnation{ID: "bad", StartedAt: 1})
			p.ApplyReports(now, "other", []ServerReport{{Key: key, Outstanding: 1, FailureProbability: 0.95}})
		}},
		{"a server on which another instance has many requests", func(t *testing.T, p *Pool, now time.Time) {
			key := KeyOf(registry.Incarnation{ID: "bad", StartedAt: 1})
			p.ApplyReports(now, "other", []ServerReport{{Key: key, Outstanding: 12, FailureProbability: 0.02}})
		}},
		{"a server whose slots are all taken by its own word", func(t *testing.T, p *Pool, now time.Time) {
			s := p.servers[registry.Incarnation{ID: "bad", StartedAt: 1}]
			s.reported, s.reportedAt = Load{Running: 4, Waiting: 4, Slots: 4}, now
		}},
		{"a server of another failure domain", func(t *testing.T, p *Pool, now time.Time) {
			p.Update([]registry.Server{listed("bad", "b", 4), listed("good", "a", 4)})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(listed("bad", "a", 4), listed("good", "a", 4))
			test.spoil(t, p, start)
			for i := range 3 {
				lease := pick(t, p, start.Add(time.Duration(i)*time.Millisecond), protectedAsk())
				require.Equal(t, fleet.ServerID("good"), lease.Server.ID)
				lease.Finish(start.Add(time.Duration(i)*time.Millisecond), Abandoned, Load{})
			}
		})
	}
}

// TestPickWithoutChoice guards against a service that becomes unavailable since
// all of its servers are suspected.
func TestPickWithoutChoice(t *testing.T) {
	p := newTestPool(listed("only", "a", 4))
	lease := pick(t, p, start, protectedAsk())
	lease.Finish(start.Add(2*time.Second), Stalled, Load{})
	require.Equal(t, fleet.ServerID("only"), pick(t, p, start.Add(2*time.Second), protectedAsk()).Server.ID)
}

// TestPickRefuses guards against requests that wait for a server until their
// caller has gone.
func TestPickRefuses(t *testing.T) {
	p := newTestPool(listed("s", "a", 1))
	ask := protectedAsk()
	ask.TimeLeft = time.Second
	refused := false
	for range 8 {
		if _, refusal := p.Pick(start, ask); refusal == NoRoom {
			refused = true
		}
	}
	require.True(t, refused)
	_, refusal := newTestPool().Pick(start, ask)
	require.Equal(t, NoServer, refusal)
}

// TestLeavingGetsNothing guards against requests to servers that leave or are
// gone.
func TestLeavingGetsNothing(t *testing.T) {
	leaving := listed("leaving", "a", 4)
	leaving.Presence = fleet.Leaving
	p := newTestPool(listed("gone", "a", 4))
	p.Update([]registry.Server{leaving, listed("stays", "b", 4)})
	for range 20 {
		lease := pick(t, p, start, protectedAsk())
		require.Equal(t, fleet.ServerID("stays"), lease.Server.ID)
		lease.Finish(start, Abandoned, Load{})
	}
}

// TestRestartForgets guards against blaming a restarted server for what an
// earlier process under its id did.
func TestRestartForgets(t *testing.T) {
	p := newTestPool(listed("s", "a", 4), listed("other", "b", 4))
	lease := pick(t, p, start, protectedAsk())
	require.Equal(t, fleet.ServerID("s"), lease.Server.ID)
	lease.Finish(start.Add(time.Second), Stalled, Load{})
	again := listed("s", "a", 4)
	again.StartedAt = 2
	p.Update([]registry.Server{again, listed("other", "b", 4)})
	require.Equal(t, fleet.ServerID("s"), pick(t, p, start.Add(time.Second), protectedAsk()).Server.ID)
}

// TestTrials guards against suspected servers that never come back, and against
// trials by requests that must not run twice.
func TestTrials(t *testing.T) {
	p := newTestPool(listed("suspect", "a", 4), listed("sound", "a", 4))
	s := p.servers[registry.Incarnation{ID: "suspect", StartedAt: 1}]
	s.belief = belief{}.stalled(start)
	s.triedAt = start
	now := start.Add(maxTrialPause)
	require.Equal(t, fleet.ServerID("sound"), pick(t, p, now, protectedAsk()).Server.ID)
	trial := pick(t, p, now, idempotentAsk())
	require.Equal(t, fleet.ServerID("suspect"), trial.Server.ID)
	require.True(t, trial.Trial)
	require.False(t, pick(t, p, now, idempotentAsk()).Trial, "one trial at a time")
	trial.Finish(now.Add(200*time.Millisecond), Succeeded, Load{})
	for i := 0; s.condition(now) != Healthy; i++ {
		require.Less(t, i, 5, "successes clear the suspicion")
		now = now.Add(maxTrialPause)
		next := pick(t, p, now, idempotentAsk())
		next.Finish(now.Add(200*time.Millisecond), Succeeded, Load{})
	}
}

// TestTrialsMeetTheObjective guards against trials whose second attempt would
// come too late.
func TestTrialsMeetTheObjective(t *testing.T) {
	p := newTestPool(listed("suspect", "a", 4), listed("sound", "a", 4))
	p.servers[registry.Incarnation{ID: "suspect", StartedAt: 1}].belief = belief{}.stalled(start)
	p.usual["r"] = 500 * time.Millisecond
	require.False(t, pick(t, p, start.Add(maxTrialPause), idempotentAsk()).Trial)
}

// TestBelief guards against beliefs that do not follow the evidence.
func TestBelief(t *testing.T) {
	fresh := belief{failing: 0.1, at: start}
	tests := []struct {
		name string
		got  float64
		low  float64
		high float64
	}{
		{"a success makes a failure unlikely", fresh.passed(start).failing, 0, 0.05},
		{"an error makes it likely", fresh.passed(start).erred(start).failing, 0.4, 1},
		{"a stall makes it almost certain", fresh.stalled(start).failing, 0.9, 1},
		{"two successes clear an error", fresh.passed(start).erred(start).passed(start).passed(start).failing, 0, clearBelow},
		{"time makes it usual", fresh.stalled(start).now(start.Add(time.Minute)), usualFailing - 0.01, usualFailing + 0.01},
		{"a request in its usual time tells nothing", scale(0.02, outstanding(0.5)), 0.01, 0.04},
		{"one of twice that time tells much", scale(0.02, outstanding(2.2)), 0.4, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.GreaterOrEqual(t, test.got, test.low)
			require.LessOrEqual(t, test.got, test.high)
		})
	}
}

// floorDay is a service of which some servers are sound and the others fail a part
// of their requests.
type floorDay struct {
	sound    int
	others   int
	perSec   int
	errors   float64
	stalls   float64
	sheds    float64
	seed     uint64
	duration time.Duration
}

// sent is a request of a floorDay.
type sent struct {
	lease  *Attempt
	at     time.Time
	end    time.Time
	result Result
}

// play sends the requests of the day and returns them.
func (d floorDay) play(t *testing.T) []sent {
	var all []registry.Server
	for i := range d.sound {
		all = append(all, listed(fmt.Sprintf("sound%02d", i), "a", 4))
	}
	for i := range d.others {
		all = append(all, listed(fmt.Sprintf("other%02d", i), "a", 4))
	}
	p := newTestPool(all...)
	random := newSeeded(d.seed)
	ask := protectedAsk()
	ask.LatencyObjective = 800 * time.Millisecond
	var requests, open []sent
	for now := start; now.Before(start.Add(d.duration)); now = now.Add(time.Second / time.Duration(d.perSec)) {
		kept := open[:0]
		for _, r := range open {
			if r.end.After(now) {
				kept = append(kept, r)
				continue
			}
			r.lease.Finish(r.end, r.result, Load{})
		}
		open = kept
		r := sent{lease: pick(t, p, now, ask), at: now, end: now.Add(200 * time.Millisecond), result: Succeeded}
		if r.lease.Server.ID[0] == 'o' {
			switch x := random.Float64(); {
			case x < d.stalls:
				r.result, r.end = Stalled, now.Add(2*time.Second)
			case x < d.stalls+d.errors:
				r.result = Failed
			case x < d.stalls+d.errors+d.sheds:
				r.result, r.end = Shed, now.Add(time.Millisecond)
			}
		}
		open = append(open, r)
		requests = append(requests, r)
	}
	return requests
}

// TestFloor guards against ejection below the floor: while more than a tenth of
// the requests are not served, at least 0.7 of the sound servers must get
// requests in any 2 s.
func TestFloor(t *testing.T) {
	tests := []struct {
		name string
		day  floorDay
	}{
		{"many servers err at times", floorDay{sound: 12, others: 28, perSec: 110, errors: 0.5, seed: 1}},
		{"many servers stall", floorDay{sound: 12, others: 28, perSec: 110, stalls: 0.5, seed: 2}},
		{"few sound servers", floorDay{sound: 6, others: 41, perSec: 110, errors: 0.25, stalls: 0.25, seed: 3}},
		{"most servers stall a little", floorDay{sound: 6, others: 41, perSec: 110, stalls: 0.12, seed: 5}},
		{"most servers err a little", floorDay{sound: 6, others: 41, perSec: 110, errors: 0.14, seed: 6}},
		{"a large service with little load", floorDay{sound: 30, others: 60, perSec: 60, errors: 0.2, stalls: 0.1, seed: 7}},
		{"most servers shed a little", floorDay{sound: 10, others: 40, perSec: 110, sheds: 0.15, seed: 8}},
		{"most servers of a service with little load shed a little", floorDay{sound: 10, others: 40, perSec: 40, sheds: 0.16, seed: 9}},
		{"a small service", floorDay{sound: 4, others: 4, perSec: 30, errors: 0.4, stalls: 0.3, seed: 4}},
	}
	const window = 2 * time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.day.duration = 12 * time.Second
			requests := test.day.play(t)
			// The first second is left out, in which nothing was learnt yet.
			for from := start.Add(time.Second); from.Before(start.Add(test.day.duration - window)); from = from.Add(window / 8) {
				used := make(map[fleet.ServerID]bool)
				total, failed := 0, 0
				for _, r := range requests {
					if r.at.Before(from) || !r.at.Before(from.Add(window)) {
						continue
					}
					total++
					if r.result != Succeeded {
						failed++
					}
					if r.lease.Server.ID[0] == 's' {
						used[r.lease.Server.ID] = true
					}
				}
				if failed*10 <= total || failed*2 >= total {
					continue
				}
				require.GreaterOrEqual(t, float64(len(used)), 0.7*float64(test.day.sound), "from %v with %d of %d failed", from.Sub(start), failed, total)
			}
		})
	}
}
