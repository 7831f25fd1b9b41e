package pipeline

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Server accepts the connections of callers.
type Server struct {
	options Options

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopped  bool
	// wg counts the connections.
	wg conc.WaitGroup
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	return &Server{options: options, conns: make(map[*conn]struct{})}
}

// acceptPause is the time to the next try after a failed accept, as when the
// process has no descriptor left.
const acceptPause = 10 * time.Millisecond

// Serve answers callers on the listener until Close. It returns nil then.
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
			s.start(socket)
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			s.options.Log.WithError(err).Warn("cannot accept a connection; trying again")
			time.Sleep(acceptPause)
		default:
			return eris.Wrap(err, "accepting callers")
		}
	}
}

// isTemporary reports whether accepting may work again.
func isTemporary(err error) bool {
	var network net.Error
	return errors.As(err, &network)
}

func (s *Server) start(socket net.Conn) {
	c := newConn(s.options, socket)
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = socket.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		defer s.forget(c)
		c.serve()
	})
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdleConnections closes the connections that carry no request and have carried one.
// Those that are new are left: their request is most likely on its way.
func (s *Server) CloseIdleConnections() {
	for _, c := range s.all() {
		c.endIdle()
	}
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// Close closes the listener and all connections, and waits for their end.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, c := range s.all() {
		c.abort()
	}
	done := make(chan struct{})
	var waiting conc.WaitGroup
	waiting.Go(func() {
		s.wg.Wait()
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
