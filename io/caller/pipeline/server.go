package pipeline

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/io/memory"
)

// Server accepts the connections of callers.
type Server struct {
	options Options
	// bodies bounds the bytes of all request bodies in progress.
	bodies *memory.Budget

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopped  bool
	// wg waits for the goroutines of the connections.
	wg conc.WaitGroup
}

// New returns a server. It accepts connections after Serve is called.
func New(options Options) *Server {
	if options.BodyMemory <= 0 {
		options.BodyMemory = defaultBodyMemory
	}
	return &Server{options: options, bodies: memory.NewBudget(options.BodyMemory), conns: make(map[*conn]struct{})}
}

// acceptRetryInterval is the delay before the next accept after a temporary failure,
// such as a lack of file descriptors.
const acceptRetryInterval = 10 * time.Millisecond

// Serve serves callers on the listener until Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		return listener.Close()
	}
	for {
		socket, err := listener.Accept()
		switch {
		case err == nil:
			s.startConn(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			s.options.Log.WithError(err).Warn("accepting a connection failed; retrying")
			time.Sleep(acceptRetryInterval)
		default:
			return eris.Wrap(err, "accepting callers")
		}
	}
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr)
}

func (s *Server) startConn(socket net.Conn) {
	c := newConn(s.options, s.bodies, socket)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = socket.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.removeConn(c)
		c.serve()
	})
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// OpenConnections returns the number of open connections, idle or not.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// BodyBytes returns the bytes of all request bodies in progress.
func (s *Server) BodyBytes() int { return s.bodies.Used() }

// CloseIdleConnections closes the connections that have no open request and have
// served at least one. New connections stay open, since their first request is most
// likely in transit.
func (s *Server) CloseIdleConnections() {
	for _, c := range s.openConns() {
		c.closeIfIdle()
	}
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close closes the listener, aborts all connections, and waits for their goroutines
// or the end of the context.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, c := range s.openConns() {
		c.abort()
	}
	done := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		s.wg.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
