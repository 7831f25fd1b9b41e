package operator

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
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

// Stater gives the state of the instance, a value that encodes to JSON; see
// InstanceState.
type Stater interface {
	State() any
}

// Options configures a Server.
type Options struct {
	Health Health
	Stater Stater
	// Metrics are written in the order given.
	Metrics []*metrics.Set
	// Profile adds the routes of pprof.
	Profile bool
}

// Server is the port for operators.
type Server struct{}

// New returns a server that does not listen yet.
func New(options Options) *Server { return &Server{} }

// Serve answers operators on the listener until Shutdown; it then returns
// nil.
func (s *Server) Serve(listener net.Listener) error { return nil }

// Shutdown closes the listener and ends Serve.
func (s *Server) Shutdown(ctx context.Context) error { return nil }
