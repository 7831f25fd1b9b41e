package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"galenaridge/io/operator"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name:  "where",
		Usage: "print where a running instance would send a request now, and why",
		Description: "The request is not sent, and the question has no influence on later requests.\n" +
			"Example:\n  galenaridge where --operator 10.0.0.7:9400 --host shop.example --path /orders/7 --bytes 5000",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Value: defaultOperator, Usage: "address of the instance's port for operators"},
			&cli.StringFlag{Name: "host", Required: true, Usage: "host of the request"},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "path of the request"},
			&cli.StringFlag{Name: "customer", Usage: "name of the customer who sends the request"},
			&cli.IntFlag{Name: "bytes", Usage: "size of the body of the request"},
			&cli.BoolFlag{Name: "json", Usage: "print the JSON as received"},
		},
		Action: where,
	}
}

func where(ctx context.Context, c *cli.Command) error {
	query := url.Values{"host": {c.String("host")}, "path": {c.String("path")}, "customer": {c.String("customer")}, "bytes": {strconv.Itoa(c.Int("bytes"))}}
	encoded, err := fetchFromOperator(ctx, c.String("operator"), "/where?"+query.Encode())
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := fmt.Fprintf(out, "%s\n", encoded)
		return err
	}
	var placement operator.Placement
	if err := json.Unmarshal(encoded, &placement); err != nil {
		return eris.Wrap(err, "decoding the answer")
	}
	return printPlacement(out, placement)
}

// printPlacement prints a placement as tables.
func printPlacement(out io.Writer, p operator.Placement) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printRow(table, "configuration", fmt.Sprintf("version %d", p.ConfigVersion))
	if r := p.Route; r != nil {
		repeats := "not idempotent"
		if r.Idempotent {
			repeats = "idempotent"
		}
		printRow(table, "route", fmt.Sprintf("%s (%s%s)", r.Name, r.Host, r.Prefix), repeats, fmt.Sprintf("priority %d", r.Priority))
		for _, share := range r.Split {
			printRow(table, "split", share.Service, fmt.Sprintf("weight %d", share.Weight))
		}
		printRow(table, "service", p.Service)
	}
	if r := p.Refusal; r != nil {
		retryAfter := "no Retry-After"
		if r.RetryAfterMS > 0 {
			retryAfter = "Retry-After " + formatMilliseconds(r.RetryAfterMS)
		}
		printRow(table, "refused", fmt.Sprintf("%d %s", r.Status, r.Code), r.Message, retryAfter)
	}
	if p.Server != "" {
		printRow(table, "server", p.Server, p.Reason, "expected "+formatMilliseconds(p.ExpectedDurationMS))
	}
	printCandidates(table, p)
	return table.Flush()
}

func printCandidates(out io.Writer, p operator.Placement) {
	if len(p.Candidates) > 0 {
		printHeading(out, "CANDIDATE", "DOMAIN", "REQUESTS", "REPORTED", "WAIT", "FAILING", "COST", "LOAD", "AFFINITY", "REMOTE", "CUT", "WARM", "FAILURE", "FRESHNESS")
	}
	for _, c := range p.Candidates {
		reported := "-"
		if c.ReportAgeMS != nil {
			reported = formatMilliseconds(*c.ReportAgeMS) + " ago"
		}
		printRow(out, c.Server, c.Domain, fmt.Sprintf("%d/%d", c.Requests, c.Slots), reported, formatMilliseconds(c.WaitMS), formatCost(c.FailureProbability),
			formatCost(c.Cost), formatCost(c.Parts.Load), formatCost(c.Parts.Affinity), formatCost(c.Parts.Remote), formatCost(c.Parts.Cut), formatCost(c.Parts.Warm), formatCost(c.Parts.Failure), formatCost(c.Parts.Freshness))
	}
	if len(p.Excluded) > 0 {
		printHeading(out, "EXCLUDED", "REASON")
	}
	for _, x := range p.Excluded {
		printRow(out, x.Server, x.Reason)
	}
}

func formatCost(cost float64) string { return strconv.FormatFloat(cost, 'f', 4, 64) }
