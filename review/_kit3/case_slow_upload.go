package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBytes is the largest upload of kts-kilnbook-grown.
	uploadBytes = 360_000
	// uploadDeadline and uploadTimeout are the deadline of the client and the timeout of the
	// route.
	uploadDeadline = 6 * time.Second
	// readPause is how long a server that reads slowly does not read on.
	readPause = 2200 * time.Millisecond
	// grace is a bound of kts-kilnbook-grown.
	grace = 6 * time.Second
)

func init() { cases["slow-upload"] = slowUpload }

// upload is what is known of one upload.
type upload struct {
	sentAt, beganAt, answeredAt time.Time
	server                      string
	answer                      answer
	finished                    bool
	brokenOff                   string
}

// slowUpload stops one machine with SIGTERM while clients upload through it, and lets three of
// six servers read slowly: they work on an upload as it arrives. It looks for uploads that the
// machine broke off although their servers were at work and no deadline was reached.
func slowUpload(r *caseRun) (bool, error) {
	var mu sync.Mutex
	uploads := make(map[string]*upload)
	change := func(id string, do func(u *upload)) {
		mu.Lock()
		defer mu.Unlock()
		if u := uploads[id]; u != nil {
			do(u)
		}
	}
	for i := range 6 {
		s := &server{
			id: fmt.Sprintf("i-%d", i+1), service: "ware-archive", zone: "larisa", capacity: 3, work: 200 * time.Millisecond, receiveBuffer: 16 << 10,
			began: func(s *server, id string, at time.Time) {
				change(id, func(u *upload) { u.server, u.beganAt = s.id, at })
			},
			ran: func(_ *server, id, _ string, _ time.Time) { change(id, func(u *upload) { u.finished = true }) },
			brokenOff: func(id string, read int, err error) {
				change(id, func(u *upload) {
					u.brokenOff = fmt.Sprintf("after %d bytes, %.3f s after the server began: %v", read, time.Since(u.beganAt).Seconds(), err)
				})
			},
			pause: func() time.Duration {
				if r.trouble && i < 3 {
					return readPause
				}
				return 0
			},
		}
		if err := startServer(s); err != nil {
			return false, err
		}
		r.store.put(s.key(), s.entry("ready"))
	}
	r.store.put("op/config", kilnbookConfiguration)
	if err := r.startMachines(kilnbook, kilnbook.zones, r.store.address()); err != nil {
		return false, err
	}
	// No disruption for the time that the rule asks for.
	time.Sleep(stabilityWindow + time.Second)
	stopping := r.machines[0]
	body := strings.Repeat("w", uploadBytes)
	var clients sync.WaitGroup
	var callers []*caller
	for n := range 12 {
		c := &caller{host: kilnbook.host, address: stopping.front}
		a := c.send("POST", "/ware/1", fmt.Sprintf("warm-up-%d", n), "small", uploadDeadline)
		if a.status != 200 {
			return false, fmt.Errorf("the first request of client %d was answered %d %v", n, a.status, a.err)
		}
		callers = append(callers, c)
	}
	stoppedAt := time.Now()
	if err := stopping.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	r.record.linef("SIGTERM to %s", stopping.node)
	for n, c := range callers {
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer c.close()
			time.Sleep(time.Duration(100+60*n) * time.Millisecond)
			id := fmt.Sprintf("upload-%d", n)
			mu.Lock()
			uploads[id] = &upload{sentAt: time.Now()}
			mu.Unlock()
			a := c.send("POST", "/ware/1", id, body, uploadDeadline)
			change(id, func(u *upload) { u.answer, u.answeredAt = a, time.Now() })
		}()
	}
	clients.Wait()
	time.Sleep(readPause)
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for n := range callers {
		id := fmt.Sprintf("upload-%d", n)
		u := uploads[id]
		sinceStop := func(t time.Time) float64 { return t.Sub(stoppedAt).Seconds() }
		r.record.linef("%s: sent %.3f s after SIGTERM, answered %d %v at %.3f s %q; server %s began at %.3f s, whole body %v, broken off %s",
			id, sinceStop(u.sentAt), u.answer.status, u.answer.err, sinceStop(u.answeredAt), u.answer.body, u.server, sinceStop(u.beganAt), u.finished, u.brokenOff)
		ownAnswer := u.answer.err != nil || !u.answer.signed
		early := u.answeredAt.Before(u.sentAt.Add(uploadDeadline-200*time.Millisecond)) && u.answeredAt.Before(stoppedAt.Add(grace*5/6))
		if !u.beganAt.IsZero() && ownAnswer && early {
			lost++
			r.record.linef("LOST: %s was broken off", id)
		}
	}
	r.record.resultf("%d uploads after SIGTERM, %d broken off while their server was at work", len(callers), lost)
	return lost > 0, nil
}

var kilnbookConfiguration = []byte(`{"version":7,"services":[{"name":"ware-archive","health_path":"/health","max_connections":1620,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"hosts":[{"host":"kiln.example","paths":[{"name":"ware-upload","prefix":"/ware/","type":"upload","timeout_ms":6000,"target_latency_ms":1500,"priority":1,"service":"ware-archive","max_attempts":2}]}]}`)
