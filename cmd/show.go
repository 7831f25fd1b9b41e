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
	// defaultOperator is the default address of an instance's operator port.
	defaultOperator = "127.0.0.1:9400"
	showTimeout     = 5 * time.Second
	// maxStateBytes bounds the encoded state of an instance. In the largest
	// planned fleet the state stays below 2 MiB.
	maxStateBytes = 16 << 20
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
			encoded, err := fetchFromOperator(ctx, c.String("operator"), "/state")
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

// fetchFromOperator returns the response of the instance at an operator address.
func fetchFromOperator(ctx context.Context, address, uri string) ([]byte, error) {
	client := fasthttp.Client{
		MaxResponseBodySize:       maxStateBytes,
		MaxIdemponentCallAttempts: 1,
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + uri)
	request.SetConnectionClose()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := client.DoTimeout(request, response, showTimeout); err != nil {
		return nil, eris.Wrapf(err, "asking %s", address)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, eris.Errorf("%s returned status %d", address, status)
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
	printCustomers(table, state)
	printFairShares(table, state)
	printPeers(table, state)
	return table.Flush()
}

func printInstance(out io.Writer, state operator.InstanceState) {
	instance, config := state.Instance, state.Config
	printRow(out, "instance", instance.ID, "domain "+string(instance.Domain), fmt.Sprintf("incarnation %x", uint64(instance.Incarnation)))
	printRow(out, "state", readinessText(state), "lease "+leaseText(state.Lease), "release "+instance.Release)
	printRow(out, "configuration", fmt.Sprintf("version %d", config.Version), "age "+formatMilliseconds(config.AgeMS), "digest "+shortDigest(string(config.Digest)), keysText(config))
	if refused := config.Refused; refused != nil {
		printRow(out, "refused configuration", fmt.Sprintf("version %d", refused.Version), refused.Reason)
	}
	printRow(out, "list", listingText(state.Listing), "age "+formatMilliseconds(state.Listing.AgeMS), platformText(config))
	printRow(out, "records", fmt.Sprintf("%d of %d", state.Records.Held, state.Records.MaxRecords), fmt.Sprintf("%d running", state.Records.Running), fmt.Sprintf("%d inherited", state.Records.Inherited))
}

func keysText(config operator.Config) string {
	if config.KeysRequired {
		return "keys required"
	}
	return "no keys required"
}

func printServers(out io.Writer, state operator.InstanceState) {
	printHeading(out, "SERVER", "SERVICE", "DOMAIN", "HEALTH", "BUSY", "WEIGHT", "SINCE", "REASON")
	for _, s := range state.OwnedServers {
		printRow(out, s.ID, s.Service, s.Domain, s.Health, fmt.Sprintf("%d/%d", s.BusySlots, s.Slots), fmt.Sprintf("%.2f", s.Weight), formatTime(s.HealthSince), s.Reason)
	}
}

func printEjections(out io.Writer, state operator.InstanceState) {
	if len(state.Ejections) > 0 {
		printHeading(out, "EJECTED", "SERVICE", "SINCE", "PERMIT LEFT", "RELAPSES", "REASON")
	}
	for _, e := range state.Ejections {
		printRow(out, e.Server, e.Service, formatTime(e.Since), formatMilliseconds(e.PermitTimeLeftMS), e.Relapses, e.Reason)
	}
	if len(state.Permits) > 0 {
		printHeading(out, "PERMIT GRANTED", "SERVICE", "HOLDER", "LEFT")
	}
	for _, p := range state.Permits {
		printRow(out, p.Server, p.Service, p.Holder, formatMilliseconds(p.TimeLeftMS))
	}
}

func printServices(out io.Writer, state operator.InstanceState) {
	printHeading(out, "SERVICE", "BUSY", "QUEUED", "FLOOR", "USABLE")
	for _, s := range state.Services {
		usable := "-"
		if s.IsSteward {
			usable = fmt.Sprint(s.UsableServers)
		}
		printRow(out, s.Name, fmt.Sprintf("%d/%d", s.BusySlots, s.Slots), s.QueuedRequests, s.Floor, usable)
	}
	if len(state.Assignments) > 0 {
		printHeading(out, "ASSIGNMENTS", "ISSUED", "LATEST")
	}
	for _, a := range state.Assignments {
		printRow(out, a.Service, a.Issued, fmt.Sprint(a.Addresses))
	}
}

func printCustomers(out io.Writer, state operator.InstanceState) {
	if state.QuotaContact != "" {
		printRow(out)
		printRow(out, "quotas", state.QuotaContact)
	}
	if len(state.Customers) > 0 {
		printHeading(out, "CUSTOMER", "REQUESTS HERE", "REFUSED HERE", "KEYS", "LIMIT", "BURST", "PRIORITY", "USED OF QUOTA", "HERE OF SHARE", "RESERVED", "REFUSED BY QUOTA")
	}
	for _, c := range state.Customers {
		limit, burst, priority := "none", "-", "of the route"
		if c.RatePerS > 0 {
			limit, burst = fmt.Sprintf("%g/s", c.RatePerS), fmt.Sprintf("%g", c.Burst)
		}
		if c.Priority != nil {
			priority = fmt.Sprint(*c.Priority)
		}
		if !c.Configured {
			limit, burst, priority = "not configured", "-", "-"
		}
		used, share, reserved, refused := "-", "-", "-", "-"
		if q := c.Quota; q != nil {
			used, share = fmt.Sprintf("%d/%d", q.Known, q.Limit), fmt.Sprintf("%d/%d", q.Own, q.Share)
			reserved, refused = fmt.Sprint(q.Reserved), fmt.Sprint(q.Refused)
		}
		printRow(out, c.Name, c.Requests, c.Refused, c.Keys, limit, burst, priority, used, share, reserved, refused)
	}
}

func printFairShares(out io.Writer, state operator.InstanceState) {
	if len(state.FairShares) > 0 {
		printHeading(out, "ABOVE FAIR SHARE OF", "CUSTOMER", "USED SLOTS", "FAIR SHARE", "REFUSED HERE/S")
	}
	for _, f := range state.FairShares {
		printRow(out, f.Service, f.Customer, fmt.Sprintf("%.2f", f.UsedSlots), fmt.Sprintf("%.2f", f.FairShareSlots), fmt.Sprintf("%.1f", f.RefusedPerS))
	}
}

func printPeers(out io.Writer, state operator.InstanceState) {
	printHeading(out, "PEER", "DOMAIN", "STATE", "INCARNATION", "CALLERS")
	for _, p := range state.Peers {
		printRow(out, p.ID, p.Domain, p.State, fmt.Sprintf("%x", uint64(p.Incarnation)), p.CallerAddress)
	}
}

// printHeading starts a new table. The empty line makes its columns independent of
// the columns of the previous table.
func printHeading(out io.Writer, names ...any) {
	printRow(out)
	printRow(out, names...)
}

// printRow writes one row. Errors are ignored here, since the tabwriter returns
// the first one from Flush.
func printRow(out io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(out, strings.Join(texts, "\t"))
}

// readinessText describes whether the instance accepts requests of callers.
func readinessText(state operator.InstanceState) string {
	switch {
	case state.Draining:
		return "draining"
	case state.Ready:
		return "ready"
	case state.UnreadyReason != "":
		return "not ready: " + state.UnreadyReason
	default:
		return "not ready"
	}
}

func leaseText(lease operator.Lease) string {
	if !lease.Valid {
		return "lost"
	}
	return formatMilliseconds(lease.TimeLeftMS)
}

// listingText describes the position of the listing.
func listingText(listing operator.Listing) string {
	if listing.Era == 0 {
		return fmt.Sprintf("revision %d", listing.Revision)
	}
	return fmt.Sprintf("revision %d of era %d", listing.Revision, listing.Era)
}

// platformText describes the watch of the platform by the instance.
func platformText(config operator.Config) string {
	switch {
	case !config.WatchingPlatform:
		return "not watching"
	case config.PlatformFailingMS > 0:
		return "platform failing for " + formatMilliseconds(config.PlatformFailingMS)
	default:
		return "watching"
	}
}

func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

// shortDigest returns the start of a digest, which distinguishes documents well
// enough for display.
func shortDigest(digest string) string {
	const length = 12
	return digest[:min(len(digest), length)]
}
