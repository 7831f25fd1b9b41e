package logline

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRead guards against lines of an earlier process and against a failure on
// lines that were truncated when the process was killed.
func TestRead(t *testing.T) {
	early, late := `{"msg":"a","time":"2026-01-01T00:00:00Z"}`, `{"msg":"b","time":"2026-01-01T00:00:02Z","version":7}`
	tests := []struct {
		name string
		text string
		want int
	}{
		{"both times", early + "\n" + late + "\n", 1},
		{"cut off", late + "\n" + late[:20], 1},
		{"not JSON", "panic: x\n" + late + "\n", 1},
		{"empty", "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "log")
			require.NoError(t, os.WriteFile(file, []byte(test.text), 0o600))
			lines := Read(file, time.Date(2026, 1, 1, 0, 0, 1, 0, time.UTC))
			require.Len(t, lines, test.want)
			for _, l := range lines {
				require.EqualValues(t, 7, l.ConfigVersion)
			}
		})
	}
}
