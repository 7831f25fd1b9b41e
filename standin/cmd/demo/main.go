// Command demo runs a fleet on loopback, injects faults, and prints a table of
// results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"galenaridge/standin/demo"
)

// timeout is the time limit of the whole demo, without the build of its programs.
const timeout = 45 * time.Second

func main() { os.Exit(run()) }

func run() int {
	var options demo.Options
	flag.StringVar(&options.Deployment, "deployment", "kuvuka", "kuvuka or bluemahoe")
	flag.IntVar(&options.Instances, "instances", 9, "number of instances")
	flag.StringVar(&options.Dir, "dir", "", "keep settings and logs in this directory")
	flag.StringVar(&options.Bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&options.Examples, "examples", "examples", "directory of the questionnaire answers")
	flag.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flag.Parse()
	startedAt := time.Now()
	options.Progress = func(line string) { fmt.Printf("%6.1fs  %s\n", time.Since(startedAt).Seconds(), line) }
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	summary, err := demo.Run(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	fmt.Println()
	fmt.Print(summary.Table())
	if len(summary.Violations()) > 0 {
		return 1
	}
	return 0
}
