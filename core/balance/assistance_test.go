package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// TestAssistance guards against servers that stay without requests because the instances of
// their own failure domain withhold them, and against tests of servers that nobody asked for.
func TestAssistance(t *testing.T) {
	tests := []struct {
		name     string
		withheld bool
		// probability and age are what the instance there reports about the server.
		probability float64
		age         time.Duration
		// requestsBefore is the number of requests before the one that is looked at.
		requestsBefore int
		unreachable    bool
		options        PickOptions
		want           bool
	}{
		{"in use there", false, baselineProbability, time.Hour, 20, false, protectedOptions(), false},
		{"unreachable from there", true, baselineProbability, time.Hour, 20, false, protectedOptions(), true},
		{"unreachable from there, shortly after another one", true, baselineProbability, time.Hour, 1, false, protectedOptions(), false},
		{"unreachable from here too", true, baselineProbability, time.Hour, 20, true, protectedOptions(), false},
		{"suspected there", true, 0.96, time.Second, 20, false, protectedOptions(), true},
		{"suspected there, shortly after another one", true, 0.96, time.Second, 1, false, protectedOptions(), false},
		{"suspected there, a request that may be repeated", true, 0.96, time.Second, 20, false, idempotentOptions(), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(listed("own", "a", 4), listed("remote", "b", 4))
			now := start.Add(10 * time.Second)
			for range test.requestsBefore {
				pick(t, p, now, protectedOptions()).Finish(now, Succeeded, Load{})
			}
			remote := p.byIncarnation[registry.Incarnation{ID: "remote", StartedAt: 1}]
			if test.unreachable {
				remote.cutUntil = now.Add(time.Second)
			}
			p.byIncarnation[registry.Incarnation{ID: "own", StartedAt: 1}].lastAttemptAt = now
			remote.lastAttemptAt = time.Time{}
			p.ApplyReports(now, "b-1", []ServerReport{{Key: remote.key, FailureProbability: test.probability, EvidenceAge: test.age, RequestAge: 5 * time.Second, Withheld: test.withheld}})
			require.Equal(t, test.want, pick(t, p, now, test.options).Server.ID == "remote")
		})
	}
}

// TestReportWithheld guards against evidence about a path that counts as evidence about the
// server, and against withheld servers of which other failure domains do not learn.
func TestReportWithheld(t *testing.T) {
	tests := []struct {
		name     string
		domain   fleet.Domain
		result   Result
		withheld bool
		// reported is for how long the server is reported.
		reported time.Duration
		estimate float64
	}{
		{"reachable", "a", Succeeded, false, time.Second, 0.09},
		{"unreachable", "a", Unreachable, true, 2500 * time.Millisecond, baselineProbability},
		{"stalled", "a", Stalled, true, 2 * time.Second, stalledProbability},
		{"of another failure domain, unreachable", "b", Unreachable, false, 0, 0},
		{"of another failure domain, stalled", "b", Stalled, false, time.Second, stalledProbability},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(listed("s", test.domain, 4))
			attempt := pick(t, p, start, protectedOptions())
			// Servers without requests make the instance need help once the service fails.
			p.Update([]registry.Server{attempt.Server, listed("unused-1", "a", 4), listed("unused-2", "a", 4), listed("unused-3", "a", 4)})
			attempt.Finish(start.Add(100*time.Millisecond), test.result, Load{})
			for passed := 100 * time.Millisecond; passed <= test.reported; passed += fullReportInterval {
				reports := p.CollectReports(start.Add(passed))
				require.Len(t, reports, 1, "after %v", passed)
				require.Equal(t, test.withheld, reports[0].Withheld)
				require.Equal(t, test.withheld, reports[0].Shared)
				require.InDelta(t, test.estimate, reports[0].FailureProbability, 0.01)
			}
			// The first report after that may say that the server is not withheld any more.
			p.CollectReports(start.Add(time.Minute))
			require.Empty(t, p.CollectReports(start.Add(2*time.Minute)))
		})
	}
}

// TestAssistingDomains guards against servers with which no failure domain assists, or all.
func TestAssistingDomains(t *testing.T) {
	const servers = 300
	domains := []fleet.Domain{"a", "b", "c", "d", "e"}
	var all []registry.Server
	for i := range servers {
		all = append(all, listed(fmt.Sprintf("s%03d", i), domains[i%len(domains)], 4))
	}
	for _, test := range []struct {
		name       string
		unattended map[fleet.Domain]bool
	}{
		{"all failure domains", nil},
		{"without one", map[fleet.Domain]bool{"e": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assisting := make(map[ServerKey]int)
			for _, domain := range domains {
				if test.unattended[domain] {
					continue
				}
				p := NewPool(Options{Domain: domain, Random: newSeededRandom(1), Events: noEvents{}})
				p.Update(all)
				p.SetUnattended(test.unattended)
				own := 0
				for _, s := range p.live {
					if s.assisted {
						assisting[s.key]++
						own++
					}
				}
				require.InDelta(t, servers*assistingDomains/len(domains), own, servers/5)
			}
			for _, s := range all {
				if !test.unattended[s.Domain] {
					require.Equal(t, assistingDomains, assisting[KeyOf(s.Incarnation)], s.ID)
				}
			}
		})
	}
}
