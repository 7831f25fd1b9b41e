package caller

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// assignmentBody is the JSON body of an assignment.
type assignmentBody struct {
	Service    fleet.ServiceName `json:"service"`
	Version    fleet.Version     `json:"version"`
	Addresses  []endpointBody    `json:"addresses"`
	TTLMS      int64             `json:"ttl_ms"`
	Token      string            `json:"token"`
	TokenTTLMS int64             `json:"token_ttl_ms"`
}

// endpointBody is the JSON of one endpoint of an assignment.
type endpointBody struct {
	Address fleet.Address `json:"address"`
	Domain  fleet.Domain  `json:"domain"`
}

// newRoutes returns the handler of the paths under /-/.
func (s *Server) newRoutes() fasthttp.RequestHandler {
	app := fiber.New(fiber.Config{
		ErrorHandler: func(c fiber.Ctx, _ error) error {
			return s.refuseRoute(c, exchange.Refuse(exchange.BadRequest, "the request is not valid"))
		},
	})
	app.Get("/-/assign", s.handleAssign)
	app.Use(func(c fiber.Ctx) error {
		return s.refuseRoute(c, exchange.Refuse(exchange.NoService, "there is no such path under /-/"))
	})
	return app.Handler()
}

// handleAssign responds with the endpoints that the caller should use. Strings of
// fiber are valid only while the handler runs, so they are cloned.
func (s *Server) handleAssign(c fiber.Ctx) error {
	service := strings.Clone(c.Query("service"))
	domain := strings.Clone(c.Query("domain"))
	if !validName(service) || domain != "" && !validName(domain) {
		return s.refuseRoute(c, exchange.Refuse(exchange.BadRequest, "service or domain is not valid"))
	}
	assignment, err := s.options.Assigner.Assign(fleet.ServiceName(service), fleet.Domain(domain))
	if err != nil {
		return s.refuseRoute(c, assignRefusal(err))
	}
	body, err := json.Marshal(encodeAssignment(assignment))
	if err != nil {
		return err
	}
	ctx := c.RequestCtx()
	s.writeCommonHeaders(ctx, fleet.Done)
	s.series.countAssignment("assigned")
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBody(body)
	return nil
}

func (s *Server) refuseRoute(c fiber.Ctx, response exchange.Response) error {
	s.series.countAssignment(s.writeResponse(c.RequestCtx(), Result{Response: response}).code)
	return nil
}

// assignRefusal returns the refusal of an assigner error, and not_ready for errors
// that are not a *Refusal.
func assignRefusal(err error) exchange.Response {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Response
	}
	return exchange.Refuse(exchange.NotReady, "no assignment can be made yet")
}

func encodeAssignment(assignment Assignment) assignmentBody {
	endpoints := make([]endpointBody, 0, len(assignment.Endpoints))
	for _, endpoint := range assignment.Endpoints {
		endpoints = append(endpoints, endpointBody(endpoint))
	}
	return assignmentBody{
		Service:    assignment.Service,
		Version:    assignment.Version,
		Addresses:  endpoints,
		TTLMS:      assignment.TTL.Milliseconds(),
		Token:      assignment.Token,
		TokenTTLMS: assignment.TokenTTL.Milliseconds(),
	}
}
