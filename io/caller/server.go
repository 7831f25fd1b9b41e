package caller

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"galenaridge/core/fleet"
)

// Options configures a Server; zero numbers select the defaults.
type Options struct {
	Clock    fleet.Clock
	Handler  Handler
	Assigner Assigner
	Policy   Policy
	Stopping Stopping
	Log      logrus.FieldLogger
	// Metrics receives the histograms and counters of requests.
	Metrics *metrics.Set
	// Conns is the largest number of open connections; 10,000 by default.
	Conns int
	// Header is the largest request header in bytes; 16 KiB by default.
	Header int
	// Body is the largest request body in bytes that is read at all; 1 MiB by
	// default. The limits in force may be lower.
	Body int
	// Read bounds the reading of one request; 5 s by default.
	Read time.Duration
	// Write bounds the writing of one response; 5 s by default.
	Write time.Duration
	// Idle bounds the wait for the next request; 60 s by default.
	Idle time.Duration
}

// Server is the front end for callers.
type Server struct{}

// New returns a server that does not listen yet.
func New(options Options) *Server { return &Server{} }

// Serve answers callers on the listener until Shutdown; it then returns nil.
func (s *Server) Serve(listener net.Listener) error { return nil }

// Shutdown closes the listener and idle connections, and waits until all
// requests in flight are answered or the context ends.
func (s *Server) Shutdown(ctx context.Context) error { return nil }
