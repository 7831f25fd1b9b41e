package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = oldEntryLate }

const (
	machines10 = 9
	// lost10 is how long answers of the store are lost, and late10 how much later a write is
	// done whose answer is lost.
	lost10 = 4500 * time.Millisecond
	late10 = 6 * time.Second
	// stable10 is the bound stability_window_ms.
	stable10 = 3 * time.Second
)

// oldEntryLate lets the store lose the answer to a write of a server and do that write 6 s later.
// Meanwhile, with a store that is sound again, the server reports that it is draining.
func oldEntryLate(trouble bool) (int, error) {
	log, err := openRecord()
	if err != nil {
		return 2, err
	}
	defer log.close()
	f, servers, err := startSystem(machines10)
	if err != nil {
		return 2, err
	}
	defer f.close()
	defer endAll(servers)
	leaving := servers[0]
	leaving.onLate = func() { log.say("the store does the write of i-0 from before: ready, with an older sequence") }

	var mu sync.Mutex
	sent := make(map[string]sentRequest)
	started := time.Now()
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		for client := range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for i := 0; ; i++ {
					select {
					case <-done:
						return
					case <-time.After(100 * time.Millisecond):
					}
					id := fmt.Sprintf("%s-%d-%d", m.name, client, i)
					s := sentRequest{machine: m, after: time.Since(started)}
					mu.Lock()
					sent[id] = s
					mu.Unlock()
					status, body, err := ask(m.front, "POST", "/write/x", id, "")
					log.add("%s POST /write/x sent to %s: %d %q %v", id, m.name, status, body, err)
				}
			}()
		}
	}

	// The last write of i-0 while answers are lost.
	log.say("the store begins to lose answers")
	time.Sleep(lost10 - 100*time.Millisecond)
	if trouble {
		leaving.mu.Lock()
		leaving.delay = late10
		leaving.mu.Unlock()
	}
	leaving.beat()
	written := time.Now()
	log.say("i-0 writes its entry: ready")
	time.Sleep(100 * time.Millisecond)
	log.say("the store answers again")
	// The entry of i-0 is written again 1.5 s after each write.
	leaving.restartBeats()
	time.Sleep(stable10 + 850*time.Millisecond)
	leaving.setState("draining")
	leaving.restartBeats()
	acked := time.Now()
	log.say("the store has acknowledged that i-0 is draining, %.3f s after the last disruption", acked.Sub(written).Seconds()-0.1)
	time.Sleep(5 * time.Second)
	close(done)
	clients.Wait()

	late := 0
	machines := make(map[*machine]bool)
	first, last := time.Duration(0), time.Duration(0)
	for _, r := range allRuns(servers...) {
		log.add("%s ran at %s, %.3f s after the acknowledgement", r.ID, r.Server, r.At.Sub(acked).Seconds())
		after := r.At.Sub(acked)
		if r.Server != leaving.id || after <= drain6 {
			continue
		}
		late++
		machines[sent[r.ID].machine] = true
		if first == 0 {
			first = after
		}
		first, last = min(first, after), max(last, after)
		log.say("%s reached i-0 %.3f s after the acknowledgement that it is draining", strings.TrimSpace(r.ID), after.Seconds())
	}
	log.say("DRAIN: %d requests from %d machines reached i-0 more than %v after the acknowledgement that it is draining (%.3f to %.3f s)", late, len(machines), drain6, first.Seconds(), last.Seconds())
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}
