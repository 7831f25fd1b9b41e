package cmd

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMainExitCode guards against failures that end with a success code, and
// against usage errors that end with another code than exitUsage.
func TestMainExitCode(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
	}{
		{"version", []string{"galenaridge", "version"}, 0},
		{"show without an instance", []string{"galenaridge", "show", "--operator", "127.0.0.1:1"}, exitFailure},
		{"load without a service", []string{"galenaridge", "load", "--entry", "127.0.0.1:1"}, exitUsage},
		{"load of a bad service", []string{"galenaridge", "load", "--entry", "127.0.0.1:1", "--service", "Bad name"}, exitUsage},
		{"load with a negative rate", []string{"galenaridge", "load", "--entry", "127.0.0.1:1", "--service", "s", "--rate", "-1"}, exitUsage},
		{"load of a missing file", []string{"galenaridge", "load", "--entry", "127.0.0.1:1", "--file", "missing.yaml"}, exitUsage},
		{"help", []string{"galenaridge", "--help"}, 0},
		{"no command", []string{"galenaridge"}, 0},
		{"unknown command", []string{"galenaridge", "nope"}, exitUsage},
		{"unknown flag", []string{"galenaridge", "version", "--nope"}, exitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.code, Main(tt.args))
		})
	}
}
