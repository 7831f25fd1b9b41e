// Command prove runs the proofs of the invariants on a fleet of real processes
// and prints one line for each proof.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"galenaridge/standin/proof"
)

// errProofFailed means that at least one proof failed. The printed verdicts
// show which.
var errProofFailed = eris.New("a proof failed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:   "prove",
		Usage:  "prove the invariants under faults on a fleet of processes on loopback",
		Flags:  flags(),
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deployment", Value: "kuvuka", Usage: "kuvuka or bluemahoe"},
		&cli.IntFlag{Name: "instances", Value: 9, Usage: "number of instances"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of loads, callers and faults"},
		&cli.StringFlag{Name: "name", Value: "all", Usage: "proofs, separated by commas, or all"},
		&cli.BoolFlag{Name: "short", Usage: "run each proof for a few seconds"},
		&cli.BoolFlag{Name: "json", Usage: "print each verdict as JSON"},
		&cli.BoolFlag{Name: "verbose", Usage: "write the progress to standard error"},
		&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
		&cli.StringFlag{Name: "examples", Value: "examples", Usage: "directory of the answers"},
		&cli.StringFlag{Name: "logs", Usage: "directory that keeps the logs of the processes"},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	proofs := proof.All()
	if name := c.String("name"); name != "all" && name != "" {
		var err error
		if proofs, err = proof.Find(strings.Split(name, ",")); err != nil {
			return err
		}
	}
	options := proof.Options{
		Deployment: c.String("deployment"),
		Instances:  c.Int("instances"),
		Seed:       c.Uint64("seed"),
		Short:      c.Bool("short"),
		Bin:        c.String("bin"),
		Examples:   c.String("examples"),
		Logs:       c.String("logs"),
	}
	if c.Bool("verbose") {
		options.Progress = os.Stderr
	}
	failed := false
	for _, p := range proofs {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		verdict := p.Run(ctx, options)
		failed = failed || !verdict.Pass()
		if err := printVerdict(verdict, c.Bool("json")); err != nil {
			return err
		}
	}
	if failed {
		return errProofFailed
	}
	return nil
}

// printVerdict prints a verdict as one line and its notes as indented lines
// below it, or all of it as one line of JSON.
func printVerdict(v *proof.Verdict, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	fmt.Println(v)
	for _, note := range v.Notes {
		fmt.Println("  " + note)
	}
	return nil
}
