package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	core "galenaridge/core/fleet"
)

func init() { cases["7"] = halfLost }

const (
	// machines7 is the number of machines, in three zones, and lostOfZone7 how many of each
	// zone are lost at the same moment: 18 of 36, a share of 0.5.
	machines7   = 36
	lostOfZone7 = 6
	// changeAfter7 is the time from the loss to the changes.
	changeAfter7 = 300 * time.Millisecond
	// watch7 is how long the machines that stay are watched after the changes.
	watch7 = 8 * time.Second
)

// halfLost ends half of the machines at the same moment: in each zone those that are the first
// in the order in which the machines become active. Right after that the operator moves a route
// to another service, and a server reports that it leaves.
func halfLost(trouble bool) (int, error) {
	log, err := openRecord()
	if err != nil {
		return 2, err
	}
	defer log.close()
	f, servers, err := startSystem(machines7)
	if err != nil {
		return 2, err
	}
	defer f.close()
	defer endAll(servers)

	lost := make(map[*machine]bool)
	if trouble {
		for _, m := range firstOfZones(f, lostOfZone7) {
			lost[m] = true
			log.add("%s in %s is lost", m.name, m.zone)
		}
		for m := range lost {
			_ = m.command.Process.Signal(syscall.SIGKILL)
		}
		log.say("%d of %d machines are lost", len(lost), len(f.machines))
	}
	time.Sleep(changeAfter7)
	f.store.put("op/config", config6(2, "svc-b"))
	servers[0].setState("draining")
	acked := time.Now()
	log.say("the store has acknowledged version 2, which moves /read/ from svc-a to svc-b, and that i-0 of svc-a is draining")

	var mu sync.Mutex
	sent := make(map[string]sentRequest)
	var clients sync.WaitGroup
	for _, m := range f.machines {
		if lost[m] {
			continue
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; time.Since(acked) < watch7; i++ {
				for _, c := range []call{{"GET", "/read/x"}, {"POST", "/write/x"}} {
					id := fmt.Sprintf("%s-%s%d", m.name, strings.ToLower(c.method), i)
					s := sentRequest{machine: m, after: time.Since(acked)}
					mu.Lock()
					sent[id] = s
					mu.Unlock()
					status, body, err := ask(m.front, c.method, c.path, id, "")
					log.add("%s sent %s %s %s %.3f s after the acknowledgement: %d %q %v", id, c.method, c.path, m.name, s.after.Seconds(), status, body, err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	for _, m := range f.machines {
		select {
		case <-m.exited:
			if !lost[m] {
				return 2, fmt.Errorf("%s ended by itself", m.name)
			}
		default:
		}
	}

	lateConfig, lateDrain, latest := 0, 0, time.Duration(0)
	stale := make(map[*machine]bool)
	for _, r := range allRuns(servers...) {
		s, known := sent[r.ID]
		log.add("%s ran at %s of %s, %.3f s after the acknowledgement", r.ID, r.Server, r.Service, r.At.Sub(acked).Seconds())
		if !known {
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
	log.say("CONFIG: %d requests to %d machines that stayed were sent more than %v after the acknowledgement and run by the old service, the last %.3f s after it", lateConfig, len(stale), configApply6, latest.Seconds())
	log.say("DRAIN: %d requests from these machines reached i-0 more than %v after the acknowledgement that it is draining", lateDrain, drain6)
	if lateConfig > 0 || lateDrain > 0 {
		return 1, nil
	}
	return 0, nil
}

// call is a method with a path.
type call struct{ method, path string }

// firstOfZones returns the first machines of each zone in the order in which they become
// active.
func firstOfZones(f *fleet, count int) []*machine {
	zones := make(map[string][]*machine)
	for _, m := range f.machines {
		zones[m.zone] = append(zones[m.zone], m)
	}
	var first []*machine
	for _, list := range zones {
		slices.SortFunc(list, func(a, b *machine) int {
			if core.RendezvousScore(core.InstanceID(a.name), "active") > core.RendezvousScore(core.InstanceID(b.name), "active") {
				return -1
			}
			return 1
		})
		first = append(first, list[:count]...)
	}
	return first
}

// startSystem starts a platform, six servers of svc-a, six of svc-b, and machines, and waits
// until all are in touch.
func startSystem(machines int) (*fleet, []*backend, error) {
	f, err := newFleet(machines)
	if err != nil {
		return nil, nil, err
	}
	f.store.put("op/config", config6(1, "svc-a"))
	var servers []*backend
	for i := range 12 {
		name := "svc-a"
		if i >= 6 {
			name = "svc-b"
		}
		b, err := startBackend(f.store, fmt.Sprintf("i-%d", i), name, fmt.Sprintf("zone-%c", 'a'+i%3), "127.0.0.1:0", 4)
		if err != nil {
			f.close()
			return nil, nil, err
		}
		servers = append(servers, b)
	}
	err = f.startAll()
	for _, m := range f.machines {
		if err == nil {
			err = m.awaitReady(15 * time.Second)
		}
	}
	if err != nil {
		f.close()
		return nil, nil, err
	}
	time.Sleep(8 * time.Second)
	return f, servers, nil
}

func endAll(servers []*backend) {
	for _, b := range servers {
		b.end()
	}
}
