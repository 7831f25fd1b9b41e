package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// watchesStore asks an instance whether it is the reader of the store.
func watchesStore(g *gateway) bool {
	response, err := http.Get("http://" + g.operator() + "/state")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var state struct {
		Config struct {
			Watching bool `json:"watching"`
		} `json:"config"`
	}
	return json.NewDecoder(response.Body).Decode(&state) == nil && state.Config.Watching
}

const (
	// drainBound is drain_ms.
	drainBound = 2000 * time.Millisecond
	// staysFor is how long a server that leaves goes on serving.
	staysFor = 9 * time.Second
	// answerDelay is how long the answer of the store is on its way.
	answerDelay = 240 * time.Millisecond
	// stability is stability_window_ms.
	stability = 3 * time.Second
	// maxDrains bounds the servers that leave, lastStart the time of the last restart.
	maxDrains = 6
	lastStart = 90 * time.Second
)

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
}

// runDrain restarts an instance while a server leaves.
func runDrain(r *record, binary, dir string, trouble bool) (broken bool, err error) {
	s := &site{record: r, deployment: bmrsGateway, binary: binary}
	defer s.close()
	if s.store, err = startStore(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals := make(map[*backend][]arrival)
	if err := s.startBackends(func(b *backend, id string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[b] = append(arrivals[b], arrival{id, time.Now()})
	}); err != nil {
		return false, err
	}
	toStore, err := startLink(s.store.address())
	if err != nil {
		return false, err
	}
	defer toStore.close()
	if err := s.startGateways(3, dir, toStore.address(), 0); err != nil {
		return false, err
	}
	sentTo := make(map[string]string)
	counts := make(map[string]int)
	clients := make([]*client, 200)
	for i := range clients {
		clients[i] = newClient(r, s.deployment, s.directories(nil))
	}
	t := startTraffic(clients, s.deployment.kinds, func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		sentTo[a.id] = a.address
		counts[fmt.Sprintf("%s %d", a.kind, a.status)]++
		r.add("answer %s %s via %s: %d %v after %d ms", a.kind, a.id, a.address, a.status, a.err, a.endedAt.Sub(a.sentAt).Milliseconds())
	})
	defer func() { t.end(); r.say("answers: %v", counts) }()
	time.Sleep(8 * time.Second)
	restarted, err := s.secondInUse()
	if err != nil {
		return false, err
	}
	for _, c := range clients {
		c.useDirectories(s.directories(restarted))
	}
	// The machine is a seed itself, and the other seeds of its settings are gone.
	seeds := []string{restarted.control(), fmt.Sprintf("127.0.0.8:%d", restarted.basePort+3), fmt.Sprintf("127.0.0.9:%d", restarted.basePort+3)}
	if err := restarted.writeSettings(s.deployment, dir, seeds, toStore.address()); err != nil {
		return false, err
	}
	leaves := 0
	for try := 0; leaves < maxDrains && !broken && time.Since(r.start) < lastStart; try++ {
		restarted.signal(syscall.SIGTERM)
		if !restarted.awaitEnd(7 * time.Second) {
			return false, fmt.Errorf("%s did not end", restarted.name)
		}
		server := s.backends[leaves]
		drained := make(chan time.Time, 1)
		hold := time.Duration(0)
		if trouble {
			hold = answerDelay
		}
		toStore.arm(hold, func() {
			server.leaving.Store(true)
			drained <- s.store.put(server.key(), server.entry("draining"))
		})
		r.say("try %d: start of %s", try, restarted.name)
		startedAt := time.Now()
		if err := restarted.start(binary, 0); err != nil {
			return false, err
		}
		var ack time.Time
		select {
		case ack = <-drained:
		case <-time.After(800 * time.Millisecond):
			r.say("the instance had the copy of another one and did not read the store")
			toStore.arm(0, nil)
			continue
		}
		leaves++
		r.say("%s is draining: acknowledged %d ms after the start of the instance", server.id, ack.Sub(startedAt).Milliseconds())
		time.Sleep(time.Until(ack.Add(staysFor)))
		s.store.remove(server.key())
		time.Sleep(600 * time.Millisecond)
		inTouch := startedAt.Add(stability)
		if trouble {
			inTouch = ack.Add(answerDelay + stability)
		}
		mu.Lock()
		late := 0
		for _, a := range arrivals[server] {
			if after := a.at.Sub(ack); after > drainBound && a.at.After(inTouch) {
				late++
				r.say("LATE: request %s via %s reached %s %d ms after the acknowledgement, %d ms after the start of the instance", a.id, sentTo[a.id], server.id, after.Milliseconds(), a.at.Sub(startedAt).Milliseconds())
			}
		}
		mu.Unlock()
		broken = late > 0
	}
	if leaves == 0 {
		return false, fmt.Errorf("%s never read the store at its start, so no server drained", restarted.name)
	}
	return broken, nil
}

// secondInUse returns the instance that serves callers and doesn't read the store.
func (s *site) secondInUse() (*gateway, error) {
	c := newClient(s.record, s.deployment, nil)
	addresses, _ := c.resolve(context.Background(), s.gateways[0].directory())
	for _, g := range s.gateways {
		if slices.Contains(addresses, g.front()) && !watchesStore(g) {
			return g, nil
		}
	}
	return nil, fmt.Errorf("no second instance is in use: callers get %v", addresses)
}
