package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// link is a proxy between an instance and the store. It can hold up answers, as a link does
// that loses a packet and sends it again.
type link struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	hold time.Duration
	// listed is called once, after the store has answered a listing.
	listed func()
}

func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() { _ = l.listener.Close() }

// arm makes the link hold up the next answer to a listing, and call a function as soon as
// the store has given that answer.
func (l *link) arm(hold time.Duration, listed func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold, l.listed = hold, listed
}

func (l *link) take() (time.Duration, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hold, listed := l.hold, l.listed
	l.hold, l.listed = 0, nil
	return hold, listed
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(near)
	}
}

func (l *link) join(near net.Conn) {
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = near.Close()
		return
	}
	var mu sync.Mutex
	listing := false
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := near.Read(buffer)
			if n > 0 {
				mu.Lock()
				listing = listing || bytes.Contains(buffer[:n], []byte("/v1/kv-range"))
				mu.Unlock()
				_, _ = far.Write(buffer[:n])
			}
			if err != nil {
				_ = far.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := far.Read(buffer)
		if n > 0 {
			mu.Lock()
			isListing := listing
			listing = false
			mu.Unlock()
			if isListing {
				hold, listed := l.take()
				if listed != nil {
					listed()
				}
				time.Sleep(hold)
			}
			_, _ = near.Write(buffer[:n])
		}
		if err != nil {
			_ = near.Close()
			return
		}
	}
}
