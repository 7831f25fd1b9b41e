package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"galenaridge/io/decisionlog"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the handling of one request from log lines",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads the log lines of any number of instances from files, or from standard input,\n" +
			"and prints in order of time the decisions about a request, the state changes of the\n" +
			"servers it was sent to, and the changes on the instances that handled it.\n\n" +
			"Example:\n  galenaridge explain 9c41d07be2a35f68 instance-*.log --since 10s",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "since", Usage: "begin this `DURATION` before the request", Value: 5 * time.Second},
			&cli.StringFlag{Name: "server", Usage: "add the state changes of the server with this `ID`"},
			&cli.BoolFlag{Name: "json", Usage: "print the lines as JSON"},
		},
		Action: explain,
	}
}

func explain(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return &usageError{err: fmt.Errorf("explain: expected the id of a request")}
	}
	lines, err := readLogs(c.Args().Tail(), c.Root().Reader)
	if err != nil {
		return &usageError{err: err}
	}
	timeline := decisionlog.Timeline(lines, decisionlog.Query{RequestID: id, ExtraServer: c.String("server"), Lookback: c.Duration("since")})
	if len(timeline) == 0 {
		return fmt.Errorf("request %s is not in the %d log lines; only a sample of the ordinary requests is logged", id, len(lines))
	}
	return printTimeline(c.Root().Writer, timeline, c.Bool("json"))
}

// readLogs reads the files, or standard input if there are none.
func readLogs(paths []string, in io.Reader) ([]decisionlog.Line, error) {
	if len(paths) == 0 {
		return decisionlog.ReadLines(in)
	}
	var all []decisionlog.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]decisionlog.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return decisionlog.ReadLines(file)
}

func printTimeline(out io.Writer, timeline []decisionlog.Line, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		for _, line := range timeline {
			if err := encoder.Encode(line); err != nil {
				return err
			}
		}
		return nil
	}
	start := timeline[0].Time
	for _, line := range timeline {
		if _, err := fmt.Fprintf(out, "%8.3f s  %-18s %s\n", line.Time.Sub(start).Seconds(), line.Instance, formatLine(line)); err != nil {
			return err
		}
		for _, a := range line.Attempts {
			if _, err := fmt.Fprintf(out, "            %s\n", formatAttempt(a)); err != nil {
				return err
			}
		}
	}
	return nil
}

// formatLine returns the fields of a line that are set, separated by commas.
func formatLine(l decisionlog.Line) string {
	parts := []string{string(l.Event)}
	add := func(format string, present bool, args ...any) {
		if present {
			parts = append(parts, fmt.Sprintf(format, args...))
		}
	}
	add("%s", l.ID != "", l.ID)
	add("route %s", l.Route != "", l.Route)
	add("service %s", l.Service != "", l.Service)
	add("customer %s", l.Customer != "", l.Customer)
	add("not idempotent", l.Event == decisionlog.RequestFinished && !l.Idempotent && l.Route != "")
	add("server %s", l.Server != "", l.Server)
	add("peer %s", l.Peer != "", l.Peer)
	add("state %s", l.State != "", l.State)
	add("cause %s", l.Cause != "", l.Cause)
	add("failure probability %.2f", l.FailureProbability > 0, l.FailureProbability)
	add("after %d ms", l.AgeMS > 0, l.AgeMS)
	add("count %d", l.Count > 0, l.Count)
	add("configuration %d", l.ConfigVersion > 0, l.ConfigVersion)
	add("list %d", l.ListingRevision > 0, l.ListingRevision)
	add("era %d", l.ListingEra > 0, l.ListingEra)
	add("confirmed %d ms ago", l.ListingAgeMS > 0, l.ListingAgeMS)
	add("outcome %s", l.Outcome != "", l.Outcome)
	add("code %s", l.Code != "", l.Code)
	add("status %d", l.Status > 0, l.Status)
	add("took %d ms", l.DurationMS > 0, l.DurationMS)
	add("the caller left", l.CallerLeft)
	add("%s", len(l.Addresses) > 0, strings.Join(l.Addresses, " "))
	return strings.Join(parts, ", ")
}

func formatAttempt(a decisionlog.Attempt) string {
	kind := "attempt"
	switch {
	case a.Trial:
		kind = "trial"
	case a.Hedge:
		kind = "hedged attempt"
	}
	text := fmt.Sprintf("%s on %s (failure probability %.2f, %d busy) at %d ms, took %d ms, expected %d ms: %s",
		kind, a.Server, a.FailureProbability, a.ServerRequests, a.StartOffsetMS, a.DurationMS, a.ExpectedDurationMS, a.Result)
	if a.Error != "" {
		text += ", " + a.Error
	}
	return text
}
