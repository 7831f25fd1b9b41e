package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/core/floor"
	"galenaridge/core/health"
)

// TestEjectedUntil guards against an ejected server that stays unused after its
// permit has expired, and against a dead one that is used again at that time.
func TestEjectedUntil(t *testing.T) {
	end := time.Unix(100, 0)
	permits := []floor.Permit{{Server: "a", Expires: end}}
	tests := []struct {
		name      string
		server    fleet.ServerID
		condition health.Condition
		want      time.Time
	}{
		{"ejected", "a", health.Ejected, end},
		{"trial", "a", health.Trial, end},
		{"dead", "a", health.Dead, time.Time{}},
		{"draining", "a", health.Draining, time.Time{}},
		{"healthy", "a", health.Healthy, time.Time{}},
		{"permit of another", "b", health.Ejected, time.Time{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, ejectedUntil(permits, tt.server, tt.condition))
		})
	}
}
