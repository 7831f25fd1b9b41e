package proof

import (
	"strconv"

	"galenaridge/bench"
	"galenaridge/client"
	"galenaridge/standin/harness"
	"galenaridge/standin/proof/caller"
)

// clientsPerDomain is high enough to spread the load over all owners. Each
// client keeps one assignment for seconds, and an owner without assigned
// clients would get hardly any requests for its servers.
const clientsPerDomain = 8

// clients holds clients of package client in all failure domains and uses them
// in turn.
type clients struct {
	caller.RoundRobin[*client.Client]
}

func (c *clients) close() {
	for _, domainClient := range c.Callers {
		domainClient.Close()
	}
}

// newClients returns clientsPerDomain clients for each failure domain.
func (s *system) newClients() (*clients, error) {
	group := &clients{}
	for n := range clientsPerDomain * len(s.deployment.Domains) {
		domainClient, err := s.newClient(n)
		if err != nil {
			group.close()
			return nil, err
		}
		group.Callers = append(group.Callers, domainClient)
	}
	return group, nil
}

// capacityOf returns the requests per second that the servers of a service can
// process.
func capacityOf(service harness.Service) float64 {
	return float64(service.Servers) * float64(service.Slots) / service.Mean.Seconds()
}

// totalCapacity returns the requests per second that all servers can process.
func (s *system) totalCapacity() float64 {
	sum := 0.0
	for _, service := range s.deployment.Services {
		sum += capacityOf(service)
	}
	return sum
}

// capacityMix returns reads (80%) and protected requests (20%) of all services,
// in proportion to the capacity of each service.
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

// readKind returns the kind of reads of a service.
func readKind(service harness.Service, weight float64) bench.Kind {
	return bench.Kind{Weight: weight, Service: service.Name, Class: "read", Method: "GET", Path: "/items?page=1"}
}

// serviceOf returns the service of a kind of requests, or a zero service if it
// is not deployed.
func (s *system) serviceOf(kind bench.Kind) harness.Service {
	for _, service := range s.deployment.Services {
		if service.Name == kind.Service {
			return service
		}
	}
	return harness.Service{}
}

func itoa(n int) string { return strconv.Itoa(n) }
