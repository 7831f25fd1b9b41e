package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdClients is the number of clients of the site kuvuka-gw, burstFactor the largest x
	// of a burst there, and burstClients the number of clients during such a burst.
	crowdClients = 808
	burstFactor  = 1.7
	burstClients = 1373
	burstFor     = 3 * time.Second
	// keptFor is how long a client keeps an idle connection: four fifths of
	// idle_timeout_ms.
	keptFor = 12 * time.Second
	// calmBefore and watchAfter are the times before and after the burst.
	calmBefore = 14 * time.Second
	watchAfter = 10 * time.Second
	// machineDescriptors is max_fds of the machine, and ownDescriptors what the clients and
	// servers of the case need.
	machineDescriptors = 4100
	ownDescriptors     = 5500
)

// keptConn is a connection that a client keeps. It carries one request at a time.
type keptConn struct {
	address string
	kind    kind
	jobs    chan string
	// used is the number of requests that were answered on the open connection.
	used int
}

// crowd is a number of clients with one kept connection for each kind of request.
type crowd struct {
	*record
	kinds   []kind
	address string
	stop    chan struct{}
	running sync.WaitGroup

	mu sync.Mutex
	// conns holds the kept connections by the index of their kind.
	conns [][]*keptConn
	// cut holds the requests whose connection ended without an answer, with the number of
	// requests that it had carried before.
	cut    map[string]int
	counts map[string]int
}

// arrive adds clients. They open their connections within a second.
func (c *crowd) arrive(clients int) {
	for range clients {
		for i, k := range c.kinds {
			conn := &keptConn{address: c.address, kind: k, jobs: make(chan string)}
			c.mu.Lock()
			c.conns[i] = append(c.conns[i], conn)
			c.mu.Unlock()
			c.running.Go(func() {
				time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
				c.keep(conn)
			})
		}
	}
}

// keep opens a connection and sends the requests that it gets on it. It replaces the
// connection when it has been idle for keptFor.
func (c *crowd) keep(k *keptConn) {
	for {
		socket, err := net.DialTimeout("tcp4", k.address, time.Second)
		if err != nil {
			c.mu.Lock()
			c.counts["no connection"]++
			c.mu.Unlock()
			select {
			case <-c.stop:
				return
			case <-time.After(time.Second):
				continue
			}
		}
		k.used = 0
		c.use(k, socket)
		_ = socket.Close()
		select {
		case <-c.stop:
			return
		default:
		}
	}
}

func (c *crowd) use(k *keptConn, socket net.Conn) {
	reader := bufio.NewReader(socket)
	for {
		idle := time.NewTimer(keptFor)
		select {
		case <-c.stop:
			idle.Stop()
			return
		case <-idle.C:
			return
		case id := <-k.jobs:
			idle.Stop()
			if !c.send(k, socket, reader, id) {
				return
			}
		}
	}
}

// send sends one request and reads the answer. It reports whether the connection can be
// used again.
func (c *crowd) send(k *keptConn, socket net.Conn, reader *bufio.Reader, id string) bool {
	c.add("sent %s %s", k.kind.name, id)
	_ = socket.SetDeadline(time.Now().Add(k.kind.deadline))
	_, _ = fmt.Fprintf(socket, "%s %sx HTTP/1.1\r\nHost: %s\r\nGalenaridge-Request-Id: %s\r\nGalenaridge-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		k.kind.method, k.kind.prefix, hostName, id, k.kind.deadline.Milliseconds(), k.kind.bodyBytes, strings.Repeat("b", k.kind.bodyBytes))
	status, length, closing, err := readAnswerHead(reader)
	if err == nil {
		_, err = io.CopyN(io.Discard, reader, int64(length))
	}
	c.add("answer %s %s: %d %v", k.kind.name, id, status, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if netErr, isNet := err.(net.Error); isNet && netErr.Timeout() {
			c.counts["deadline"]++
		} else {
			c.counts["cut"]++
			c.cut[id] = k.used
		}
		return false
	}
	c.counts[strconv.Itoa(status)]++
	k.used++
	return !closing
}

// readAnswerHead returns the status and the length of the body of an answer, and whether
// the connection ends with it.
func readAnswerHead(reader *bufio.Reader) (status, length int, closing bool, err error) {
	head, err := readHead(reader)
	if err != nil || len(head) == 0 {
		return 0, 0, false, fmt.Errorf("no answer: %w", err)
	}
	_, _ = fmt.Sscanf(head[0], "HTTP/1.1 %d", &status)
	for _, line := range head[1:] {
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			length, _ = strconv.Atoi(value)
		case "connection":
			closing = strings.EqualFold(value, "close")
		}
	}
	return status, length, closing, nil
}

// load sends requests of a kind at a rate until a time, on idle connections.
func (c *crowd) load(index int, perSecond float64, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		c.mu.Lock()
		conns := c.conns[index]
		c.mu.Unlock()
		id := nextID()
		for range 20 {
			select {
			case conns[rand.IntN(len(conns))].jobs <- id:
			default:
				continue
			}
			break
		}
	}
}

// runCrowd lets many users come at once.
func runCrowd(r *record, binary, dir string, trouble bool) (broken bool, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return false, fmt.Errorf("the clients need %d descriptors, and there are %d", ownDescriptors, limit.Cur)
	}
	s := &site{record: r, deployment: kuvukaGateway, binary: binary}
	defer s.close()
	if s.store, err = startStore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	reached := make(map[string]bool)
	if err := s.startBackends(func(_ *backend, id string) {
		mu.Lock()
		defer mu.Unlock()
		reached[id] = true
	}); err != nil {
		return false, err
	}
	if err := s.startGateways(1, dir, s.store.address(), machineDescriptors); err != nil {
		return false, err
	}
	g := s.gateways[0]
	c := &crowd{record: r, kinds: s.deployment.kinds, address: g.front(), stop: make(chan struct{}), conns: make([][]*keptConn, len(s.deployment.kinds)), cut: make(map[string]int), counts: make(map[string]int)}
	c.arrive(crowdClients)
	end := time.Now().Add(calmBefore + burstFor + watchAfter)
	var senders sync.WaitGroup
	for i, k := range s.deployment.kinds {
		senders.Go(func() { c.load(i, k.perSecond, end) })
	}
	time.Sleep(calmBefore)
	r.say("before: %d descriptors, ready %v, ended %v", descriptors(g), g.isReady(), g.hasEnded())
	if g.hasEnded() {
		return false, fmt.Errorf("the instance ended before the burst: %s", g.state)
	}
	if trouble {
		c.arrive(burstClients - crowdClients)
		for i, k := range s.deployment.kinds {
			senders.Go(func() { c.load(i, (burstFactor-1)*k.perSecond, time.Now().Add(burstFor)) })
		}
	}
	// The platform asks for readiness once per second.
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		open := descriptors(g)
		ready := g.isReady()
		r.say("%d descriptors, ready %v, ended %v", open, ready, g.hasEnded())
		if g.hasEnded() {
			break
		}
	}
	ended := g.hasEnded()
	time.Sleep(time.Second)
	close(c.stop)
	if !ended {
		senders.Wait()
		c.running.Wait()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for id, used := range c.cut {
		if reached[id] && used > 0 {
			lost++
			r.add("LOST: request %s had reached a server", id)
		}
	}
	if ended {
		log, _ := os.ReadFile(g.logPath)
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		r.say("the process ended by itself: %s; its last line: %s", g.state, lines[len(lines)-1])
	}
	r.say("answers: %v; requests that had reached a server, on kept connections that ended without an answer: %d", c.counts, lost)
	if c.counts["200"] == 0 {
		return false, errNoTraffic
	}
	return lost > 3, nil
}

// descriptors returns the number of open descriptors of an instance.
func descriptors(g *gateway) int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}
