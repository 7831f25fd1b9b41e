package cmd

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"galenaridge/bench"
	"galenaridge/bench/chart"
	"galenaridge/bench/loadfile"
	"galenaridge/client"
	"galenaridge/core/fleet"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load to a running fleet",
		Description: `Requests start on a schedule, whether or not earlier ones have ended, and
latencies are measured from the scheduled time. The servers must be stand-in
servers, since the content of each response is checked. Ctrl-C ends the run
early.

Examples:
  galenaridge load --entry 127.0.0.1:8080 --service bundle-svc --rate 200 --for 10s
  galenaridge load --entry 127.0.0.1:8080 --file load.yaml --json --plot load.png`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`ADDRESS` of an instance; may be repeated"},
			&cli.StringFlag{Name: "domain", Usage: "failure domain whose instances are preferred"},
			&cli.StringFlag{Name: "file", Usage: "read steps and mix from the YAML `FILE`"},
			&cli.StringFlag{Name: "service", Usage: "service to send to, without a file"},
			&cli.IntFlag{Name: "rate", Value: 100, Usage: "requests a second, without a file"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "duration, without a file"},
			&cli.IntFlag{Name: "protected", Usage: "percentage of protected requests, without a file"},
			&cli.StringSliceFlag{Name: "tenant", Usage: "customer to send as, without a file; may be repeated"},
			&cli.IntFlag{Name: "answer", Usage: "size of responses in `BYTES`, without a file"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of each request; overrides the file"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of schedule, mix and keys; use another for each run"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write outcomes and latencies by second to the PNG `FILE`"},
		},
		OnUsageError: asUsageError,
		Action:       runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	load, err := readLoad(c)
	if err != nil {
		return fileError(err)
	}
	var entries []fleet.Address
	for _, entry := range c.StringSlice("entry") {
		entries = append(entries, fleet.Address(entry))
	}
	caller, err := client.New(client.Options{
		Entries: entries,
		Domain:  fleet.Domain(c.String("domain")),
		Seed:    c.Uint64("seed"),
	})
	if err != nil {
		return &usageError{err}
	}
	defer caller.Close()
	report, err := bench.Run(ctx, bench.Options{
		Plan:   load.Plan(c.Uint64("seed")),
		Caller: caller,
		Progress: func(p bench.Progress) {
			_, _ = fmt.Fprintln(c.Root().ErrWriter, p)
		},
	})
	if err != nil {
		return err
	}
	return printReport(c, load, report)
}

// readLoad returns the load that the file or, without a file, the flags describe.
func readLoad(c *cli.Command) (loadfile.Load, error) {
	load := loadFromFlags(c)
	file := c.String("file")
	switch {
	case file != "":
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			return loadfile.Load{}, err
		}
		if load, err = loadfile.Decode(file, data); err != nil {
			return loadfile.Load{}, err
		}
	case c.String("service") == "":
		return loadfile.Load{}, &usageError{eris.New("load: expected --file or --service")}
	default:
		if err := load.Validate(); err != nil {
			return loadfile.Load{}, &usageError{err}
		}
	}
	load.Deadline = cmp.Or(c.Duration("deadline"), load.Deadline)
	return load, nil
}

// loadFromFlags returns the load that the flags describe.
func loadFromFlags(c *cli.Command) loadfile.Load {
	var customers []fleet.Customer
	for _, customer := range c.StringSlice("tenant") {
		customers = append(customers, fleet.Customer(customer))
	}
	kind := loadfile.Kind{
		Service:           fleet.ServiceName(c.String("service")),
		Customers:         customers,
		ResponseBodyBytes: c.Int("answer"),
	}
	load := loadfile.Load{Steps: []loadfile.Step{{For: c.Duration("for"), Rate: c.Int("rate")}}}
	if percent := c.Int("protected"); percent < 100 {
		unprotected := kind
		unprotected.Weight = 100 - percent
		load.Mix = append(load.Mix, unprotected)
	}
	if percent := c.Int("protected"); percent > 0 {
		protected := kind
		protected.Weight, protected.Protected, protected.MaxResends = percent, true, 1
		load.Mix = append(load.Mix, protected)
	}
	return load
}

// printReport prints a report and, with --plot, writes its chart.
func printReport(c *cli.Command, load loadfile.Load, report bench.Report) error {
	out := c.Root().Writer
	if c.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return eris.Wrap(err, "print the report")
		}
	} else if _, err := fmt.Fprint(out, report.Table()); err != nil {
		return err
	}
	if file := c.String("plot"); file != "" {
		return chart.Write(file, load.String(), report, nil)
	}
	return nil
}
