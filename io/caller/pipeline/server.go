package pipeline

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"galenaridge/io/accept"
	"galenaridge/io/memory"
)

// Server accepts the connections of callers.
type Server struct {
	options Options
	evictor evictor

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	stopped  bool
	// wg waits for the goroutines of the connections.
	wg conc.WaitGroup
}

// New returns a server. It accepts connections after Serve is called.
func New(options Options) *Server {
	return &Server{options: options.withDefaults(), conns: make(map[*conn]struct{})}
}

// Serve serves callers on the listener until Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	listener = accept.New(listener, accept.Options{Name: "callers", Log: s.options.Log, OnFailure: s.FreeDescriptors})
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
		default:
			return eris.Wrap(err, "accepting callers")
		}
	}
}

// startConn serves a connection if there is room for it, and refuses or closes it
// otherwise.
func (s *Server) startConn(socket net.Conn) {
	c := newConn(s.options, socket)
	admission := s.admitConn()
	if admission == closed || !c.self.Grow(connBytes) {
		s.evictor.refusedConns.Add(1)
		_ = socket.Close()
		return
	}
	c.isRefused = admission == refused
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		c.self.Release()
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

// admission is what happens to a new connection.
type admission uint8

const (
	served admission = iota
	// refused connections get a refusal of their first request.
	refused
	// closed connections are closed at once.
	closed
)

// admitConn decides about a new connection. If there are too many, it closes others that
// can be closed.
func (s *Server) admitConn() admission {
	limit := s.options.MaxConns
	if limit <= 0 {
		return served
	}
	open := s.OpenConnections()
	switch {
	case open < limit:
		return served
	case open >= limit+refusalConns:
		s.evict(forDescriptors)
		return closed
	case s.evict(forDescriptors) > 0:
		return served
	default:
		return refused
	}
}

func (s *Server) removeConn(c *conn) {
	c.self.Release()
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
func (s *Server) BodyBytes() int { return s.options.Memory.UsedFor(memory.RequestBodies) }

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
