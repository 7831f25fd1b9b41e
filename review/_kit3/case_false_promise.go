package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// greyShare is the share of its requests that the failing server fails, greyLength how
	// long it does so, and greySpells how many servers do so, one after the other.
	greyShare  = 0.4
	greyLength = 6 * time.Second
	greySpells = 4
	// maxTries is how often a client sends one swap: the first time and its retries.
	maxTries = 3
)

func init() { cases["false-promise"] = falsePromise }

// attempts holds what is known of the attempts of all clients.
type attempts struct {
	mu sync.Mutex
	// ran holds the server that ran an attempt, swaps how often each swap ran.
	ran   map[string]string
	swaps map[string]int
}

func (a *attempts) record(s *server, id, body string, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ran[id] = s.id
	a.swaps[body]++
}

// falsePromise lets one of eight servers fail a part of its requests after it worked on them,
// with the status 503 of its application and no Galenaridge-Not-Executed. It looks for
// requests that must not run twice, were answered 503, and have run.
func falsePromise(r *caseRun) (bool, error) {
	known := &attempts{ran: make(map[string]string), swaps: make(map[string]int)}
	zones := kuvuka.zones
	// failing is the number of the server that fails, from 1; 0 for none.
	var failing atomic.Int64
	for i := range 8 {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "bundle-svc", zone: zones[i%3], capacity: 4, work: 30 * time.Millisecond, ran: known.record}
		s.fails = func() string {
			if failing.Load() == int64(i+1) && rand.Float64() < greyShare {
				return "503 Service Unavailable"
			}
			return ""
		}
		if err := startServer(s); err != nil {
			return false, err
		}
		r.store.put(s.key(), s.entry("ready"))
	}
	r.store.put("op/config", configuration(7))
	if err := r.startMachines(kuvuka, zones, r.store.address()); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lastSwap, lastID, refused, falsely atomic.Int64
	for n := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				swap := fmt.Sprintf("swap %d", lastSwap.Add(1))
				until := time.Now().Add(2 * time.Second)
				for range maxTries {
					addresses, err := r.machines[n%3].resolve(kuvuka, zones[n%3])
					if err != nil || len(addresses) == 0 {
						break
					}
					c := &caller{host: kuvuka.host, address: addresses[0]}
					id := fmt.Sprintf("r%06d", lastID.Add(1))
					a := c.send(http.MethodPost, "/swap/1", id, swap, time.Until(until))
					c.close()
					known.mu.Lock()
					server := known.ran[id]
					known.mu.Unlock()
					r.record.linef("sent POST %s (%s): status %d signed %v %v; ran by %q", id, swap, a.status, a.signed, a.err, server)
					if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
						break
					}
					refused.Add(1)
					if server != "" {
						falsely.Add(1)
						r.record.linef("REFUSED: %s (%s) was answered %d, and %s ran it", id, swap, a.status, server)
					}
					// The status promises that the attempt has not run, so the client tries again.
					time.Sleep(min(max(a.retryAfter, 50*time.Millisecond), time.Until(until)/3))
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for n := range greySpells {
		if r.trouble {
			failing.Store(int64(n + 1))
			r.record.linef("i-%d fails a part of its requests", n+1)
		}
		time.Sleep(greyLength)
		failing.Store(0)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	clients.Wait()
	twice := 0
	for swap, n := range known.swaps {
		if n > 1 {
			twice++
			r.record.linef("%s ran %d times", swap, n)
		}
	}
	r.record.resultf("%d attempts, %d answered 503 or 429, %d of these have run; %d swaps ran more than once", lastID.Load(), refused.Load(), falsely.Load(), twice)
	return falsely.Load() > 0, nil
}
