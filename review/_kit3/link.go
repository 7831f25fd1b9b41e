package main

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy whose path can be cut. While it is cut it drops every byte, without
// a reset. A connection that was open during a cut stays silent for good; new ones work.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*linked]struct{}
}

type linked struct {
	near, far net.Conn

	mu     sync.Mutex
	silent bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: make(map[*linked]struct{})}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	c := &linked{near: near, far: far}
	l.mu.Lock()
	c.silent = l.cut
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.copy(near, far)
		_ = near.Close()
	}()
	c.copy(far, near)
	_ = far.Close()
	<-done
}

// copy forwards bytes, or drops them once the connection is silent.
func (c *linked) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if err != nil && silent && to == c.near {
			// The end of the stream does not pass a cut either.
			_, _ = io.Copy(io.Discard, c.near)
			return
		}
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setCut cuts or heals the path.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}
