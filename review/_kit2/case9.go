package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = seedsLost }

const (
	// machines9 is the number of machines in three zones. The first three are the seeds.
	machines9 = 9
	// rate9 and burst9 are the quota of the tenant, per9 what its clients send a second in
	// all: 25 x 7.5, with a quota of 1.6 times the usual rate of 25.
	rate9, burst9 = 40, 40
	per9          = 187
	// down9 is how long the machines that come back have no power, and seedLag9 the time
	// after which the settings name other seeds.
	down9    = 700 * time.Millisecond
	seedLag9 = 3 * time.Second
	sending9 = 6500 * time.Millisecond
	window9  = 5 * time.Second
	// bound9 is (rate x window + burst) x (1 + quota_overage) + quota_tolerance.
	bound9 = (rate9*5+burst9)*1.25 + 20
)

// seedsLost cuts the power of all machines. All come back but the three that are the seeds.
func seedsLost(trouble bool) (int, error) {
	log, err := openRecord()
	if err != nil {
		return 2, err
	}
	defer log.close()
	f, err := newFleet(machines9)
	if err != nil {
		return 2, err
	}
	defer f.close()
	f.bounds = bounds8
	f.limits = "cpu_share: 0.4, cores: 1, memory_mb: 429, max_fds: 8192, link_mbps: 200.0"
	f.store.put("op/config", config8(1, []any{map[string]any{"name": "sese880", "api_keys": []string{key8}, "priority": 1, "rate_per_s": rate9, "burst": burst9}}))
	var servers []*backend
	for i := range 12 {
		b, err := startBackend(f.store, fmt.Sprintf("i-%d", i), "svc", fmt.Sprintf("zone-%c", 'a'+i%3), "127.0.0.1:0", 4)
		if err != nil {
			return 2, err
		}
		servers = append(servers, b)
	}
	defer endAll(servers)
	if err := f.startAll(); err != nil {
		return 2, err
	}
	for _, m := range f.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return 2, err
		}
	}
	time.Sleep(8 * time.Second)

	back := f.machines[3:]
	lost := time.Now()
	if trouble {
		f.kill()
		log.say("all %d machines lose power", len(f.machines))
		for _, m := range f.machines {
			<-m.exited
			m.restarted = true
		}
		time.Sleep(time.Until(lost.Add(down9)))
		if os.Getenv("SEEDS") == "back" {
			back = f.machines
		}
		for _, m := range back {
			if err := f.start(m); err != nil {
				return 2, err
			}
		}
		log.say("%d machines start again; the three seeds of their settings stay lost", len(back))
		for _, m := range back {
			if err := m.awaitReady(5 * time.Second); err != nil {
				return 2, err
			}
		}
		back = f.machines[3:]
		clients := time.AfterFunc(time.Until(lost.Add(seedLag9)), func() {
			f.seeds = f.machines[3:6]
			for _, m := range f.machines[3:] {
				_ = f.writeSettings(m)
			}
			log.say("the settings name three of the machines that are there as seeds")
		})
		defer clients.Stop()
	}

	var clients sync.WaitGroup
	began := time.Now()
	ends := make(map[int]int)
	var mu sync.Mutex
	for i := range per9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			m := back[i%len(back)]
			time.Sleep(time.Duration(i) * time.Second / per9)
			for n := 0; time.Since(began) < sending9; n++ {
				next := time.Now().Add(time.Second)
				id := fmt.Sprintf("t%d-%d", i, n)
				status, body, err := ask(m.front, "POST", "/write/x", id, "Authorization: Bearer "+key8+"\r\n")
				log.add("%s POST /write/x sent to %s: %d %q %v", id, m.name, status, body, err)
				mu.Lock()
				ends[status]++
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		}()
	}
	clients.Wait()

	runs := allRuns(servers...)
	sort.Slice(runs, func(i, j int) bool { return runs[i].At.Before(runs[j].At) })
	most, at, first := 0, time.Duration(0), 0
	var byMachine []string
	for i, r := range runs {
		log.add("%s ran at %s, tenant %q, %.3f s after the clients began", r.ID, r.Server, r.Tenant, r.At.Sub(began).Seconds())
		for runs[first].At.Before(r.At.Add(-window9)) {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, r.At.Sub(began)
		}
	}
	for status, n := range ends {
		byMachine = append(byMachine, fmt.Sprintf("%d: %d", status, n))
	}
	sort.Strings(byMachine)
	log.say("answers: %s", strings.Join(byMachine, ", "))
	log.say("QUOTA: %d requests of the tenant ran within %v, up to %.3f s after the clients began; the bound is %.0f", most, window9, at.Seconds(), float64(bound9))
	if float64(most) > bound9 {
		return 1, nil
	}
	return 0, nil
}
