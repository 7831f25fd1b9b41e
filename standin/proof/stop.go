package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/core/fleet"
	"galenaridge/core/questionnaire"
	"galenaridge/standin/harness"
)

// stopLoad is the share of what the servers bear; a stop must not meet an
// overload, in which requests may time out.
const stopLoad = 0.08

// keeper is a caller that keeps an assignment for its whole lifetime, also
// when an instance asks it to move, and sends each request once.
type keeper struct {
	entries []fleet.Address
	domain  fleet.Domain
	wire    *wire

	mu      sync.Mutex
	rng     *rand.Rand
	tickets map[fleet.ServiceName]*ticket
	// refused counts connections that were refused.
	refused int
}

// Do implements bench.Caller.
func (k *keeper) Do(_ context.Context, q client.Request) (client.Result, error) {
	deadline := time.Now().Add(patience)
	result := client.Result{Outcome: fleet.NotRun, Code: client.Unreachable, Key: q.Key}
	for range ticketTrials {
		t := k.ticket(q.Service)
		if t == nil {
			continue
		}
		token := ""
		address := k.address(t)
		if q.Protected {
			token, address = t.Token, t.home()
		}
		sent, _, err := k.wire.send(address, q, token, deadline)
		if !unsent(err) {
			return sent, err
		}
		k.drop(q.Service, t)
	}
	return result, nil
}

// ticket returns the ticket in use or asks random instances for one.
func (k *keeper) ticket(service fleet.ServiceName) *ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.tickets[service]; t != nil && time.Now().Before(t.ends) {
		return t
	}
	for range ticketTrials {
		t, err := k.wire.assign(k.entries[k.rng.IntN(len(k.entries))], service, k.domain)
		if err == nil {
			k.tickets[service] = t
			return t
		}
	}
	return nil
}

// address returns a random one of the assigned addresses.
func (k *keeper) address(t *ticket) fleet.Address {
	k.mu.Lock()
	defer k.mu.Unlock()
	return t.Addresses[k.rng.IntN(len(t.Addresses))].Address
}

func (k *keeper) drop(service fleet.ServiceName, old *ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused++
	if k.tickets[service] == old {
		delete(k.tickets, service)
	}
}

// keepers returns one caller that keeps its assignments for each failure
// domain.
func (s *stage) keepers() *crowd[*keeper] {
	wire := newWire(s.fleet.ClientVia())
	all := &crowd[*keeper]{}
	for _, domain := range s.deployment.Domains {
		s.runs++
		all.callers = append(all.callers, &keeper{
			entries: s.fleet.Entries(),
			domain:  domain,
			wire:    wire,
			rng:     rand.New(rand.NewPCG(s.options.Seed, s.runs)),
			tickets: map[fleet.ServiceName]*ticket{},
		})
	}
	return all
}

// maxCuts bounds the cut requests that a proof describes.
const maxCuts = 10

// cutLog describes the requests of a caller that were cut.
type cutLog struct {
	stage  *stage
	name   string
	caller bench.Caller

	mu   sync.Mutex
	cuts []string
}

// Do implements bench.Caller.
func (c *cutLog) Do(ctx context.Context, q client.Request) (client.Result, error) {
	began := time.Now()
	result, err := c.caller.Do(ctx, q)
	if result.Outcome != fleet.Unknown {
		return result, err
	}
	slot, _ := c.stage.slotAt(result.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) < maxCuts {
		c.cuts = append(c.cuts, fmt.Sprintf("%s: %s %s cut at %s, %s to %s: %s %s %v", c.name, q.Method, q.Service,
			slot, began.UTC().Format("15:04:05.000"), time.Now().UTC().Format("15:04:05.000"), result.Code, result.Message, err))
	}
	return result, err
}

// proveStop shows that a planned stop cuts no request: every instance is
// stopped and replaced under load, one after another.
func proveStop(ctx context.Context, options Options, v *Verdict) error {
	s, err := open(ctx, options, "stop", func(_ *harness.Deployment, a *questionnaire.Answers) {
		if options.Short {
			a.Limits.Assignment = time.Second
		}
	})
	if err != nil {
		return err
	}
	defer s.close()
	followers, err := s.clients()
	if err != nil {
		return err
	}
	defer followers.close()
	stubborn := s.keepers()
	defer stubborn.callers[0].wire.close()
	logs := []*cutLog{{stage: s, name: "follower", caller: followers}, {stage: s, name: "keeper", caller: stubborn}}
	all := &crowd[*cutLog]{callers: logs}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var failure error
	stopped := 0
	var longest time.Duration
	rolling := script{{time.Second, "stop and replace every instance", func(context.Context) error {
		defer stop()
		stopped, longest, failure = s.rollingStop(ctx)
		return nil
	}}}
	report, err := s.load(loading, bench.Plan{
		Steps: []bench.Step{{For: maxStop, PerSecond: stopLoad * s.capacity()}},
		Mix:   s.capacityMix(),
	}, all, rolling)
	if failure != nil {
		return failure
	}
	if err != nil {
		return err
	}
	refused := 0
	for _, k := range stubborn.callers {
		refused += k.refused
	}
	cut := report.Total.Unknown
	v.check(cut == 0, "0", "%d requests cut of %d", cut, report.Total.Offered)
	v.check(report.Total.Wrong == 0, "0", "%d wrong answers", report.Total.Wrong)
	v.check(stopped == len(s.fleet.Slots()), "all", "%d of %d instances stopped and replaced", stopped, len(s.fleet.Slots()))
	v.check(2*report.Total.Good > report.Total.Offered, "most", "%d good", report.Total.Good)
	v.note("%d not run, %d stale connections refused, longest stop %s, codes %v",
		report.Total.NotRun, refused, longest.Round(time.Millisecond), codes(report))
	for _, log := range logs {
		for _, cut := range log.cuts {
			v.note("%s", cut)
		}
	}
	return nil
}

// maxStop bounds the load of a rolling stop.
const maxStop = 5 * time.Minute

// rollingStop stops and replaces all instances, one after another, and
// returns how many and the longest time of a stop.
func (s *stage) rollingStop(ctx context.Context) (int, time.Duration, error) {
	stopped := 0
	var longest time.Duration
	for _, slot := range s.fleet.Slots() {
		s.progress("  stop %s", slot)
		began := time.Now()
		if err := stopAndReplace(ctx, s, slot); err != nil {
			return stopped, longest, err
		}
		longest = max(longest, time.Since(began))
		if err := s.fleet.WaitReady(ctx); err != nil {
			return stopped, longest, err
		}
		stopped++
	}
	sleep(ctx, time.Second)
	return stopped, longest, nil
}

// codes returns how often each code was given.
func codes(report bench.Report) map[string]int {
	all := map[string]int{}
	for _, g := range report.Groups {
		for code, n := range g.Codes {
			all[string(code)] += n
		}
	}
	return all
}
