package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"galenaridge/io/operator"
)

const (
	// defaultOperator is the address of an instance's port for operators.
	defaultOperator = "127.0.0.1:9400"
	showTimeout     = 5 * time.Second
	// maxState bounds the state of an instance in bytes; that of the largest
	// planned fleet stays below 2 MiB.
	maxState = 16 << 20
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the state of a running instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "operator", Value: defaultOperator, Usage: "address of the instance's port for operators"},
			&cli.BoolFlag{Name: "json", Usage: "print the JSON as received"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			encoded, err := fetchState(ctx, c.String("operator"))
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if c.Bool("json") {
				_, err := fmt.Fprintf(out, "%s\n", encoded)
				return err
			}
			var state operator.InstanceState
			if err := json.Unmarshal(encoded, &state); err != nil {
				return eris.Wrap(err, "decoding the state")
			}
			return printState(out, state)
		},
	}
}

// fetchState reads the state of the instance as JSON.
func fetchState(ctx context.Context, address string) ([]byte, error) {
	client := fasthttp.Client{
		MaxResponseBodySize:       maxState,
		MaxIdemponentCallAttempts: 1,
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/state")
	request.SetConnectionClose()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := client.DoTimeout(request, response, showTimeout); err != nil {
		return nil, eris.Wrapf(err, "reading the state from %s", address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, eris.Errorf("%s answered with status %d", address, status)
	}
	return append([]byte(nil), response.Body()...), nil
}

// printState prints the state as tables.
func printState(out io.Writer, state operator.InstanceState) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printInstance(table, state)
	printServers(table, state)
	printEjections(table, state)
	printServices(table, state)
	printPeers(table, state)
	return table.Flush()
}

func printInstance(out io.Writer, state operator.InstanceState) {
	instance, config := state.Instance, state.Config
	row(out, "instance", instance.ID, "domain "+string(instance.Domain), fmt.Sprintf("incarnation %x", uint64(instance.Incarnation)))
	row(out, "state", condition(state), "lease "+lease(state.Lease), "release "+instance.Release)
	row(out, "configuration", fmt.Sprintf("version %d", config.Version), "age "+milliseconds(config.AgeMS), "digest "+short(string(config.Digest)))
	row(out, "list", fmt.Sprintf("revision %d", state.Listing.Revision), "age "+milliseconds(state.Listing.AgeMS), platformLine(config))
	row(out, "records", fmt.Sprintf("%d of %d", state.Records.Held, state.Records.MaxRecords), fmt.Sprintf("%d running", state.Records.Running), fmt.Sprintf("%d inherited", state.Records.Inherited))
}

func printServers(out io.Writer, state operator.InstanceState) {
	heading(out, "SERVER", "SERVICE", "DOMAIN", "HEALTH", "BUSY", "WEIGHT", "SINCE", "REASON")
	for _, s := range state.OwnedServers {
		row(out, s.ID, s.Service, s.Domain, s.Health, fmt.Sprintf("%d/%d", s.BusySlots, s.Slots), fmt.Sprintf("%.2f", s.Weight), moment(s.HealthSince), s.Reason)
	}
}

func printEjections(out io.Writer, state operator.InstanceState) {
	if len(state.Ejections) > 0 {
		heading(out, "EJECTED", "SERVICE", "SINCE", "PERMIT LEFT", "RELAPSES", "REASON")
	}
	for _, e := range state.Ejections {
		row(out, e.Server, e.Service, moment(e.Since), milliseconds(e.PermitTimeLeftMS), e.Relapses, e.Reason)
	}
	if len(state.Permits) > 0 {
		heading(out, "PERMIT GRANTED", "SERVICE", "HOLDER", "LEFT")
	}
	for _, p := range state.Permits {
		row(out, p.Server, p.Service, p.Holder, milliseconds(p.TimeLeftMS))
	}
}

func printServices(out io.Writer, state operator.InstanceState) {
	heading(out, "SERVICE", "BUSY", "QUEUED", "FLOOR", "USABLE")
	for _, s := range state.Services {
		usable := "-"
		if s.IsSteward {
			usable = fmt.Sprint(s.UsableServers)
		}
		row(out, s.Name, fmt.Sprintf("%d/%d", s.BusySlots, s.Slots), s.QueuedRequests, s.Floor, usable)
	}
	if len(state.Assignments) > 0 {
		heading(out, "ASSIGNMENTS", "ISSUED", "LATEST")
	}
	for _, a := range state.Assignments {
		row(out, a.Service, a.Issued, fmt.Sprint(a.Addresses))
	}
}

func printPeers(out io.Writer, state operator.InstanceState) {
	heading(out, "PEER", "DOMAIN", "STATE", "INCARNATION", "CALLERS")
	for _, p := range state.Peers {
		row(out, p.ID, p.Domain, p.State, fmt.Sprintf("%x", uint64(p.Incarnation)), p.CallerAddress)
	}
}

// heading starts a new table. The empty line ends the columns of the one
// before.
func heading(out io.Writer, names ...any) {
	row(out)
	row(out, names...)
}

// row writes one row. The writer keeps its first error until Flush.
func row(out io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(out, strings.Join(texts, "\t"))
}

// condition names what the instance does for callers.
func condition(state operator.InstanceState) string {
	switch {
	case state.Draining:
		return "draining"
	case state.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func lease(lease operator.Lease) string {
	if !lease.Valid {
		return "lost"
	}
	return milliseconds(lease.TimeLeftMS)
}

// platform says how the instance learns from the platform.
func platformLine(config operator.Config) string {
	switch {
	case !config.WatchingPlatform:
		return "not watching"
	case config.PlatformFailingMS > 0:
		return "platform failing for " + milliseconds(config.PlatformFailingMS)
	default:
		return "watching"
	}
}

func milliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

func moment(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

// short returns the part of a digest that tells documents apart at a glance.
func short(digest string) string {
	const shown = 12
	return digest[:min(len(digest), shown)]
}
