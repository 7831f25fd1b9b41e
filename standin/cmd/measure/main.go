// Command measure runs fleets on loopback and writes the measurements that the
// capacity documentation uses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"galenaridge/standin/measure"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "measure",
		Usage: "measure fleets on loopback and write slopes.md with plots",
		Description: "Example:\n  measure --only idle --only takeover --short\n\n" +
			"Sections: " + strings.Join(measure.SectionNames(), ", "),
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "measure only the section `NAME`; may be repeated"},
			&cli.BoolFlag{Name: "short", Usage: "measure fewer points for a shorter time; the figures only serve as trials"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
			&cli.StringFlag{Name: "out", Value: "docs/measurements", Usage: "directory of slopes.md and the plots"},
			&cli.StringFlag{Name: "root", Value: ".", Usage: "directory of the module"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of loads and stand-ins"},
			&cli.DurationFlag{Name: "timeout", Value: 8 * time.Minute, Usage: "time limit of the whole run"},
		},
		Action: action,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return 1
	}
	return 0
}

func action(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	startedAt := time.Now()
	return measure.Run(ctx, measure.Options{
		Bin:      c.String("bin"),
		Out:      c.String("out"),
		Root:     c.String("root"),
		Sections: c.StringSlice("only"),
		Short:    c.Bool("short"),
		Seed:     c.Uint64("seed"),
		Commit:   describeCommit(ctx, c.String("root")),
		Machine:  fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version()),
		Progress: func(line string) {
			fmt.Printf("%6.1fs  %s\n", time.Since(startedAt).Seconds(), line)
		},
	})
}

// describeCommit returns the abbreviated hash of the current commit, with the
// suffix -dirty if tracked files differ from it, or "unknown" if git fails.
func describeCommit(ctx context.Context, root string) string {
	command := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty", "--exclude", "*")
	command.Dir = root
	output, err := command.Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(output))
}
