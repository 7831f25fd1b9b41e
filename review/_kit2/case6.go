package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = storeTurnsReadersAway }

const (
	// machines6 is the number of machines, in three zones.
	machines6 = 36
	// turnedAway6 is the number of machines of each zone that the store turns away: 12 of 36,
	// a share of 0.33.
	turnedAway6 = 4
	// trouble6 is how long the store turns them away.
	trouble6 = 9 * time.Second
	// configApply6 and drain6 are the bounds config_apply_ms and drain_ms.
	configApply6 = 2 * time.Second
	drain6       = 2 * time.Second
)

// config6 has a route for reads, which a later version moves to another service, and one for
// writes, which stays.
func config6(version int, readService string) map[string]any {
	return map[string]any{
		"version":  version,
		"services": []any{service("svc-a"), service("svc-b")},
		"limits":   limits(),
		"hosts": []any{map[string]any{"host": "h.example", "paths": []any{
			map[string]any{"name": "r1", "prefix": "/read/", "type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 500, "priority": 2, "service": readService, "max_attempts": 2},
			map[string]any{"name": "r2", "prefix": "/write/", "type": "non_idempotent", "timeout_ms": 1200, "target_latency_ms": 500, "priority": 1, "service": "svc-a", "max_attempts": 2},
		}}},
	}
}

// storeTurnsReadersAway lets the store turn away a third of the machines: in each zone the
// first ones that call it. The operator then moves a route to another service, and a server
// reports that it leaves. The other machines reach the store all the time.
func storeTurnsReadersAway(trouble bool) (int, error) {
	log, err := openRecord()
	if err != nil {
		return 2, err
	}
	defer log.close()
	f, err := newFleet(machines6)
	if err != nil {
		return 2, err
	}
	defer f.close()
	f.store.put("op/config", config6(1, "svc-a"))
	var servers []*backend
	for i := range 12 {
		name := "svc-a"
		if i >= 6 {
			name = "svc-b"
		}
		b, err := startBackend(f.store, fmt.Sprintf("i-%d", i), name, fmt.Sprintf("zone-%c", 'a'+i%3), "127.0.0.1:0", 4)
		if err != nil {
			return 2, err
		}
		defer b.end()
		servers = append(servers, b)
	}
	proxies := make(map[*machine]*storeProxy)
	for _, m := range f.machines {
		p, err := startProxy(f.store.address())
		if err != nil {
			return 2, err
		}
		proxies[m], m.storeAddress = p, p.address()
	}
	if err := f.startAll(); err != nil {
		return 2, err
	}
	for _, m := range f.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return 2, err
		}
	}
	time.Sleep(8 * time.Second)

	var mu sync.Mutex
	away := make(map[*machine]bool)
	awayInZone := make(map[string]int)
	if trouble {
		log.say("the store begins to turn away %d machines of each zone: the first that call it", turnedAway6)
		for _, m := range f.machines {
			proxies[m].decide(func() proxyMode {
				mu.Lock()
				defer mu.Unlock()
				if !away[m] && awayInZone[m.zone] < turnedAway6 {
					away[m] = true
					awayInZone[m.zone]++
					log.say("the store turns %s in %s away (its connections are reset)", m.name, m.zone)
				}
				if away[m] {
					return reset
				}
				log.add("the store serves %s in %s", m.name, m.zone)
				return pass
			})
		}
	}
	began := time.Now()
	time.Sleep(time.Second)
	f.store.put("op/config", config6(2, "svc-b"))
	servers[0].setState("draining")
	acked := time.Now()
	log.say("the store has acknowledged version 2, which moves /read/ from svc-a to svc-b, and that i-0 of svc-a is draining")

	// All machines get requests. Those that were turned away are not judged.
	var clients sync.WaitGroup
	for _, m := range f.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; time.Since(began) < trouble6+4*time.Second; i++ {
				for _, path := range []string{"/read/x", "/write/x"} {
					method := "GET"
					if path == "/write/x" {
						method = "POST"
					}
					id := fmt.Sprintf("%s-%s%d", m.name, strings.ToLower(method), i)
					sent := time.Since(acked)
					status, body, err := ask(m.front, method, path, id, "")
					log.add("%s sent %s %s %s %.3f s after the acknowledgement: %d %q %v", id, method, path, m.name, sent.Seconds(), status, body, err)
					mu.Lock()
					sent6[id] = sentRequest{machine: m, after: sent}
					mu.Unlock()
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(trouble6)))
	for _, p := range proxies {
		p.decide(nil)
	}
	log.say("the store serves all machines again")
	clients.Wait()

	lateConfig, lateDrain, latest := 0, 0, time.Duration(0)
	stale := make(map[*machine]bool)
	for _, r := range allRuns(servers...) {
		s, known := sent6[r.ID]
		log.add("%s ran at %s of %s, %.3f s after the acknowledgement", r.ID, r.Server, r.Service, r.At.Sub(acked).Seconds())
		if !known || away[s.machine] {
			continue
		}
		if strings.HasPrefix(r.Path, "/read/") && r.Service == "svc-a" && s.after > configApply6 {
			lateConfig++
			stale[s.machine] = true
			latest = max(latest, s.after)
		}
		if r.Server == "i-0" && r.At.Sub(acked) > drain6 {
			lateDrain++
		}
	}
	log.say("%d machines were turned away, %d reached the store", len(away), len(f.machines)-len(away))
	log.say("CONFIG: %d requests to %d machines that reached the store were sent more than %v after the acknowledgement and run by the old service, the last %.3f s after it", lateConfig, len(stale), configApply6, latest.Seconds())
	log.say("DRAIN: %d requests from these machines reached i-0 more than %v after the acknowledgement that it is draining", lateDrain, drain6)
	if lateConfig > 0 || lateDrain > 0 {
		return 1, nil
	}
	return 0, nil
}

// sentRequest is a request of a client.
type sentRequest struct {
	machine *machine
	after   time.Duration
}

var sent6 = make(map[string]sentRequest)
