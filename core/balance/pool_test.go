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

// noEvents ignores all events.
type noEvents struct{}

func (noEvents) ServerSuspected(registry.Server, Result, time.Duration, float64) {}
func (noEvents) ServerCleared(registry.Server, time.Duration)                    {}
func (noEvents) ServerAnnouncedLeaving(registry.Server)                          {}
func (noEvents) ServerPaused(registry.Server, time.Duration)                     {}

// seededRandom is a deterministic source of random numbers.
type seededRandom struct{ *rand.Rand }

func newSeededRandom(seed uint64) seededRandom { return seededRandom{rand.New(rand.NewPCG(seed, 1))} }

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
	p := NewPool(Options{Domain: "a", Random: newSeededRandom(1), Events: noEvents{}})
	p.Update(servers)
	return p
}

func protectedOptions() PickOptions {
	return PickOptions{Kind: "r", LatencyObjective: time.Second, TimeLeft: 2 * time.Second}
}

func idempotentOptions() PickOptions {
	return PickOptions{Kind: "r", Idempotent: true, AllowTrial: true, LatencyObjective: time.Second, TimeLeft: 2 * time.Second}
}

// pick fails the test if no server is chosen.
func pick(t *testing.T, p *Pool, now time.Time, options PickOptions) *Attempt {
	t.Helper()
	attempt, refusal := p.Pick(now, options)
	require.Equal(t, Chosen, refusal)
	return attempt
}

// TestPickAvoids guards against requests to a server that is likely to fail or delay
// them while another one has room.
func TestPickAvoids(t *testing.T) {
	tests := []struct {
		name string
		// spoil makes the server "bad" a worse choice than "good".
		spoil func(t *testing.T, p *Pool, now time.Time)
	}{
		{"a server with an overdue request", func(t *testing.T, p *Pool, now time.Time) {
			p.byIncarnation[registry.Incarnation{ID: "bad", StartedAt: 1}].attempts = []*Attempt{{
				ExpectedDuration: 250 * time.Millisecond, startedAt: now.Add(-600 * time.Millisecond), stallAfter: time.Second,
			}}
		}},
		{"a server that stalled", func(t *testing.T, p *Pool, now time.Time) {
			p.byIncarnation[registry.Incarnation{ID: "bad", StartedAt: 1}].ownEstimate = failureEstimate{}.afterStall(now.Add(-2 * time.Second))
		}},
		{"a server that returned an error", func(t *testing.T, p *Pool, now time.Time) {
			p.byIncarnation[registry.Incarnation{ID: "bad", StartedAt: 1}].ownEstimate = failureEstimate{probability: 0.02, updatedAt: now}.afterError(now)
		}},
		{"an unreachable server", func(t *testing.T, p *Pool, now time.Time) {
			p.byIncarnation[registry.Incarnation{ID: "bad", StartedAt: 1}].cutUntil = now.Add(time.Second)
		}},
		{"a server that another instance reports as stalled", func(t *testing.T, p *Pool, now time.Time) {
			key := KeyOf(registry.Incarnation{ID: "bad", StartedAt: 1})
			p.ApplyReports(now, "other", []ServerReport{{Key: key, Outstanding: 1, FailureProbability: 0.95}})
		}},
		{"a server on which another instance has many requests", func(t *testing.T, p *Pool, now time.Time) {
			key := KeyOf(registry.Incarnation{ID: "bad", StartedAt: 1})
			p.ApplyReports(now, "other", []ServerReport{{Key: key, Outstanding: 12, FailureProbability: 0.02}})
		}},
		{"a server that reports all slots as occupied", func(t *testing.T, p *Pool, now time.Time) {
			s := p.byIncarnation[registry.Incarnation{ID: "bad", StartedAt: 1}]
			s.reportedLoad, s.loadReportedAt = Load{Running: 4, Waiting: 4, Slots: 4}, now
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
				attempt := pick(t, p, start.Add(time.Duration(i)*time.Millisecond), protectedOptions())
				require.Equal(t, fleet.ServerID("good"), attempt.Server.ID)
				attempt.Finish(start.Add(time.Duration(i)*time.Millisecond), Abandoned, Load{})
			}
		})
	}
}

// TestPickSuspectedIfNoOther guards against a service that becomes unavailable because
// all its servers are suspected.
func TestPickSuspectedIfNoOther(t *testing.T) {
	p := newTestPool(listed("only", "a", 4))
	attempt := pick(t, p, start, protectedOptions())
	attempt.Finish(start.Add(2*time.Second), Stalled, Load{})
	require.Equal(t, fleet.ServerID("only"), pick(t, p, start.Add(2*time.Second), protectedOptions()).Server.ID)
}

// TestPickRefuses guards against requests that queue past their deadline.
func TestPickRefuses(t *testing.T) {
	p := newTestPool(listed("s", "a", 1))
	options := protectedOptions()
	options.TimeLeft = time.Second
	refused := false
	for range 8 {
		if _, refusal := p.Pick(start, options); refusal == NoRoom {
			refused = true
		}
	}
	require.True(t, refused)
	_, refusal := newTestPool().Pick(start, options)
	require.Equal(t, NoServer, refusal)
}

// TestLeavingServerGetsNoRequests guards against requests to servers that are leaving
// or were removed.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	leaving := listed("leaving", "a", 4)
	leaving.Presence = fleet.Leaving
	p := newTestPool(listed("gone", "a", 4))
	p.Update([]registry.Server{leaving, listed("stays", "b", 4)})
	for range 20 {
		attempt := pick(t, p, start, protectedOptions())
		require.Equal(t, fleet.ServerID("stays"), attempt.Server.ID)
		attempt.Finish(start, Abandoned, Load{})
	}
}

// TestRestartClearsFailures guards against a restarted server that is avoided for
// failures of its previous incarnation.
func TestRestartClearsFailures(t *testing.T) {
	p := newTestPool(listed("s", "a", 4), listed("other", "b", 4))
	attempt := pick(t, p, start, protectedOptions())
	require.Equal(t, fleet.ServerID("s"), attempt.Server.ID)
	attempt.Finish(start.Add(time.Second), Stalled, Load{})
	restarted := listed("s", "a", 4)
	restarted.StartedAt = 2
	p.Update([]registry.Server{restarted, listed("other", "b", 4)})
	require.Equal(t, fleet.ServerID("s"), pick(t, p, start.Add(time.Second), protectedOptions()).Server.ID)
}

// TestTrials guards against suspected servers that are never used again, and against
// trials by non-idempotent requests.
func TestTrials(t *testing.T) {
	p := newTestPool(listed("suspect", "a", 4), listed("sound", "a", 4))
	s := p.byIncarnation[registry.Incarnation{ID: "suspect", StartedAt: 1}]
	s.ownEstimate = failureEstimate{}.afterStall(start)
	s.lastAttemptAt = start
	now := start.Add(maxTrialInterval)
	require.Equal(t, fleet.ServerID("sound"), pick(t, p, now, protectedOptions()).Server.ID)
	trial := pick(t, p, now, idempotentOptions())
	require.Equal(t, fleet.ServerID("suspect"), trial.Server.ID)
	require.True(t, trial.Trial)
	require.False(t, pick(t, p, now, idempotentOptions()).Trial, "one trial at a time")
	trial.Finish(now.Add(200*time.Millisecond), Succeeded, Load{})
	for i := 0; s.condition(now) != Healthy; i++ {
		require.Less(t, i, 5, "successes clear the suspicion")
		now = now.Add(maxTrialInterval)
		next := pick(t, p, now, idempotentOptions())
		next.Finish(now.Add(200*time.Millisecond), Succeeded, Load{})
	}
}

// TestTrialsMeetTheObjective guards against trials whose second attempt would miss the
// latency objective.
func TestTrialsMeetTheObjective(t *testing.T) {
	p := newTestPool(listed("suspect", "a", 4), listed("sound", "a", 4))
	p.byIncarnation[registry.Incarnation{ID: "suspect", StartedAt: 1}].ownEstimate = failureEstimate{}.afterStall(start)
	p.durations["r"] = 500 * time.Millisecond
	require.False(t, pick(t, p, start.Add(maxTrialInterval), idempotentOptions()).Trial)
}

// TestFailureEstimate guards against estimates that move against the evidence.
func TestFailureEstimate(t *testing.T) {
	fresh := failureEstimate{probability: 0.1, updatedAt: start}
	tests := []struct {
		name string
		got  float64
		low  float64
		high float64
	}{
		{"a success makes the failing state unlikely", fresh.afterSuccess(start).probability, 0, 0.05},
		{"an error makes it likely", fresh.afterSuccess(start).afterError(start).probability, 0.4, 1},
		{"a stall makes it almost certain", fresh.afterStall(start).probability, 0.9, 1},
		{"two successes clear an error", fresh.afterSuccess(start).afterError(start).afterSuccess(start).afterSuccess(start).probability, 0, clearThreshold},
		{"it returns to the baseline over time", fresh.afterStall(start).probabilityAt(start.Add(time.Minute)), baselineProbability - 0.01, baselineProbability + 0.01},
		{"a request within its expected duration changes little", applyLikelihood(0.02, outstandingLikelihood(0.5)), 0.01, 0.04},
		{"a request of twice its expected duration raises it", applyLikelihood(0.02, outstandingLikelihood(2.2)), 0.4, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.GreaterOrEqual(t, test.got, test.low)
			require.LessOrEqual(t, test.got, test.high)
		})
	}
}

// floorScenario describes a service in which some servers are healthy and the others
// fail a share of their requests.
type floorScenario struct {
	healthyServers    int
	failingServers    int
	requestsPerSecond int
	errorShare        float64
	stallShare        float64
	shedShare         float64
	seed              uint64
	duration          time.Duration
}

// sentRequest is one request of a floorScenario.
type sentRequest struct {
	attempt   *Attempt
	startedAt time.Time
	endsAt    time.Time
	result    Result
}

// run simulates the requests of the scenario and returns them.
func (s floorScenario) run(t *testing.T) []sentRequest {
	var all []registry.Server
	for i := range s.healthyServers {
		all = append(all, listed(fmt.Sprintf("sound%02d", i), "a", 4))
	}
	for i := range s.failingServers {
		all = append(all, listed(fmt.Sprintf("other%02d", i), "a", 4))
	}
	p := newTestPool(all...)
	random := newSeededRandom(s.seed)
	options := protectedOptions()
	options.LatencyObjective = 800 * time.Millisecond
	var requests, outstanding []sentRequest
	for now := start; now.Before(start.Add(s.duration)); now = now.Add(time.Second / time.Duration(s.requestsPerSecond)) {
		kept := outstanding[:0]
		for _, r := range outstanding {
			if r.endsAt.After(now) {
				kept = append(kept, r)
				continue
			}
			r.attempt.Finish(r.endsAt, r.result, Load{})
		}
		outstanding = kept
		r := sentRequest{attempt: pick(t, p, now, options), startedAt: now, endsAt: now.Add(200 * time.Millisecond), result: Succeeded}
		if r.attempt.Server.ID[0] == 'o' {
			switch x := random.Float64(); {
			case x < s.stallShare:
				r.result, r.endsAt = Stalled, now.Add(2*time.Second)
			case x < s.stallShare+s.errorShare:
				r.result = Failed
			case x < s.stallShare+s.errorShare+s.shedShare:
				r.result, r.endsAt = Shed, now.Add(time.Millisecond)
			}
		}
		outstanding = append(outstanding, r)
		requests = append(requests, r)
	}
	return requests
}

// TestFloor guards against the ejection of healthy servers: while more than a tenth of
// the requests fail, at least 0.7 of the healthy servers must get requests in any 2 s.
func TestFloor(t *testing.T) {
	tests := []struct {
		name     string
		scenario floorScenario
	}{
		{"many servers return errors", floorScenario{healthyServers: 12, failingServers: 28, requestsPerSecond: 110, errorShare: 0.5, seed: 1}},
		{"many servers stall", floorScenario{healthyServers: 12, failingServers: 28, requestsPerSecond: 110, stallShare: 0.5, seed: 2}},
		{"few healthy servers", floorScenario{healthyServers: 6, failingServers: 41, requestsPerSecond: 110, errorShare: 0.25, stallShare: 0.25, seed: 3}},
		{"most servers stall on a few requests", floorScenario{healthyServers: 6, failingServers: 41, requestsPerSecond: 110, stallShare: 0.12, seed: 5}},
		{"most servers return a few errors", floorScenario{healthyServers: 6, failingServers: 41, requestsPerSecond: 110, errorShare: 0.14, seed: 6}},
		{"a large service with little load", floorScenario{healthyServers: 30, failingServers: 60, requestsPerSecond: 60, errorShare: 0.2, stallShare: 0.1, seed: 7}},
		{"most servers shed a few requests", floorScenario{healthyServers: 10, failingServers: 40, requestsPerSecond: 110, shedShare: 0.15, seed: 8}},
		{"most servers of a service with little load shed a few requests", floorScenario{healthyServers: 10, failingServers: 40, requestsPerSecond: 40, shedShare: 0.16, seed: 9}},
		{"a small service", floorScenario{healthyServers: 4, failingServers: 4, requestsPerSecond: 30, errorShare: 0.4, stallShare: 0.3, seed: 4}},
	}
	const window = 2 * time.Second
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.scenario.duration = 12 * time.Second
			requests := test.scenario.run(t)
			// The first second is skipped, since the estimates have no evidence yet.
			for from := start.Add(time.Second); from.Before(start.Add(test.scenario.duration - window)); from = from.Add(window / 8) {
				used := make(map[fleet.ServerID]bool)
				total, failed := 0, 0
				for _, r := range requests {
					if r.startedAt.Before(from) || !r.startedAt.Before(from.Add(window)) {
						continue
					}
					total++
					if r.result != Succeeded {
						failed++
					}
					if r.attempt.Server.ID[0] == 's' {
						used[r.attempt.Server.ID] = true
					}
				}
				if failed*10 <= total || failed*2 >= total {
					continue
				}
				require.GreaterOrEqual(t, float64(len(used)), 0.7*float64(test.scenario.healthyServers), "from %v with %d of %d failed", from.Sub(start), failed, total)
			}
		})
	}
}
