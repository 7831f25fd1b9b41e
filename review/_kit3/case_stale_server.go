package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of kuvuka-gw.
const (
	drainBound      = 2000 * time.Millisecond
	stabilityWindow = 3000 * time.Millisecond
)

const (
	// cutLength is below the 5.5 s for which the site cuts a machine off from the store.
	cutLength = 5200 * time.Millisecond
	// leaveAfter is the time from the cut until the server leaves.
	leaveAfter = 500 * time.Millisecond
	// watchLength is how long the server is observed after the heal. It exits then.
	watchLength = 4500 * time.Millisecond
	rounds      = 9
)

func init() { cases["stale-server"] = staleServer }

// staleRound is one round: a server leaves while the machine is cut off from the store.
type staleRound struct {
	mu sync.Mutex
	// leaver is the server that leaves, gone when the store acknowledged that.
	leaver *server
	gone   time.Time
	// touchSince is when the machine is in touch again; zero until the heal.
	touchSince time.Time
	arrivals   []arrival
}

type arrival struct {
	id     string
	at     time.Time
	sentAt time.Time
}

// staleServer cuts a machine that is alone from the store, lets a server leave meanwhile, and
// looks for requests that reach this server once the machine is in touch again.
func staleServer(r *caseRun) (bool, error) {
	path, err := newLink(r.store.address())
	if err != nil {
		return false, err
	}
	var sentAt sync.Map
	var current atomic.Pointer[staleRound]
	ran := func(s *server, id, _ string, at time.Time) {
		round := current.Load()
		if round == nil {
			return
		}
		round.mu.Lock()
		defer round.mu.Unlock()
		if s != round.leaver || round.gone.IsZero() {
			return
		}
		sent, _ := sentAt.Load(id)
		when, _ := sent.(time.Time)
		round.arrivals = append(round.arrivals, arrival{id: id, at: at, sentAt: when})
	}
	var servers []*server
	added := 0
	add := func() error {
		added++
		s := &server{id: fmt.Sprintf("i-%d", added), service: "bundle-svc", zone: "khomas-a", capacity: 4, work: 100 * time.Millisecond, ran: ran}
		if err := startServer(s); err != nil {
			return err
		}
		r.store.put(s.key(), s.entry("ready"))
		servers = append(servers, s)
		return nil
	}
	for range 4 {
		if err := add(); err != nil {
			return false, err
		}
	}
	r.store.put("op/config", configuration(7))
	if err := r.startMachines(kuvuka, []string{"khomas-a"}, path.address()); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer func() {
		close(stop)
		clients.Wait()
	}()
	var lastID atomic.Int64
	for range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &caller{host: kuvuka.host, address: r.machines[0].front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("r%06d", lastID.Add(1))
				sentAt.Store(id, time.Now())
				a := c.send("POST", "/swap/1", id, "swap "+id, 2*time.Second)
				r.record.linef("sent POST %s: status %d %v", id, a.status, a.err)
			}
		}()
	}
	time.Sleep(time.Second)
	for n := range rounds {
		round := &staleRound{leaver: servers[0]}
		servers = servers[1:]
		current.Store(round)
		if r.trouble {
			path.setCut(true)
			r.record.linef("round %d: the path of the machine to the store is cut", n+1)
		}
		// The length varies, so that the heal meets different moments between two calls.
		rest := cutLength - time.Duration(n%4)*300*time.Millisecond
		time.Sleep(leaveAfter)
		r.store.remove(round.leaver.key())
		round.mu.Lock()
		round.gone = time.Now()
		round.mu.Unlock()
		r.record.linef("round %d: the store acknowledged that %s is gone", n+1, round.leaver.id)
		time.Sleep(rest - leaveAfter)
		path.setCut(false)
		healed := time.Now()
		r.record.linef("round %d: the path is whole", n+1)
		time.Sleep(watchLength)
		round.leaver.exit()
		if round.report(r, n+1, healed) {
			return true, nil
		}
		if err := add(); err != nil {
			return false, err
		}
	}
	return false, nil
}

// report reports whether a request reached the server that left, later than the bound after
// the acknowledgement, sent by a client and passed on while the machine was in touch.
func (s *staleRound) report(r *caseRun, number int, healed time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.gone.Add(drainBound)
	if r.trouble && from.Before(healed.Add(stabilityWindow)) {
		from = healed.Add(stabilityWindow)
	}
	late := 0
	for _, a := range s.arrivals {
		if !a.sentAt.After(from) {
			continue
		}
		late++
		r.record.linef("round %d: %s ran %s, %.3f s after it was gone, %.3f s after the heal", number, s.leaver.id, a.id, a.at.Sub(s.gone).Seconds(), a.at.Sub(healed).Seconds())
	}
	r.record.resultf("round %d: %d requests reached %s after it was gone, %d of them late and in touch", number, len(s.arrivals), s.leaver.id, late)
	return late > 0
}
