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
	// floorDead and floorLeaving are how many servers die and leave.
	floorDead    = 2
	floorLeaving = 1
	// floorGrace is how long ejections may last after a server was lost: one
	// life of a permit, the time until the owner notices, and one report.
	floorGrace = 5 * time.Second
)

// outOfUse is what is known from outside about the servers of one service.
type outOfUse struct {
	service fleet.ServiceName
	total   int
	floor   int

	mu sync.Mutex
	// lost is since when each server is dead or leaving.
	lost map[fleet.ServerID]time.Time
}

// lose notes that a server is dead or leaving from now on.
func (o *outOfUse) lose(id fleet.ServerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost[id] = time.Now()
}

func (o *outOfUse) isLost(id fleet.ServerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, lost := o.lost[id]
	return lost
}

// lostBy counts the servers that were lost before a time.
func (o *outOfUse) lostBy(at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, since := range o.lost {
		if since.Before(at) {
			n++
		}
	}
	return n
}

// breaks reports whether ejections take the capacity below the floor.
func (o *outOfUse) breaks(at time.Time, ejected map[fleet.ServerID]bool) bool {
	return len(ejected) > 0 && o.total-o.lostBy(at.Add(-floorGrace))-len(ejected) < o.floor
}

// ejectedIn returns the servers of a service that any instance says are
// ejected, without those that are lost.
func (o *outOfUse) ejectedIn(states map[harness.Slot]operator.InstanceState) map[fleet.ServerID]bool {
	union := map[fleet.ServerID]bool{}
	for _, state := range states {
		for _, e := range state.Ejections {
			if e.Service == o.service && !o.isLost(e.Server) {
				union[e.Server] = true
			}
		}
	}
	return union
}

// proveFloor shows that ejections never take a service below its floor while
// most of its servers fail partially and others die and leave.
func proveFloor(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "floor", func(d *harness.Deployment, _ *questionnaire.Answers) {
		// Servers that fail keep their slots longer; slow ones need less load.
		d.Services[0].Mean = 2 * d.Services[0].Mean
	})
	if err != nil {
		return err
	}
	defer s.close()
	callers, err := s.clients()
	if err != nil {
		return err
	}
	defer callers.close()
	if err := s.waitPermits(ctx); err != nil {
		return err
	}
	service := s.deployment.Services[0]
	out := &outOfUse{
		service: service.Name,
		total:   service.Servers,
		floor:   int(s.answers.Services[0].Floor),
		lost:    map[fleet.ServerID]time.Time{},
	}
	runFor := 40 * time.Second
	if options.Short {
		runFor = 9 * time.Second
	}
	var samples []floorSample
	sampling := s.sample(ctx, func(at time.Time, states map[harness.Slot]operator.InstanceState) {
		samples = append(samples, floorSample{at, out.ejectedIn(states)})
	})
	defer sampling.stop()
	report, err := s.load(ctx, bench.Plan{
		Steps: []bench.Step{{For: runFor, PerSecond: grayRate * float64(len(s.fleet.Servers()))}},
		Mix:   s.serverMix(),
	}, callers, s.grayMany(out, service, runFor))
	if err != nil {
		return err
	}
	sampling.stop()
	journals := observe.NewLogReader(s.fleet)
	if err := journals.ReadNew(); err != nil {
		return err
	}
	judgeSamples(v, out, samples)
	judgeTimeline(v, out, timeline(journals.Events(), out))
	v.note("floor %d of %d servers, %d requests of the service's callers, %d good", out.floor, out.total, report.Total.Offered, report.Total.Good)
	return nil
}

// floorSample is the union of ejected servers at one time.
type floorSample struct {
	at      time.Time
	ejected map[fleet.ServerID]bool
}

// grayMany returns a script that loses some servers, makes many of the others
// fail partially at once, and then loses one more.
func (s *stage) grayMany(out *outOfUse, service harness.Service, during time.Duration) script {
	names := make([]fleet.ServerID, 0, service.Servers)
	for _, n := range s.rng.Perm(service.Servers) {
		names = append(names, harness.ServerName(service.Name, n+1))
	}
	lose := func(id fleet.ServerID, how func(context.Context, fleet.ServerID) error) func(context.Context) error {
		return func(ctx context.Context) error {
			out.lose(id)
			return how(ctx, id)
		}
	}
	die := func(ctx context.Context, id fleet.ServerID) error {
		return s.fleet.SetServerFault(ctx, id, server.Fault{Kind: server.FaultRefuse})
	}
	var all script
	for _, id := range names[:floorDead] {
		all = append(all, step{time.Second, string(id) + " dies", lose(id, die)})
	}
	for _, id := range names[floorDead : floorDead+floorLeaving] {
		all = append(all, step{time.Second, string(id) + " leaves", lose(id, s.fleet.DrainServer)})
	}
	gray := names[floorDead+floorLeaving : len(names)-service.Servers/5]
	faults := []server.Fault{
		{Kind: server.FaultStall}, {Kind: server.FaultFail, Share: 0.8}, {Kind: server.FaultSlow, Factor: 10}, {Kind: server.FaultFlap},
	}
	all = append(all, step{during / 5, "many servers fail partially", func(ctx context.Context) error {
		for n, id := range gray {
			if err := s.fleet.SetServerFault(ctx, id, faults[n%len(faults)]); err != nil {
				return err
			}
		}
		return nil
	}})
	last := names[len(names)-1]
	return append(all, step{during * 3 / 5, string(last) + " dies too", lose(last, die)})
}

// judgeSamples checks the union in the samples. The states of a sample are
// not read at one moment, so a server that returns while another is ejected
// may count twice; only two samples in a row are evidence.
func judgeSamples(v *Verdict, out *outOfUse, samples []floorSample) {
	most, broken := 0, 0
	before := false
	for _, one := range samples {
		most = max(most, len(one.ejected))
		breaks := out.breaks(one.at, one.ejected)
		if breaks && before {
			broken++
		}
		before = breaks
	}
	v.check(broken == 0, "0", "%d of %d samples below the floor", broken, len(samples))
	v.check(most > 0, "> 0", "up to %d servers ejected at once", most)
}

// timeline returns the union of ejected servers after each change, from the
// exact times of the logs.
func timeline(changes []observe.LogEvent, out *outOfUse) []floorSample {
	owners := map[fleet.ServerID]harness.Slot{}
	var all []floorSample
	for _, c := range changes {
		changed := false
		switch {
		case c.Server != "" && isOf(c.Server, out.service):
			if !out.isLost(c.Server) && (c.HealthAfter == health.Ejected.String() || c.HealthAfter == health.Trial.String()) {
				owners[c.Server] = c.Slot
			} else if owners[c.Server] == c.Slot {
				delete(owners, c.Server)
			}
			changed = true
		case c.Restarted:
			for id, slot := range owners {
				if slot == c.Slot {
					delete(owners, id)
				}
			}
		default:
			for _, id := range c.Released {
				if owners[id] == c.Slot {
					delete(owners, id)
				}
			}
		}
		if changed {
			all = append(all, floorSample{c.At, keysOf(owners)})
		}
	}
	return all
}

func isOf(id fleet.ServerID, service fleet.ServiceName) bool {
	return strings.HasPrefix(string(id), string(service)+"-")
}

func keysOf(owners map[fleet.ServerID]harness.Slot) map[fleet.ServerID]bool {
	set := map[fleet.ServerID]bool{}
	for id := range owners {
		set[id] = true
	}
	return set
}

// judgeTimeline checks the union after each change in the logs.
func judgeTimeline(v *Verdict, out *outOfUse, line []floorSample) {
	broken := slices.DeleteFunc(slices.Clone(line), func(one floorSample) bool { return !out.breaks(one.at, one.ejected) })
	v.check(len(broken) == 0, "0", "%d of %d changes below the floor", len(broken), len(line))
	for _, one := range broken[:min(len(broken), 5)] {
		v.note("%s: %d ejected, %d lost", one.at.Format("15:04:05.000"), len(one.ejected), out.lostBy(one.at.Add(-floorGrace)))
	}
}
