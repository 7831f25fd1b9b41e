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

// Limits of the HTTP server. The write timeout allows for profiles, which run for
// 30 s by default.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = time.Minute
	idleTimeout  = time.Minute
	maxConns     = 64
)

// Health provides the results of the health checks that an orchestrator makes.
type Health interface {
	// Live reports whether the process is able to respond.
	Live() bool
	// Ready reports whether callers may be directed to the instance.
	Ready() bool
	// Draining reports whether the instance is in a planned stop.
	Draining() bool
}

// StateSource returns the state of the instance as a value that encodes to JSON,
// usually an InstanceState.
type StateSource interface {
	State() any
}

// Options configures a Server.
type Options struct {
	Health      Health
	StateSource StateSource
	// Metrics are written in the given order, followed by the process metrics.
	Metrics []*metrics.Set
	// EnablePprof adds the profiling routes under /debug/pprof.
	EnablePprof bool
}

// Server is the HTTP server for operators.
type Server struct {
	options Options
	app     *fiber.App
}

// New returns a server without a listener; see Serve.
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
	app.Get("/live", healthHandler(options.Health.Live))
	app.Get("/ready", healthHandler(options.Health.Ready))
	app.Get("/draining", healthHandler(options.Health.Draining))
	app.Get("/metrics", s.writeMetrics)
	app.Get("/state", s.writeState)
	return s
}

// Serve accepts connections on the listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return eris.Wrap(err, "serving operators")
	}
	return nil
}

// Shutdown closes the listener and waits until the requests in flight have ended.
// It returns an error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return eris.Wrap(err, "waiting for operators")
	}
	return nil
}

// healthHandler returns a handler that responds with 200 if healthy returns true,
// and with 503 otherwise.
func healthHandler(healthy func() bool) fiber.Handler {
	return func(c fiber.Ctx) error {
		if healthy() {
			return c.SendString("yes\n")
		}
		return c.Status(fiber.StatusServiceUnavailable).SendString("no\n")
	}
}

// writeMetrics responds with all metrics in the Prometheus text format.
func (s *Server) writeMetrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	out := c.RequestCtx().Response.BodyWriter()
	for _, set := range s.options.Metrics {
		set.WritePrometheus(out)
	}
	metrics.WriteProcessMetrics(out)
	return nil
}

// writeState responds with the state as JSON.
func (s *Server) writeState(c fiber.Ctx) error {
	return c.JSON(s.options.StateSource.State())
}
