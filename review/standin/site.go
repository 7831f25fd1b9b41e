package main

import "fmt"

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
