package main

import (
	"io"
	"net"
	"sync"
)

// proxyMode is how a proxy treats the calls of a machine to the store.
type proxyMode int

const (
	pass proxyMode = iota
	reset
)

// storeProxy passes the calls of one machine on to the store, or turns them away.
type storeProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// decision says what becomes of a call; nil if all are passed on.
	decision func() proxyMode
}

func startProxy(target string) (*storeProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *storeProxy) address() string { return p.listener.Addr().String() }

// decide sets what becomes of further calls. Calls that wait for an answer go on.
func (p *storeProxy) decide(decision func() proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decision = decision
}

func (p *storeProxy) mode() proxyMode {
	p.mu.Lock()
	decision := p.decision
	p.mu.Unlock()
	if decision == nil {
		return pass
	}
	return decision()
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *storeProxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(c, server)
		_ = c.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		if p.mode() == reset {
			resetConn(c)
			return
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			return
		}
	}
}
