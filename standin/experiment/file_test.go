package experiment

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"galenaridge/core/fleet"
	"galenaridge/io/document"
)

const validStart = "name: x\ndeployment: kuvuka\nload:\n  steps: [{for: 5s, rate: 5}]\n  mix: [{service: bundle-svc}]\n"

// TestDecode guards against an invalid file that is accepted and starts a
// fleet, and against error messages without the position of the problem.
func TestDecode(t *testing.T) {
	tests := []struct {
		name    string
		text    string
		wantErr string
	}{
		{"whole", validStart + "faults: [{at: 1s, do: kill, instance: i2}]\n", ""},
		{"unknown key", validStart + "faults: [{at: 1s, do: kill, instances: i2}]\n", "f:6:29: faults[0].instances"},
		{"unknown action", validStart + "faults: [{at: 1s, do: explode}]\n", "kill or pause or resume"},
		{"fault after the load", validStart + "faults: [{at: 6s, do: heal}]\n", "f:6:15: faults[0].at"},
		{"no such instance", validStart + "faults: [{at: 1s, do: kill, instance: i13}]\n", "expected i1 to i12"},
		{"no such server", validStart + "faults: [{at: 1s, do: drain, server: s}]\n", "such as bundle-svc-1"},
		{"slow without factor", validStart + "faults: [{at: 1s, do: server-fault, server: bundle-svc-1, fault: slow}]\n", "faults[0].factor"},
		{"no such end", validStart + "faults: [{at: 1s, do: cut, from: khomas-a, to: platform}]\n", "faults[0].from"},
		{"no such service", "name: x\nload:\n  steps: [{for: 5s, rate: 5}]\n  mix: [{service: b}]\n", "f:4:19: load.mix[0].service"},
		{"shape", "name: x\ndeployment: synthetic\nsynthetic:\n  instances: 100\nload:\n  steps: [{for: 5s, rate: 5}]\n  mix: [{service: service-1}]\n", "f:4:14: synthetic.instances"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode("f", []byte(tt.text))
			if tt.wantErr == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.wantErr)
			require.NotContains(t, err.Error(), "\n")
		})
	}
}

// TestLinksPerInstance guards against a cut at one instance that also cuts
// other instances, because they share its links.
func TestLinksPerInstance(t *testing.T) {
	tests := []struct {
		name        string
		fault       string
		perInstance bool
	}{
		{"from an instance", "{do: cut, from: instance/i1, to: domain/khomas-b}", true},
		{"to an instance", "{do: cut, from: platform, to: instance/i1}", true},
		{"domains", "{do: cut, from: domain/khomas-a, to: domain/khomas-b}", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, err := Decode("f", []byte(validStart+"faults: ["+tt.fault+"]\n"))
			require.NoError(t, err)
			require.Equal(t, tt.perInstance, e.deployment().LinksPerInstance)
		})
	}
}

// TestExamples guards against experiment files in the repository that are no
// longer valid or have no valid configuration.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			e, err := Decode(file, data)
			require.NoError(t, err)
			text, err := e.config("../../examples", 3)
			require.NoError(t, err)
			config, err := document.DecodeConfig(file, text)
			require.NoError(t, err)
			require.Equal(t, fleet.Version(3), config.Version)
		})
	}
}
