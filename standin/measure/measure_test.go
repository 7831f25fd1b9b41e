package measure

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeastSquares guards against wrong slopes and intercepts on the capacity
// page.
func TestLeastSquares(t *testing.T) {
	tests := []struct {
		name   string
		points []point
		want   fit
	}{
		{"none", nil, fit{}},
		{"one", []point{{3, 5}}, fit{intercept: 5}},
		{"same x", []point{{3, 4}, {3, 6}}, fit{intercept: 5}},
		{"line", []point{{1, 5}, {2, 7}, {4, 11}}, fit{slope: 2, intercept: 3}},
		{"around a line", []point{{0, 1}, {1, 0}, {2, 5}, {3, 4}}, fit{slope: 1.4, intercept: 0.4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := leastSquares(tt.points)
			require.InDelta(t, tt.want.slope, got.slope, 1e-9)
			require.InDelta(t, tt.want.intercept, got.intercept, 1e-9)
		})
	}
}

// TestUsageBetween guards against totals in place of rates, and against wrong
// units.
func TestUsageBetween(t *testing.T) {
	now := time.Now()
	before := metricsSample{now, parseMetrics([]byte("process_cpu_seconds_total 1\ngalenaridge_control_sent_bytes 100\n"))}
	after := metricsSample{now.Add(10 * time.Second), parseMetrics([]byte(
		"# HELP x\nprocess_cpu_seconds_total 1.2\ngalenaridge_control_sent_bytes 1100\nprocess_resident_memory_bytes 3e7\nother{a=\"b\"} 7\n"))}
	tests := []struct {
		name string
		got  float64
		want float64
	}{
		{"cpu", usageBetween(before, after).cpuPercent, 2},
		{"sent", usageBetween(before, after).sentByteRate, 100},
		{"all", usageBetween(before, after).controlByteRate(), 200},
		{"rss", usageBetween(before, after).rssMB, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.InDelta(t, tt.want, tt.got, 1e-9) })
	}
}

// TestPage guards against a run of one section that removes the other sections
// from the page or adds its own section twice.
func TestPage(t *testing.T) {
	dir := t.TempDir()
	table := Table{Title: "T", Columns: []string{"a", "b"}}
	table.add(1, 2.0/3)
	for _, name := range []string{"takeover", "idle", "takeover"} {
		p, err := readPage(dir)
		require.NoError(t, err)
		p.set(section{name: name, title: name}, Options{Seed: 3, Commit: "c0ffee"}, Result{Tables: []Table{table}})
		require.NoError(t, p.write(dir))
	}
	text, err := os.ReadFile(filepath.Join(dir, pageName))
	require.NoError(t, err)
	require.Regexp(t, `(?s)^# Measurements.*## idle.*--only idle --seed 3.*commit c0ffee.*\| 1 \| 0.667 \|.*## takeover`, string(text))
	require.NotRegexp(t, `(?s)## takeover.*## takeover`, string(text))
}

// TestParseBenchmarks guards against rows that lack their package or their
// results.
func TestParseBenchmarks(t *testing.T) {
	var table Table
	parseBenchmarks("goos: linux\npkg: galenaridge/core/once\nBenchmarkLedger-10 \t 100\t 12 ns/op\t 3 B/op\nPASS\n", &table)
	require.Equal(t, [][]string{{"core/once", "Ledger-10", "100", "12 ns/op, 3 B/op"}}, table.Rows)
}
