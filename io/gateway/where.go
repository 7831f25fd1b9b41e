package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"galenaridge/core/balance"
	"galenaridge/core/dispatch"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/operator"
)

// whereDeadline is the deadline that a caller without one gets; the timeout of the route is
// shorter.
const whereDeadline = time.Hour

// writeWhere responds with the place where a request would go now. Its parameters are host,
// path, customer and bytes.
func (p *Process) writeWhere(c fiber.Ctx) error {
	host, path := c.Query("host"), c.Query("path", "/")
	bodyBytes, err := strconv.Atoi(c.Query("bytes", "0"))
	if host == "" || err != nil || bodyBytes < 0 {
		return c.Status(fiber.StatusBadRequest).SendString("expected the parameters host, path, and a number of bytes")
	}
	return c.JSON(encodePlacement(p.engine.Where(exchange.Request{
		Host:     host,
		URI:      path,
		Customer: fleet.Customer(c.Query("customer")),
		Deadline: p.clock.Now().Add(whereDeadline),
	}, bodyBytes)))
}

func encodePlacement(placement dispatch.Placement) operator.Placement {
	encoded := operator.Placement{ConfigVersion: placement.ConfigVersion, Service: placement.Service}
	if r := placement.Route; r != nil {
		encoded.Route = &operator.PlacedRoute{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Priority: int(r.Priority)}
		for _, b := range r.Backends {
			encoded.Route.Split = append(encoded.Route.Split, operator.Share{Service: b.Service, Weight: b.Weight})
		}
	}
	if r := placement.Refusal; r != nil {
		encoded.Refusal = &operator.Refusal{Status: r.Status, Code: string(r.Code), Message: r.Message, RetryAfterMS: r.RetryAfter.Milliseconds()}
	}
	if placement.Servers != nil {
		encodeServers(&encoded, placement.At, placement.Servers)
	}
	return encoded
}

func encodeServers(encoded *operator.Placement, at time.Time, e *balance.Explanation) {
	encoded.ExpectedDurationMS = e.ExpectedDuration.Milliseconds()
	if e.Chosen != nil {
		encoded.Server, encoded.Reason = e.Chosen.ID, reasonOf(e)
	}
	for _, c := range e.Candidates {
		candidate := operator.PlacedCandidate{
			Server:             c.Server.ID,
			Domain:             c.Server.Domain,
			Cost:               c.Costs.Total(),
			Parts:              operator.CostParts(c.Costs),
			Requests:           c.Requests,
			Slots:              c.Server.Slots,
			WaitMS:             c.ExpectedWait.Milliseconds(),
			FailureProbability: c.FailureProbability,
		}
		if !c.KnownAt.IsZero() {
			age := at.Sub(c.KnownAt).Milliseconds()
			candidate.ReportAgeMS = &age
		}
		encoded.Candidates = append(encoded.Candidates, candidate)
	}
	for _, x := range e.Excluded {
		encoded.Excluded = append(encoded.Excluded, operator.ExcludedFromPick{Server: x.Server.ID, Reason: x.Reason.String()})
	}
}

// reasonOf says how the server was chosen.
func reasonOf(e *balance.Explanation) string {
	switch {
	case e.Coverage:
		return "coverage: the server is due for a request"
	case e.Trial:
		return "trial of a server that may be failing"
	case e.Tied > 1:
		return fmt.Sprintf("lowest cost, one of %d that are equal but for chance", e.Tied)
	default:
		return "lowest cost"
	}
}
