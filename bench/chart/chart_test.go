package chart

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"galenaridge/bench"
)

// TestWrite guards against reports that cannot be plotted, such as reports of a
// single second without requests.
func TestWrite(t *testing.T) {
	tests := []struct {
		name    string
		seconds []bench.RequestCounts
		marks   []Mark
	}{
		{"marks", []bench.RequestCounts{{Offered: 5, Good: 5, P99: 1e6}, {Offered: 5, NotRun: 5}}, []Mark{{time.Second, "kill i1"}}},
		{"one second", []bench.RequestCounts{{}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			name := filepath.Join(t.TempDir(), "plot.png")
			require.NoError(t, Write(name, "title", bench.Report{Seconds: tt.seconds}, tt.marks))
			file, err := os.Open(name)
			require.NoError(t, err)
			defer func() { require.NoError(t, file.Close()) }()
			_, err = png.Decode(file)
			require.NoError(t, err)
		})
	}
}
