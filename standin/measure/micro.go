package measure

import (
	"context"
	"os/exec"
	"strings"

	"github.com/rotisserie/eris"
)

// microPackages returns the packages whose Go benchmarks run.
func microPackages() []string {
	return []string{
		"./core/member", "./core/ownership", "./core/config", "./core/once", "./core/admission",
		"./io/document", "./io/platform", "./io/upstream", "./io/caller", "./io/peer", "./core/health", "./tests/performance",
	}
}

// measureMicro runs the Go benchmarks of microPackages with go test.
func measureMicro(ctx context.Context, o Options) (Result, error) {
	const benchTime = "100ms"
	args := append([]string{"test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", benchTime}, microPackages()...)
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = o.Root
	out, err := command.CombinedOutput()
	t := Table{Columns: []string{"package", "benchmark", "runs", "result"}}
	t.Notes = []string{"`go " + strings.Join(args, " ") + "`"}
	parseBenchmarks(string(out), &t)
	return Result{Tables: []Table{t}}, eris.Wrapf(err, "go test: %.500s", out)
}

// parseBenchmarks adds a row to the table for each benchmark line in the output
// of go test.
func parseBenchmarks(out string, t *Table) {
	var packageName string
	for text := range strings.Lines(out) {
		if rest, ok := strings.CutPrefix(text, "pkg: galenaridge/"); ok {
			packageName = strings.TrimSpace(rest)
			continue
		}
		fields := strings.Fields(text)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		var results []string
		for i := 2; i+1 < len(fields); i += 2 {
			results = append(results, fields[i]+" "+fields[i+1])
		}
		t.add(packageName, strings.TrimPrefix(fields[0], "Benchmark"), fields[1], strings.Join(results, ", "))
	}
}
