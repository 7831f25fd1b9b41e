package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a back end as PROTOCOL.md describes it.
type server struct {
	id, service, zone string
	capacity          int
	work              time.Duration
	// spread is the standard deviation of the logarithm of the work; zero for an even one.
	spread   float64
	listener net.Listener
	born     int64
	// ran is called when the server begins to work on a request.
	ran func(s *server, id, body string, at time.Time)
	// fails reports whether the server, after its work, answers a request with a failure.
	// The status line is the text that it returns; empty for a success.
	fails func() string
	// pause is how long the server does not read on in the middle of a long body; zero if it
	// reads without a pause. receiveBuffer is the size of its receive buffer; zero for the
	// default of the system.
	pause         func() time.Duration
	receiveBuffer int
	// began is called when the server has read the first part of a long body, brokenOff when
	// a body ends early.
	began     func(s *server, id string, at time.Time)
	brokenOff func(id string, read int, err error)

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	running int
}

// maxQueued is how many requests wait for a slot before the server sheds.
const maxQueued = 16

func startServer(s *server) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.born, s.conns = listener, time.Now().UnixMilli(), make(map[net.Conn]struct{})
	slots := make(chan struct{}, s.capacity)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if s.receiveBuffer > 0 {
				_ = c.(*net.TCPConn).SetReadBuffer(s.receiveBuffer)
			}
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go func() {
				s.serve(c, slots)
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
		}
	}()
	return nil
}

func (s *server) key() string { return "servers/" + s.id }

func (s *server) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":%d,"state":%q,"warmup_left_ms":0,"sequence":1,"born":%d}`,
		s.service, s.listener.Addr(), s.zone, s.capacity, state, s.born)
}

// exit ends the server: it closes its listener and all connections.
func (s *server) exit() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn, slots chan struct{}) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := s.readBody(request)
		if err != nil {
			if s.brokenOff != nil {
				s.brokenOff(request.Header.Get("Galenaridge-Request-Id"), len(body), err)
			}
			return
		}
		if !s.answer(c, slots, request, string(body)) {
			return
		}
	}
}

// firstPart is how much of a long body the server reads before its pause.
const firstPart = 32 << 10

func (s *server) readBody(request *http.Request) ([]byte, error) {
	if s.pause == nil || request.ContentLength <= 2*firstPart {
		return io.ReadAll(request.Body)
	}
	first := make([]byte, firstPart)
	if n, err := io.ReadFull(request.Body, first); err != nil {
		return first[:n], err
	}
	if s.began != nil {
		s.began(s, request.Header.Get("Galenaridge-Request-Id"), time.Now())
	}
	time.Sleep(s.pause())
	rest, err := io.ReadAll(request.Body)
	return append(first, rest...), err
}

func (s *server) answer(c net.Conn, slots chan struct{}, request *http.Request, body string) bool {
	id := request.Header.Get("Galenaridge-Request-Id")
	if expected := request.Header.Get("Galenaridge-Expected-Instance"); expected != "" && expected != s.id {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nGalenaridge-Request-Id: "+id+"\r\nGalenaridge-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	full := s.running >= s.capacity+maxQueued
	if !full {
		s.running++
	}
	s.mu.Unlock()
	if full {
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nGalenaridge-Request-Id: "+id+"\r\nGalenaridge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	slots <- struct{}{}
	defer func() {
		<-slots
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.ran(s, id, body, time.Now())
	time.Sleep(s.workTime())
	status, text := "200 OK", "done by "+s.id+" for "+id
	if s.fails != nil {
		if failure := s.fails(); failure != "" {
			status, text = failure, "failed at "+s.id
		}
	}
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", min(s.running, s.capacity), max(s.running-s.capacity, 0), s.capacity)
	s.mu.Unlock()
	return write(c, "HTTP/1.1 "+status+"\r\nGalenaridge-Request-Id: "+id+"\r\nGalenaridge-Server-Signature: "+s.id+"."+id+
		"\r\nGalenaridge-Server-Load: "+load+"\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
}

// workTime returns how long the server works on the next request.
func (s *server) workTime() time.Duration {
	if s.spread > 0 {
		return time.Duration(float64(s.work) * math.Exp(s.spread*rand.NormFloat64()))
	}
	return s.work + time.Duration(rand.Int63n(int64(s.work)/3+1))
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
