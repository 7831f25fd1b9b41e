package main

import (
	"fmt"
	"net/http"
	"time"
)

// configApply is a bound of kuvuka-gw.
const configApply = 2000 * time.Millisecond

func init() { cases["weights"] = weights }

// payoutRoute is a route to two services in the proportion of 9 to 1.
func payoutRoute(first, second string) string {
	return fmt.Sprintf(`{"name":"credit-payout","prefix":"/payout/","type":"non_idempotent","timeout_ms":1000,"target_latency_ms":500,"priority":0,"backends":[{"service":"credit-svc","weight":%s},{"service":"bundle-svc","weight":%s}],"max_attempts":2}`, first, second)
}

// Routes that a version drops and adds.
const (
	oldRoute = `{"name":"old-listing","prefix":"/old/","type":"idempotent","timeout_ms":2000,"target_latency_ms":1000,"priority":2,"service":"bundle-svc","max_attempts":2}`
	newRoute = `{"name":"new-listing","prefix":"/new/","type":"idempotent","timeout_ms":2000,"target_latency_ms":1000,"priority":2,"service":"bundle-svc","max_attempts":2}`
)

// weights changes the configuration: a version states the proportion of two services as 0.9
// and 0.1, drops a route and adds one. It looks for requests that are handled as only the
// version before allows, later than the bound after the acknowledgement.
func weights(r *caseRun) (bool, error) {
	zones := kuvuka.zones
	ran := func(s *server, id, _ string, _ time.Time) { r.record.linef("%s of %s ran %s", s.id, s.service, id) }
	for i := range 6 {
		for _, service := range []string{"bundle-svc", "credit-svc"} {
			s := &server{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%3], capacity: 4, work: 20 * time.Millisecond, ran: ran}
			if err := startServer(s); err != nil {
				return false, err
			}
			r.store.put(s.key(), s.entry("ready"))
		}
	}
	r.store.put("op/config", configuration(7, payoutRoute("90", "10"), oldRoute))
	if err := r.startMachines(kuvuka, zones, r.store.address()); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	if stale := probe(r, "before", "/old/1", "/new/1"); stale != 0 {
		return false, fmt.Errorf("version 7 is not in force")
	}
	first, second := "90", "10"
	if r.trouble {
		first, second = "0.9", "0.1"
	}
	r.store.put("op/config", configuration(9, payoutRoute(first, second), newRoute))
	r.record.linef("the store acknowledged version 9, with the weights %s and %s", first, second)
	acknowledged := time.Now()
	stale := 0
	for range 5 {
		time.Sleep(configApply + 100*time.Millisecond)
		stale = probe(r, "after", "/new/1", "/old/1")
	}
	r.record.resultf("%.1f s after version 9 was acknowledged, %d of 6 requests are handled as only version 7 allows", time.Since(acknowledged).Seconds(), stale)
	return stale > 0, nil
}

// probe sends two requests to each machine: one on a route that is in force and one on a
// route that is not. It returns how many are handled in the other way.
func probe(r *caseRun, when, inForce, notInForce string) int {
	wrong := 0
	for i, m := range r.machines {
		for _, uri := range []string{inForce, notInForce} {
			c := &caller{host: kuvuka.host, address: m.front}
			id := fmt.Sprintf("%s-%d-%d", when, i, time.Now().UnixNano())
			a := c.send(http.MethodGet, uri, id, "", 2*time.Second)
			c.close()
			r.record.linef("sent GET %s %s to %s: status %d %v", uri, id, m.node, a.status, a.err)
			if uri == inForce && a.status == http.StatusNotFound || uri == notInForce && a.status == http.StatusOK {
				wrong++
			}
		}
	}
	return wrong
}
