package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pipelined is how many requests a client sends before it reads an answer.
	pipelined = 48
	// maxStay is the latest time at which a client leaves. The site lets clients leave within
	// half of the objective, which is 1 s.
	maxStay = 30 * time.Millisecond
	// goneSlack is how much later than the close requests may reach a server, and few how
	// many may do so nevertheless.
	goneSlack = 500 * time.Millisecond
	few       = 5
	// leavingRounds is how often a client of each machine leaves.
	leavingRounds = 20
	// largeStability is a bound of kuvuka-gw-large.
	largeStability = 4 * time.Second
)

var largeConfiguration = []byte(`{"version":7,"services":[{"name":"bundle-svc","health_path":"/health","max_connections":3600,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"hosts":[{"host":"swap.example","paths":[{"name":"listing-browse","prefix":"/listing/","type":"idempotent","timeout_ms":4000,"target_latency_ms":2000,"priority":2,"service":"bundle-svc","max_attempts":2}]}]}`)

func init() { cases["left-client"] = leftClient }

// departures holds when clients left and which requests reached servers later.
type departures struct {
	record *record
	mu     sync.Mutex
	// closedAt is by connection, the first part of the id of a request.
	closedAt  map[string]time.Time
	all, late int
}

// connectionNameLength is the length of the name of a connection.
const connectionNameLength = 6

func (d *departures) ran(s *server, id, _ string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all++
	closed, left := d.closedAt[id[:connectionNameLength]]
	if !left || at.Sub(closed) <= goneSlack {
		d.record.linef("%s ran %s", s.id, id)
		return
	}
	d.late++
	d.record.linef("GONE: %s ran %s, which reached it %.3f s after its client had left", s.id, id, at.Sub(closed).Seconds())
}

// leftClient lets clients leave that have sent many idempotent requests on one connection. It
// looks for requests that reach a server over half a second later.
func leftClient(r *caseRun) (bool, error) {
	d := &departures{record: r.record, closedAt: make(map[string]time.Time)}
	for i := range 40 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "bundle-svc", zone: large.zones[i%3], capacity: 4, work: 500 * time.Millisecond, spread: 0.3, ran: d.ran}
		if err := startServer(s); err != nil {
			return false, err
		}
		r.store.put(s.key(), s.entry("ready"))
	}
	r.store.put("op/config", largeConfiguration)
	if err := r.startMachines(large, large.zones, r.store.address()); err != nil {
		return false, err
	}
	time.Sleep(largeStability + time.Second)
	for round := range leavingRounds {
		var clients sync.WaitGroup
		for i, m := range r.machines {
			clients.Add(1)
			go func() {
				defer clients.Done()
				d.visit(fmt.Sprintf("c%02d-%d-", round, i), m.front, r.trouble)
			}()
		}
		clients.Wait()
		time.Sleep(2500 * time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.record.resultf("%d requests reached servers, %d of them over half a second after their client had left", d.all, d.late)
	return d.late > few, nil
}

// visit sends requests on one connection and leaves, at once or after all answers.
func (d *departures) visit(name, address string, leave bool) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		d.record.linef("connection %s: %v", name, err)
		return
	}
	text := ""
	for i := range pipelined {
		text += fmt.Sprintf("GET /listing/%d HTTP/1.1\r\nHost: %s\r\nGalenaridge-Request-Id: %s%d\r\nGalenaridge-Deadline-Ms: 4000\r\n\r\n", i, large.host, name, i)
	}
	_, err = conn.Write([]byte(text))
	d.record.linef("sent %d GET on connection %s %v", pipelined, name, err)
	answers := 0
	if leave {
		time.Sleep(time.Duration(rand.Int63n(int64(maxStay))))
	} else {
		reader := bufio.NewReader(conn)
		for ; answers < pipelined; answers++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err := readAll(response); err != nil {
				break
			}
		}
	}
	d.mu.Lock()
	d.closedAt[name[:connectionNameLength]] = time.Now()
	d.mu.Unlock()
	_ = conn.Close()
	d.record.linef("closed connection %s after %d answers", name, answers)
}
