package server

import (
	"context"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/core/fleet"
	"galenaridge/standin/jsontime"
)

var (
	errInvalidDeadline = eris.New("bad " + HeaderDeadline)
	errInvalidSize     = eris.New("bad " + HeaderBodySize)
)

// Options configures one server.
type Options struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	// Listen is the address for requests and health probes, Control the address
	// for faults and queries.
	Listen  fleet.Address `json:"listen"`
	Control fleet.Address `json:"control"`
	Slots   fleet.Slots   `json:"slots"`
	// MaxConns is the connection limit; zero means none.
	MaxConns fleet.Conns `json:"conns,omitempty"`
	// Service times are uniform between Mean-Jitter and Mean+Jitter.
	Mean   jsontime.Duration `json:"mean"`
	Jitter jsontime.Duration `json:"jitter,omitempty"`
	Seed   uint64            `json:"seed,omitempty"`
	// The service time of the first ColdRequests requests is multiplied by
	// ColdFactor.
	ColdRequests int     `json:"cold,omitempty"`
	ColdFactor   float64 `json:"cold_factor,omitempty"`
	// Journal is the name of a file to which each protected key is appended when
	// its request starts, one per line; empty means none.
	Journal string `json:"journal,omitempty"`
}

// Server is a running simulated server.
type Server struct {
	options         Options
	clock           clockwork.Clock
	counters        *counters
	faults          *faultInjector
	times           *serviceTimes
	requestListener *listener
	controlListener *listener
	journal         io.WriteCloser
}

// Start opens both listeners and serves them until Close.
func Start(options Options, clock clockwork.Clock) (*Server, error) {
	journal, err := openJournal(options.Journal)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:  options,
		clock:    clock,
		journal:  journal,
		counters: newCounters(options.Slots, journal),
		faults:   newFaultInjector(),
		times: &serviceTimes{
			rng:          rand.New(rand.NewPCG(options.Seed, 1)),
			mean:         options.Mean.Std(),
			jitter:       options.Jitter.Std(),
			coldRequests: options.ColdRequests,
			coldFactor:   options.ColdFactor,
		},
	}
	s.requestListener = newListener(options.Listen, s.requestHandler(), s.trackConnection)
	s.controlListener = newListener(options.Control, s.controlHandler(), nil)
	if err := s.requestListener.open(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.controlListener.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// requestHandler returns the handler of the request listener. It matches paths
// without a ServeMux, which would redirect paths that are not clean.
func (s *Server) requestHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
			s.serveHealth(w, r)
			return
		}
		s.serveRequest(w, r)
	})
}

// trackConnection counts connections and closes those beyond the limit.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !s.counters.addConnection(s.options.MaxConns) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.counters.removeConnection()
	}
}

// ListenAddress returns the address of the request listener.
func (s *Server) ListenAddress() fleet.Address { return s.requestListener.address() }

// ControlAddress returns the address of the control listener.
func (s *Server) ControlAddress() fleet.Address { return s.controlListener.address() }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	stats := s.counters.snapshot(s.clock.Now())
	stats.ID = s.options.ID
	stats.Service = s.options.Service
	return stats
}

// Keys returns the number of started requests of each protected key.
func (s *Server) Keys() map[fleet.Key]int { return s.counters.startsOfKeys() }

// SetFault replaces the current fault. It returns an error if a parameter of the
// fault is out of range, or if a server that refused connections cannot listen
// again.
func (s *Server) SetFault(fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	s.faults.setFault(s.clock.Now(), fault)
	if fault.Kind == FaultRefuse {
		s.requestListener.close()
		return nil
	}
	return s.requestListener.open()
}

// Drain makes all later responses report that the server is draining.
func (s *Server) Drain() { s.counters.startDraining(s.clock.Now()) }

// Close closes both listeners, all connections and the journal.
func (s *Server) Close() {
	s.requestListener.close()
	s.controlListener.close()
	_ = s.journal.Close()
}

// discardJournal is a journal that stores nothing.
type discardJournal struct{ io.Writer }

// Close does nothing.
func (discardJournal) Close() error { return nil }

func openJournal(name string) (io.WriteCloser, error) {
	if name == "" {
		return discardJournal{io.Discard}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, eris.Wrap(err, "open the journal")
}

// listener serves HTTP at one address. It can be closed and reopened.
type listener struct {
	handler     http.Handler
	onConnState func(net.Conn, http.ConnState)

	mu            sync.Mutex
	listenAddress fleet.Address
	server        *http.Server
	serving       conc.WaitGroup
}

func newListener(address fleet.Address, handler http.Handler, onConnState func(net.Conn, http.ConnState)) *listener {
	return &listener{listenAddress: address, handler: handler, onConnState: onConnState}
}

// open starts to listen and serve. It has no effect on an open listener.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	tcpListener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(l.listenAddress))
	if err != nil {
		return eris.Wrapf(err, "listen at %s", l.listenAddress)
	}
	// Reopening the listener uses the port that the system chose the first time.
	l.listenAddress = fleet.Address(tcpListener.Addr().String())
	server := &http.Server{
		Handler:   l.handler,
		ConnState: l.onConnState,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	l.server = server
	l.serving.Go(func() {
		if err := server.Serve(tcpListener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return nil
}

// close closes the listener and its connections and waits until serving has
// ended.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	l.serving.Wait()
	l.server = nil
}

func (l *listener) address() fleet.Address {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listenAddress
}
