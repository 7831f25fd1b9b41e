package main

import (
	"errors"
	"fmt"
	"time"
)

// errNoTraffic means that no request of a client was served.
var errNoTraffic = errors.New("no request was served")

// site is a running deployment of one zone.
type site struct {
	*record
	deployment deployment
	store      *metadataStore
	backends   []*backend
	gateways   []*gateway
	binary     string
}

func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	for _, b := range s.backends {
		_ = b.http.Close()
	}
	if s.store != nil {
		s.store.close()
	}
}

// startBackends starts the servers and writes their entries and the configuration to the
// store.
func (s *site) startBackends(arrived func(b *backend, id string)) error {
	for _, service := range s.deployment.services {
		for range service.servers {
			b, err := startBackend(s.record, s.deployment, fmt.Sprintf("i-%04x", len(s.backends)), service)
			if err != nil {
				return err
			}
			b.arrived = arrived
			b.run()
			s.backends = append(s.backends, b)
			s.store.put(b.key(), b.entry("ready"))
		}
	}
	s.store.put("op/config", s.deployment.configuration())
	return nil
}

// startGateways starts instances on machines of the first zone, which are the seeds, and
// waits until they are ready. With maxDescriptors their processes get no more descriptors.
func (s *site) startGateways(count int, dir, storeAddress string, maxDescriptors int) error {
	base, err := freeBasePort()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", s.deployment.zones[0], i+1), ip: fmt.Sprintf("127.0.0.%d", i+1), basePort: base}
		s.gateways = append(s.gateways, g)
		seeds = append(seeds, g.control())
	}
	for _, g := range s.gateways {
		if err := g.writeSettings(s.deployment, dir, seeds, storeAddress); err != nil {
			return err
		}
		if err := g.start(s.binary, maxDescriptors); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if !g.awaitReady(8 * time.Second) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	return nil
}

// directories returns the addresses that clients ask for addresses, without one instance.
func (s *site) directories(without *gateway) []string {
	var addresses []string
	for _, g := range s.gateways {
		if g != without {
			addresses = append(addresses, g.directory())
		}
	}
	return addresses
}
