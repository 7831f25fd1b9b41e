package proof

import (
	"strconv"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/caller"
)

// clientsPerDomain spreads the load over the owners: each client keeps one
// assignment for seconds, and servers of owners that no client is assigned to
// would get hardly any requests.
const clientsPerDomain = 8

// clients are clients of package client in all failure domains.
type clients struct {
	caller.RoundRobin[*client.Client]
}

func (c *clients) close() {
	for _, one := range c.Callers {
		one.Close()
	}
}

// newClients returns clients for all failure domains.
func (s *system) newClients() (*clients, error) {
	group := &clients{}
	for n := range clientsPerDomain * len(s.deployment.Domains) {
		one, err := s.newClient(n)
		if err != nil {
			group.close()
			return nil, err
		}
		group.Callers = append(group.Callers, one)
	}
	return group, nil
}

// capacityOf returns how many requests a second the servers of a service bear.
func capacityOf(service harness.Service) float64 {
	return float64(service.Servers) * float64(service.Slots) / service.Mean.Seconds()
}

// totalCapacity returns how many requests a second all servers bear.
func (s *system) totalCapacity() float64 {
	sum := 0.0
	for _, service := range s.deployment.Services {
		sum += capacityOf(service)
	}
	return sum
}

// capacityMix returns reads and protected requests of all services, in
// proportion to what the servers bear.
func (s *system) capacityMix() []bench.Kind {
	var kinds []bench.Kind
	for _, service := range s.deployment.Services {
		kinds = append(kinds, readKind(service, 0.8*capacityOf(service)))
	}
	for _, kind := range protectedKinds(s.answers) {
		kind.Weight = 0.2 * capacityOf(s.serviceOf(kind))
		kinds = append(kinds, kind)
	}
	return kinds
}

// readKind returns reads of a service.
func readKind(service harness.Service, weight float64) bench.Kind {
	return bench.Kind{Weight: weight, Service: service.Name, Class: "read", Method: "GET", Path: "/items?page=1"}
}

// serviceOf returns the service that a kind of requests goes to.
func (s *system) serviceOf(kind bench.Kind) harness.Service {
	for _, service := range s.deployment.Services {
		if service.Name == kind.Service {
			return service
		}
	}
	return harness.Service{}
}

func itoa(n int) string { return strconv.Itoa(n) }
