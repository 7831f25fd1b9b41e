package operator

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"
	"github.com/rotisserie/eris"
)

// Bounds of one request of an operator. Profiles run for 30 s by default.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = time.Minute
	idleTimeout  = time.Minute
	maxConns     = 64
)

// Health answers the questions of an orchestrator.
type Health interface {
	// Live reports whether the process works at all.
	Live() bool
	// Ready reports whether callers may be sent to the instance.
	Ready() bool
	// Draining reports whether the instance is in a planned stop.
	Draining() bool
}

// StateSource gives the state of the instance, a value that encodes to JSON; see
// InstanceState.
type StateSource interface {
	State() any
}

// Options configures a Server.
type Options struct {
	Health      Health
	StateSource StateSource
	// Metrics are written in the order given, and then those of the process.
	Metrics []*metrics.Set
	// EnablePprof adds the routes of pprof.
	EnablePprof bool
}

// Server is the port for operators.
type Server struct {
	options Options
	app     *fiber.App
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	app := fiber.New(fiber.Config{
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
		IdleTimeout:  idleTimeout,
		Concurrency:  maxConns,
		GETOnly:      true,
	})
	s := &Server{options: options, app: app}
	if options.EnablePprof {
		app.Use(pprof.New())
	}
	app.Get("/live", check(options.Health.Live))
	app.Get("/ready", check(options.Health.Ready))
	app.Get("/draining", check(options.Health.Draining))
	app.Get("/metrics", s.metrics)
	app.Get("/state", s.state)
	return s
}

// Serve answers operators on the listener until Shutdown; it then returns
// nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return eris.Wrap(err, "serving operators")
	}
	return nil
}

// Shutdown closes the listener and ends Serve once requests in flight are
// answered or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return eris.Wrap(err, "waiting for operators")
	}
	return nil
}

// check answers 200 if the question is answered by yes, and 503 otherwise.
func check(question func() bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		if question() {
			return c.SendString("yes\n")
		}
		return c.Status(fiber.StatusServiceUnavailable).SendString("no\n")
	}
}

// metrics writes all metrics in the text format of Prometheus.
func (s *Server) metrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	out := c.RequestCtx().Response.BodyWriter()
	for _, set := range s.options.Metrics {
		set.WritePrometheus(out)
	}
	metrics.WriteProcessMetrics(out)
	return nil
}

// state writes the state as JSON.
func (s *Server) state(c fiber.Ctx) error {
	return c.JSON(s.options.StateSource.State())
}
