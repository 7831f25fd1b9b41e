// Command experiment runs the experiments that are described in YAML files.
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
		Usage:       "run fleets on loopback with the load and faults described in files",
		ArgsUsage:   "FILE...",
		Description: "Example:\n  experiment experiments/instance-loss.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
			&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory of the questionnaire answers"},
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
		return eris.New("no experiment file given")
	}
	// All files are read before the first fleet starts, so that an invalid file is
	// reported at once.
	var experiments []experiment.Experiment
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
		experiments = append(experiments, e)
	}
	violations := 0
	for _, e := range experiments {
		report, err := runOne(ctx, c, e)
		if err != nil {
			return err
		}
		violations += len(report.Violations())
	}
	if violations > 0 {
		return eris.Errorf("%d invariants were violated", violations)
	}
	return nil
}

// runOne runs an experiment, prints its table of results and writes its results to
// files.
func runOne(ctx context.Context, c *cli.Command, e experiment.Experiment) (experiment.Report, error) {
	startedAt := time.Now()
	printLine := func(line string) { fmt.Printf("%6.1fs  %s\n", time.Since(startedAt).Seconds(), line) }
	printLine("experiment " + e.Name)
	report, err := experiment.Run(ctx, e, experiment.Options{
		Bin:      c.String("bin"),
		Examples: c.String("examples"),
		Dir:      c.String("dir"),
		Progress: printLine,
	})
	if err != nil {
		return report, err
	}
	fmt.Printf("\n%s", report.Table())
	dir, err := report.Write(c.String("out"))
	if err != nil {
		return report, err
	}
	fmt.Printf("results written to %s\n", dir)
	return report, nil
}
