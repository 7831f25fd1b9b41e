package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/registry"
)

// TestBytesDecideDomain guards against large bodies that cross failure domains for a small
// advantage, and against small requests that stay although it costs next to nothing to go.
func TestBytesDecideDomain(t *testing.T) {
	tests := []struct {
		name          string
		requestBytes  int
		responseBytes int
		// probability is the failure probability of the local server; the remote one is
		// healthy.
		probability float64
		want        fleet.ServerID
	}{
		{"small, local server is healthy", 100, 500, 0.01, "local"},
		{"small, local server is doubtful", 100, 500, 0.15, "remote"},
		{"upload, local server is doubtful", 60_000, 500, 0.15, "local"},
		{"upload, local server is suspected", 60_000, 500, 0.5, "local"},
		{"upload, local server fails", 60_000, 500, 0.95, "remote"},
		{"large response, local server is doubtful", 100, 60_000, 0.3, "local"},
		{"large response, local server fails", 100, 60_000, 0.95, "remote"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(listed("local", "a", 4), listed("remote", "b", 4))
			p.sizes["r"] = float64(test.responseBytes)
			local, remote := p.byIncarnation[registry.Incarnation{ID: "local", StartedAt: 1}], p.byIncarnation[registry.Incarnation{ID: "remote", StartedAt: 1}]
			local.ownEstimate = failureEstimate{probability: test.probability, updatedAt: start}
			local.lastAttemptAt, remote.lastAttemptAt = start, start
			remote.ownEstimate = failureEstimate{probability: 0.01, updatedAt: start}
			options := protectedOptions()
			options.RequestBytes = test.requestBytes
			require.Equal(t, test.want, pick(t, p, start, options).Server.ID)
		})
	}
}

// TestResponseSize guards against an estimate that does not follow the size of responses.
func TestResponseSize(t *testing.T) {
	p := newTestPool(listed("s", "a", 4))
	for range 200 {
		attempt := pick(t, p, start, protectedOptions())
		attempt.RecordResponseSize(40_000)
		attempt.Finish(start, Succeeded, Load{})
	}
	require.InDelta(t, 40_000, p.sizes.expected("r"), 100)
	require.InDelta(t, initialResponseBytes, p.sizes.expected("other"), 0)
}

// TestBodyOnSlowLink guards against a server that counts as stalled while a large body is
// still on its way to it.
func TestBodyOnSlowLink(t *testing.T) {
	const body = 360_000
	transfer := fleet.Mbps(10).TransferTime(body)
	require.Equal(t, 288*time.Millisecond, transfer)
	p := NewPool(Options{Domain: "a", Link: fleet.Mbps(10), Random: newSeededRandom(1), Events: noEvents{}})
	p.Update([]registry.Server{listed("s", "a", 4)})
	p.durations["r"] = 200 * time.Millisecond
	options := protectedOptions()
	options.RequestBytes = body
	attempt := pick(t, p, start, options)
	s := attempt.server
	s.ownEstimate = failureEstimate{probability: 0.02, updatedAt: start}
	require.Less(t, s.failureProbability(start.Add(transfer+200*time.Millisecond)), 0.1, "the server had as long as usual")
	require.Greater(t, s.failureProbability(start.Add(transfer+500*time.Millisecond)), suspectThreshold)
	attempt.Finish(start.Add(transfer+210*time.Millisecond), Succeeded, Load{})
	require.InDelta(t, 200, float64(p.durations["r"].Milliseconds()), 2, "the transfer is not part of the duration of the request")
	options.LatencyObjective, options.TimeLeft = 400*time.Millisecond, time.Second
	full := p.byIncarnation[registry.Incarnation{ID: "s", StartedAt: 1}]
	full.reportedLoad, full.loadReportedAt = Load{Running: 4, Slots: 4}, start
	_, result := p.Pick(start, options)
	require.Equal(t, NoRoom, result, "the queue ends too late for what the body needs")
}
