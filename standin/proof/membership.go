package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"galenaridge/core/fleet"
	"galenaridge/core/member"
	"galenaridge/io/operator"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/observe"
)

const (
	membershipSize  = 48
	membershipShort = 8
	// agreeTarget is how long the others may take to agree after kills.
	agreeTarget = 10 * time.Second
	agreeLimit  = time.Minute
)

// usage is what one instance consumed since its start.
type usage struct {
	sent     float64
	received float64
	cpu      time.Duration
	memory   int64
}

// proveMembership shows that a large fleet agrees on its members after kills,
// and measures what control costs an idle instance.
func proveMembership(ctx context.Context, options Options, v *Verdict) error {
	options.Instances = membershipSize
	rounds, kills, during := 2, 3, 20*time.Second
	if options.Short {
		options.Instances = membershipShort
		rounds, kills, during = 1, 1, 3*time.Second
	}
	v.Instances = options.Instances
	began := time.Now()
	s, err := open(ctx, options, "membership48", nil)
	if err != nil {
		return err
	}
	defer s.close()
	v.check(true, "all", "%d instances ready", options.Instances)
	v.note("all ready with all servers owned after %s", time.Since(began).Round(10*time.Millisecond))
	if err := s.noteCost(ctx, v, during); err != nil {
		return err
	}
	var slowest time.Duration
	for range rounds {
		took, err := s.killAndAgree(ctx, kills)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	v.check(slowest < agreeLimit, "agreement", "all others agree after kills of %d", kills)
	v.timing(slowest <= agreeTarget, "<= 10s", "after %s", slowest.Round(10*time.Millisecond))
	return nil
}

// noteCost measures what idle instances consume.
func (s *stage) noteCost(ctx context.Context, v *Verdict, during time.Duration) error {
	before, err := s.usages(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	if !sleep(ctx, during) {
		return ctx.Err()
	}
	after, err := s.usages(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	var sent, received, cpu, memory []float64
	for slot, a := range after {
		b := before[slot]
		sent = append(sent, (a.sent-b.sent)/seconds)
		received = append(received, (a.received-b.received)/seconds)
		cpu = append(cpu, 100*(a.cpu-b.cpu).Seconds()/seconds)
		memory = append(memory, float64(a.memory)/(1<<20))
	}
	v.note("control bytes a second for each instance: sent %s, received %s", spread(sent, "%.0f"), spread(received, "%.0f"))
	v.note("CPU in percent of a core: %s; resident MB: %s", spread(cpu, "%.2f"), spread(memory, "%.1f"))
	return nil
}

// spread returns the mean and the largest of some values.
func spread(values []float64, format string) string {
	if len(values) == 0 {
		return "none"
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean "+format+", max "+format, sum/float64(len(values)), slices.Max(values))
}

// usages reads what all instances consumed.
func (s *stage) usages(ctx context.Context) (map[harness.Slot]usage, error) {
	all := map[harness.Slot]usage{}
	for _, slot := range s.fleet.Slots() {
		text, err := s.fleet.InstanceMetrics(ctx, slot)
		if err != nil {
			return nil, err
		}
		id, err := s.fleet.InstancePID(slot)
		if err != nil {
			return nil, err
		}
		u := usage{
			sent:     observe.Metric(text, "galenaridge_control_sent_bytes"),
			received: observe.Metric(text, "galenaridge_control_received_bytes"),
		}
		if u.cpu, u.memory, err = observe.ProcessUsage(id); err != nil {
			return nil, err
		}
		all[slot] = u
	}
	return all, nil
}

// killAndAgree kills some instances and returns how long the others take to
// agree on the members. It restarts the killed ones.
func (s *stage) killAndAgree(ctx context.Context, kills int) (time.Duration, error) {
	slots := s.fleet.Slots()
	killed := map[harness.Slot]bool{}
	for _, n := range s.rng.Perm(len(slots))[:kills] {
		killed[slots[n]] = true
	}
	began := time.Now()
	for slot := range killed {
		s.progress("  kill %s", slot)
		if err := s.fleet.Kill(ctx, slot); err != nil {
			return 0, err
		}
	}
	err := s.await(ctx, agreeLimit, "all others agree", func() bool {
		return agree(s.states(ctx), len(slots)-kills)
	})
	took := time.Since(began)
	if err != nil {
		return agreeLimit, ctx.Err()
	}
	for slot := range killed {
		if err := s.fleet.Restart(ctx, slot); err != nil {
			return took, err
		}
	}
	return took, s.waitReady(ctx)
}

// agree reports whether the given number of instances answered and each sees
// exactly these as active members.
func agree(states map[harness.Slot]operator.InstanceState, count int) bool {
	if len(states) != count {
		return false
	}
	live := map[fleet.Member]bool{}
	for _, state := range states {
		live[fleet.Member{ID: state.Instance.ID, Incarnation: state.Instance.Incarnation}] = true
	}
	for _, state := range states {
		active := 0
		for _, peer := range state.Peers {
			if peer.State != member.Active.String() {
				if !strings.HasPrefix(peer.State, member.Fenced.String()) && !strings.HasPrefix(peer.State, member.Left.String()) {
					return false
				}
				continue
			}
			if !live[fleet.Member{ID: peer.ID, Incarnation: peer.Incarnation}] {
				return false
			}
			active++
		}
		if active != count-1 {
			return false
		}
	}
	return true
}
