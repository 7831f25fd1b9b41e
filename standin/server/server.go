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
	errBadDeadline = eris.New("bad " + HeaderDeadline)
	errBadSize     = eris.New("bad " + HeaderBodySize)
)

// Options describes one server.
type Options struct {
	ID      fleet.ServerID    `json:"id"`
	Service fleet.ServiceName `json:"service"`
	// Listen takes work and health probes; Control takes faults and queries.
	Listen  fleet.Address `json:"listen"`
	Control fleet.Address `json:"control"`
	Slots   fleet.Slots   `json:"slots"`
	// MaxConns is the connection limit; zero means none.
	MaxConns fleet.Conns `json:"conns,omitempty"`
	// The service time is uniform in Mean plus or minus Jitter.
	Mean   jsontime.Duration `json:"mean"`
	Jitter jsontime.Duration `json:"jitter,omitempty"`
	Seed   uint64            `json:"seed,omitempty"`
	// The first Cold requests take ColdFactor times as long.
	ColdRequests int     `json:"cold,omitempty"`
	ColdFactor   float64 `json:"cold_factor,omitempty"`
	// Journal is a file to which each protected key is appended as it starts
	// to run, one a line; empty means none.
	Journal string `json:"journal,omitempty"`
}

// Server is one running server.
type Server struct {
	options Options
	clock   clockwork.Clock
	ledger  *ledger
	faults  *faults
	times   *serviceTimes
	data    *listener
	control *listener
	journal io.WriteCloser
}

// Start opens both listeners and serves them until Close.
func Start(options Options, clock clockwork.Clock) (*Server, error) {
	journal, err := openJournal(options.Journal)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options: options,
		clock:   clock,
		journal: journal,
		ledger:  newLedger(options.Slots, journal),
		faults:  newFaults(),
		times: &serviceTimes{
			rng:    rand.New(rand.NewPCG(options.Seed, 1)),
			mean:   options.Mean.Std(),
			jitter: options.Jitter.Std(),
			cold:   options.ColdRequests,
			factor: options.ColdFactor,
		},
	}
	s.data = newListener(options.Listen, s.workRoutes(), s.connState)
	s.control = newListener(options.Control, s.controlRoutes(), nil)
	if err := s.data.open(); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.control.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// workRoutes returns the handler of the work listener. It matches by hand,
// because a ServeMux would redirect paths that are not clean.
func (s *Server) workRoutes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
			s.health(w, r)
			return
		}
		s.work(w, r)
	})
}

// connState counts connections and closes those beyond the limit.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !s.ledger.connect(s.options.MaxConns) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.ledger.disconnect()
	}
}

// ListenAddress returns the address that takes work.
func (s *Server) ListenAddress() fleet.Address { return s.data.address() }

// ControlAddress returns the address of the control listener.
func (s *Server) ControlAddress() fleet.Address { return s.control.address() }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	stats := s.ledger.snapshot(s.clock.Now())
	stats.ID = s.options.ID
	stats.Service = s.options.Service
	return stats
}

// Keys returns how often each protected key started to run.
func (s *Server) Keys() map[fleet.Key]int { return s.ledger.keyRuns() }

// SetFault replaces the fault in force. It fails on a fault that makes no
// sense, and if a server that refused connections cannot listen again.
func (s *Server) SetFault(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	s.faults.set(s.clock.Now(), fault)
	if fault.Kind == FaultRefuse {
		s.data.close()
		return nil
	}
	return s.data.open()
}

// Drain makes every later answer say that the server is leaving.
func (s *Server) Drain() { s.ledger.drain(s.clock.Now()) }

// Close ends both listeners and all connections.
func (s *Server) Close() {
	s.data.close()
	s.control.close()
	_ = s.journal.Close()
}

// nopCloser is a journal that keeps nothing.
type nopCloser struct{ io.Writer }

// Close does nothing.
func (nopCloser) Close() error { return nil }

func openJournal(name string) (io.WriteCloser, error) {
	if name == "" {
		return nopCloser{io.Discard}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, eris.Wrap(err, "open the journal")
}

// listener serves HTTP at one address and can be closed and opened again.
type listener struct {
	handler   http.Handler
	connState func(net.Conn, http.ConnState)

	mu      sync.Mutex
	addr    fleet.Address
	server  *http.Server
	serving conc.WaitGroup
}

func newListener(addr fleet.Address, handler http.Handler, connState func(net.Conn, http.ConnState)) *listener {
	return &listener{addr: addr, handler: handler, connState: connState}
}

// open starts to listen; it does nothing on an open listener.
func (l *listener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", string(l.addr))
	if err != nil {
		return eris.Wrapf(err, "listen at %s", l.addr)
	}
	// A port chosen by the system stays the same when it is opened again.
	l.addr = fleet.Address(socket.Addr().String())
	server := &http.Server{
		Handler:   l.handler,
		ConnState: l.connState,
		ErrorLog:  log.New(io.Discard, "", 0),
	}
	l.server = server
	l.serving.Go(func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return nil
}

// close ends the listener and its connections.
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
	return l.addr
}
