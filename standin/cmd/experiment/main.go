// Command experiment runs the experiments that files describe.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"galenaridge/standin/experiment"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:        "experiment",
		Usage:       "run fleets on loopback with the load and faults of files",
		ArgsUsage:   "FILE...",
		Description: "Example:\n  experiment experiments/instance-loss.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
			&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory of the answers"},
			&cli.StringFlag{Name: "out", Value: "out", Usage: "directory of the results"},
			&cli.StringFlag{Name: "dir", Usage: "keep settings and logs in this directory"},
			&cli.Uint64Flag{Name: "seed", Usage: "override the seed of the files"},
		},
		Action: action,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		return 1
	}
	return 0
}

func action(ctx context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return eris.New("expected a file")
	}
	// All files are read before the first fleet starts.
	var all []experiment.Experiment
	for _, file := range c.Args().Slice() {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		e, err := experiment.Decode(file, data)
		if err != nil {
			return err
		}
		if c.IsSet("seed") {
			e.Seed = c.Uint64("seed")
		}
		all = append(all, e)
	}
	broken := 0
	for _, e := range all {
		report, err := one(ctx, c, e)
		if err != nil {
			return err
		}
		broken += len(report.Violations())
	}
	if broken > 0 {
		return eris.Errorf("%d of what must always hold did not", broken)
	}
	return nil
}

// one runs an experiment, prints its table and writes its results.
func one(ctx context.Context, c *cli.Command, e experiment.Experiment) (experiment.Report, error) {
	begin := time.Now()
	say := func(line string) { fmt.Printf("%6.1fs  %s\n", time.Since(begin).Seconds(), line) }
	say("experiment " + e.Name)
	report, err := experiment.Run(ctx, e, experiment.Options{
		Bin:      c.String("bin"),
		Examples: c.String("examples"),
		Dir:      c.String("dir"),
		Progress: say,
	})
	if err != nil {
		return report, err
	}
	fmt.Printf("\n%s", report.Table())
	dir, err := report.Write(c.String("out"))
	if err != nil {
		return report, err
	}
	fmt.Printf("written to %s\n", dir)
	return report, nil
}
