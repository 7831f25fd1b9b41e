package proof

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"galenaridge/bench"
	"galenaridge/core/fleet"
	"galenaridge/core/health"
	"galenaridge/core/questionnaire"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/observe"
	"galenaridge/standin/server"
)

const (
	// floorDeadServers and floorLeavingServers are the numbers of servers that
	// refuse connections and that leave.
	floorDeadServers    = 2
	floorLeavingServers = 1
	// floorGracePeriod is how long ejections may stay below the floor after a
	// server was lost: one permit TTL, the time until the owner detects the
	// loss, and one report to the steward.
	floorGracePeriod = 5 * time.Second
)

// floorChecker checks the ejections of one service against its floor. It counts
// a server as lost from the time at which the proof itself makes it refuse
// connections or leave. It is safe for concurrent use.
type floorChecker struct {
	service     fleet.ServiceName
	serverCount int
	floor       int

	mu sync.Mutex
	// lostAt is the time at which each lost server began to refuse connections
	// or to leave.
	lostAt map[fleet.ServerID]time.Time
}

// markLost records that a server is lost from now on.
func (c *floorChecker) markLost(id fleet.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostAt[id] = time.Now()
}

func (c *floorChecker) isLost(id fleet.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.lostAt[id]
	return found
}

// countLostBefore returns the number of servers that were lost before a time.
func (c *floorChecker) countLostBefore(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, lostAt := range c.lostAt {
		if lostAt.Before(at) {
			count++
		}
	}
	return count
}

// belowFloor reports whether the ejected servers leave fewer servers in use
// than the floor. Servers that were lost within floorGracePeriod before the
// time still count as in use.
func (c *floorChecker) belowFloor(at time.Time, ejected map[fleet.ServerID]bool) bool {
	return len(ejected) > 0 && c.serverCount-c.countLostBefore(at.Add(-floorGracePeriod))-len(ejected) < c.floor
}

// ejectedServers returns the servers of the service that at least one instance
// reports as ejected, without the lost servers.
func (c *floorChecker) ejectedServers(states map[harness.Slot]operator.InstanceState) map[fleet.ServerID]bool {
	ejected := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, ejection := range state.Ejections {
			if ejection.Service == c.service && !c.isLost(ejection.Server) {
				ejected[ejection.Server] = true
			}
		}
	}
	return ejected
}

// proveFloor shows that ejections never take a service below its floor while
// most of its servers fail partially, and others refuse connections or leave.
func proveFloor(ctx context.Context, options Options, v *Verdict) error {
	s, err := startSystem(ctx, options, "floor", func(d *harness.Deployment, _ *questionnaire.Answers) {
		// With a longer service time, failing servers occupy their slots for
		// longer, and slow servers need less load.
		d.Services[0].Mean = 2 * d.Services[0].Mean
	})
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.newClients()
	if err != nil {
		return err
	}
	defer callers.close()
	if err := s.waitPermits(ctx); err != nil {
		return err
	}
	service := s.deployment.Services[0]
	checker := &floorChecker{
		service:     service.Name,
		serverCount: service.Servers,
		floor:       int(s.answers.Services[0].Floor),
		lostAt:      map[fleet.ServerID]time.Time{},
	}
	runFor := 40 * time.Second
	if options.Short {
		runFor = 9 * time.Second
	}
	var samples []ejectionSample
	sampling := s.startSampling(ctx, func(at time.Time, states map[harness.Slot]operator.InstanceState) {
		samples = append(samples, ejectionSample{at, checker.ejectedServers(states)})
	})
	defer sampling.stop()
	report, err := s.runLoad(ctx, bench.Plan{
		Steps: []bench.Step{{For: runFor, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.readMix(),
	}, callers, s.floorFaults(checker, service, runFor))
	if err != nil {
		return err
	}
	sampling.stop()
	logs := observe.NewLogReader(s.fleet)
	if err := logs.ReadNew(); err != nil {
		return err
	}
	checkSamples(v, checker, samples)
	checkTimeline(v, checker, ejectionTimeline(logs.Events(), checker))
	v.addNote("floor %d of %d servers, %d requests of the service's callers, %d good", checker.floor, checker.serverCount, report.Total.Offered, report.Total.Good)
	return nil
}

// ejectionSample holds the servers that were ejected at one time, by any
// instance.
type ejectionSample struct {
	at      time.Time
	ejected map[fleet.ServerID]bool
}

// floorFaults returns a script in which some servers are lost, many others fail
// partially at once, and one more server is lost after that.
func (s *system) floorFaults(checker *floorChecker, service harness.Service, duration time.Duration) script {
	ids := make([]fleet.ServerID, 0, service.Servers)
	for _, n := range s.rng.Perm(service.Servers) {
		ids = append(ids, harness.ServerName(service.Name, n+1))
	}
	loseFunc := func(id fleet.ServerID, fail func(context.Context, fleet.ServerID) error) func(context.Context) error {
		return func(ctx context.Context) error {
			checker.markLost(id)
			return fail(ctx, id)
		}
	}
	refuse := func(ctx context.Context, id fleet.ServerID) error {
		return s.fleet.SetServerFault(ctx, id, server.Fault{Kind: server.FaultRefuse})
	}
	var steps script
	for _, id := range ids[:floorDeadServers] {
		steps = append(steps, step{time.Second, string(id) + " dies", loseFunc(id, refuse)})
	}
	for _, id := range ids[floorDeadServers : floorDeadServers+floorLeavingServers] {
		steps = append(steps, step{time.Second, string(id) + " leaves", loseFunc(id, s.fleet.DrainServer)})
	}
	partiallyFailing := ids[floorDeadServers+floorLeavingServers : len(ids)-service.Servers/5]
	faults := []server.Fault{
		{Kind: server.FaultStall}, {Kind: server.FaultFail, Share: 0.8}, {Kind: server.FaultSlow, Factor: 10}, {Kind: server.FaultFlap},
	}
	steps = append(steps, step{duration / 5, "many servers fail partially", func(ctx context.Context) error {
		for n, id := range partiallyFailing {
			if err := s.fleet.SetServerFault(ctx, id, faults[n%len(faults)]); err != nil {
				return err
			}
		}
		return nil
	}})
	lastLost := ids[len(ids)-1]
	return append(steps, step{duration * 3 / 5, string(lastLost) + " dies too", loseFunc(lastLost, refuse)})
}

// checkSamples checks the floor in the samples of the states. The states of one
// sample are read at slightly different times, so it may contain both a server
// that was just reinstated and one that was ejected after it. Only two
// consecutive samples below the floor are a violation.
func checkSamples(v *Verdict, checker *floorChecker, samples []ejectionSample) {
	maxEjected, violations := 0, 0
	previousBelow := false
	for _, sample := range samples {
		maxEjected = max(maxEjected, len(sample.ejected))
		below := checker.belowFloor(sample.at, sample.ejected)
		if below && previousBelow {
			violations++
		}
		previousBelow = below
	}
	v.addCheck(violations == 0, "0", "%d of %d samples below the floor", violations, len(samples))
	v.addCheck(maxEjected > 0, "> 0", "up to %d servers ejected at once", maxEjected)
}

// ejectionTimeline returns the ejected servers after each event in the logs,
// whose times are exact.
func ejectionTimeline(events []observe.LogEvent, checker *floorChecker) []ejectionSample {
	owners := map[fleet.ServerID]harness.Slot{}
	var samples []ejectionSample
	for _, event := range events {
		changed := false
		switch {
		case event.Server != "" && belongsTo(event.Server, checker.service):
			if !checker.isLost(event.Server) && (event.HealthAfter == health.Ejected.String() || event.HealthAfter == health.Trial.String()) {
				owners[event.Server] = event.Slot
			} else if owners[event.Server] == event.Slot {
				delete(owners, event.Server)
			}
			changed = true
		case event.Restarted:
			for id, slot := range owners {
				if slot == event.Slot {
					delete(owners, id)
				}
			}
		default:
			for _, id := range event.Released {
				if owners[id] == event.Slot {
					delete(owners, id)
				}
			}
		}
		if changed {
			samples = append(samples, ejectionSample{event.At, serverSet(owners)})
		}
	}
	return samples
}

func belongsTo(id fleet.ServerID, service fleet.ServiceName) bool {
	return strings.HasPrefix(string(id), string(service)+"-")
}

func serverSet(owners map[fleet.ServerID]harness.Slot) map[fleet.ServerID]bool {
	set := map[fleet.ServerID]bool{}
	for id := range owners {
		set[id] = true
	}
	return set
}

// checkTimeline checks the floor after each event in the logs.
func checkTimeline(v *Verdict, checker *floorChecker, samples []ejectionSample) {
	violations := slices.DeleteFunc(slices.Clone(samples), func(sample ejectionSample) bool { return !checker.belowFloor(sample.at, sample.ejected) })
	v.addCheck(len(violations) == 0, "0", "%d of %d changes below the floor", len(violations), len(samples))
	for _, sample := range violations[:min(len(violations), 5)] {
		v.addNote("%s: %d ejected, %d lost", sample.at.Format("15:04:05.000"), len(sample.ejected), checker.countLostBefore(sample.at.Add(-floorGracePeriod)))
	}
}
