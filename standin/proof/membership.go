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
	membershipInstances      = 48
	shortMembershipInstances = 8
	// agreementTarget is how long the remaining instances may take to agree on
	// the members after others were killed.
	agreementTarget  = 10 * time.Second
	agreementTimeout = time.Minute
)

// usage holds the resources that one instance used since its start.
type usage struct {
	sentBytes     float64
	receivedBytes float64
	cpuTime       time.Duration
	residentBytes int64
}

// proveMembership shows that a large fleet agrees on its members after
// instances were killed, and notes what the control traffic of an idle instance
// costs.
func proveMembership(ctx context.Context, options Options, v *Verdict) error {
	options.Instances = membershipInstances
	rounds, kills, idleTime := 2, 3, 20*time.Second
	if options.Short {
		options.Instances = shortMembershipInstances
		rounds, kills, idleTime = 1, 1, 3*time.Second
	}
	v.Instances = options.Instances
	startedAt := time.Now()
	s, err := startSystem(ctx, options, "membership48", nil)
	if err != nil {
		return err
	}
	defer s.close()
	v.addCheck(true, "all", "%d instances ready", options.Instances)
	v.addNote("all ready with all servers owned after %s", time.Since(startedAt).Round(10*time.Millisecond))
	if err := s.noteIdleUsage(ctx, v, idleTime); err != nil {
		return err
	}
	var slowest time.Duration
	for range rounds {
		agreementTime, err := s.killAndWaitAgreement(ctx, kills)
		if err != nil {
			return err
		}
		slowest = max(slowest, agreementTime)
	}
	v.addCheck(slowest < agreementTimeout, "agreement", "all others agree after kills of %d", kills)
	v.addTimingCheck(slowest <= agreementTarget, "<= 10s", "after %s", slowest.Round(10*time.Millisecond))
	return nil
}

// noteIdleUsage notes the control traffic, CPU time and memory of idle
// instances.
func (s *system) noteIdleUsage(ctx context.Context, v *Verdict, duration time.Duration) error {
	before, err := s.readUsages(ctx)
	if err != nil {
		return err
	}
	startedAt := time.Now()
	if !sleep(ctx, duration) {
		return ctx.Err()
	}
	after, err := s.readUsages(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(startedAt).Seconds()
	var sent, received, cpu, memory []float64
	for slot, a := range after {
		b := before[slot]
		sent = append(sent, (a.sentBytes-b.sentBytes)/seconds)
		received = append(received, (a.receivedBytes-b.receivedBytes)/seconds)
		cpu = append(cpu, 100*(a.cpuTime-b.cpuTime).Seconds()/seconds)
		memory = append(memory, float64(a.residentBytes)/(1<<20))
	}
	v.addNote("control bytes a second for each instance: sent %s, received %s", formatMeanMax(sent, "%.0f"), formatMeanMax(received, "%.0f"))
	v.addNote("CPU in percent of a core: %s; resident MB: %s", formatMeanMax(cpu, "%.2f"), formatMeanMax(memory, "%.1f"))
	return nil
}

// formatMeanMax formats the mean and the maximum of values.
func formatMeanMax(values []float64, format string) string {
	if len(values) == 0 {
		return "none"
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean "+format+", max "+format, sum/float64(len(values)), slices.Max(values))
}

// readUsages reads the usage of all instances.
func (s *system) readUsages(ctx context.Context) (map[harness.Slot]usage, error) {
	all := map[harness.Slot]usage{}
	for _, slot := range s.fleet.Slots() {
		text, err := s.fleet.InstanceMetrics(ctx, slot)
		if err != nil {
			return nil, err
		}
		pid, err := s.fleet.InstancePID(slot)
		if err != nil {
			return nil, err
		}
		u := usage{
			sentBytes:     observe.Metric(text, "galenaridge_control_sent_bytes"),
			receivedBytes: observe.Metric(text, "galenaridge_control_received_bytes"),
		}
		if u.cpuTime, u.residentBytes, err = observe.ProcessUsage(pid); err != nil {
			return nil, err
		}
		all[slot] = u
	}
	return all, nil
}

// killAndWaitAgreement kills random instances, and returns how long the
// remaining ones take to agree on the members. It restarts the killed
// instances.
func (s *system) killAndWaitAgreement(ctx context.Context, kills int) (time.Duration, error) {
	slots := s.fleet.Slots()
	killed := map[harness.Slot]bool{}
	for _, n := range s.rng.Perm(len(slots))[:kills] {
		killed[slots[n]] = true
	}
	killedAt := time.Now()
	for slot := range killed {
		s.progress("  kill %s", slot)
		if err := s.fleet.Kill(ctx, slot); err != nil {
			return 0, err
		}
	}
	err := s.waitUntil(ctx, agreementTimeout, "all other instances agree on the members", func() bool {
		return membersAgree(s.readStates(ctx), len(slots)-kills)
	})
	agreementTime := time.Since(killedAt)
	if err != nil {
		return agreementTimeout, ctx.Err()
	}
	for slot := range killed {
		if err := s.fleet.Restart(ctx, slot); err != nil {
			return agreementTime, err
		}
	}
	return agreementTime, s.waitReady(ctx)
}

// membersAgree reports whether states holds the given number of instances, and
// the active members of each are exactly these instances.
func membersAgree(states map[harness.Slot]operator.InstanceState, count int) bool {
	if len(states) != count {
		return false
	}
	responded := map[fleet.Member]bool{}
	for _, state := range states {
		responded[fleet.Member{ID: state.Instance.ID, Incarnation: state.Instance.Incarnation}] = true
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
			if !responded[fleet.Member{ID: peer.ID, Incarnation: peer.Incarnation}] {
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
