package synthetic

import (
	"cmp"
	"fmt"
	"time"

	"galenaridge/core/config"
	"galenaridge/core/fleet"
	"galenaridge/core/problem"
	"galenaridge/io/document"
	"galenaridge/standin/harness"
)

// Shape specifies the size and the timing of a deployment. A field with a zero value
// takes the default that its comment states.
type Shape struct {
	// Instances is the number of instances; the default is 6.
	Instances int `yaml:"instances"`
	// Domains is the number of failure domains; the default is 1.
	Domains int `yaml:"domains"`
	// Services is the number of services; the default is 1.
	Services int `yaml:"services"`
	// Servers is the number of servers of all services together; the default is 6.
	Servers int `yaml:"servers"`
	// Routes is the number of routes of all services together. It has no default.
	Routes int `yaml:"routes"`
	// Customers is the number of customers. It has no default.
	Customers int `yaml:"tenants"`
	// Slots is the number of concurrent requests of a server; the default is 4.
	Slots fleet.Slots `yaml:"slots"`
	// SlotMultiplier is the ratio of the slots that a server enforces to the slots
	// in the configuration. A ratio above 1 leaves slots for requests that are
	// sent directly to the servers; the default is 1.
	SlotMultiplier int `yaml:"spare"`
	// MaxConns is the connection limit of a server; the default is 330.
	MaxConns fleet.Conns `yaml:"conns"`
	// Mean and Jitter are the mean service time and the largest deviation from it;
	// the default is 10ms without jitter.
	Mean   time.Duration `yaml:"mean"`
	Jitter time.Duration `yaml:"jitter"`
	// MaxDeadline is the longest deadline of each service; the default is 2s.
	MaxDeadline time.Duration `yaml:"deadline"`
	// Delay is the one-way delay between failure domains and to the platform.
	Delay time.Duration `yaml:"delay"`
	// Detect selects the thresholds of failure detection.
	Detect fleet.Preference `yaml:"detect"`
}

// Limits of a shape, since one machine runs all processes of a deployment.
const (
	maxInstances = 60
	maxServers   = 2000
)

// withDefaults returns the shape with the default of each field that is zero.
func (s Shape) withDefaults() Shape {
	s.Instances = cmp.Or(s.Instances, 6)
	s.Domains = cmp.Or(s.Domains, 1)
	s.Services = cmp.Or(s.Services, 1)
	s.Servers = cmp.Or(s.Servers, 6)
	s.Slots = cmp.Or(s.Slots, 4)
	s.SlotMultiplier = cmp.Or(s.SlotMultiplier, 1)
	s.MaxConns = cmp.Or(s.MaxConns, 330)
	s.Mean = cmp.Or(s.Mean, 10*time.Millisecond)
	s.MaxDeadline = cmp.Or(s.MaxDeadline, 2*time.Second)
	return s
}

// Validate returns a problem.List if a deployment of the shape cannot run.
func (s Shape) Validate() error {
	s = s.withDefaults()
	var c problem.Checker
	problem.CheckRange(&c, "instances", s.Instances, 1, maxInstances)
	problem.CheckRange(&c, "domains", s.Domains, 1, s.Instances)
	problem.CheckRange(&c, "services", s.Services, 1, s.Servers)
	problem.CheckRange(&c, "servers", s.Servers, 1, maxServers)
	problem.CheckRange(&c, "spare", s.SlotMultiplier, 1, 1000)
	c.Require(s.Routes >= 0, "routes", s.Routes, "not negative")
	c.Require(s.Customers >= 0, "tenants", s.Customers, "not negative")
	c.CheckDuration("delay", s.Delay, 0, time.Second)
	return c.Err()
}

// Deployment returns a deployment of the shape. The servers of each service are
// assigned to the failure domains in turn, beginning with the first.
func (s Shape) Deployment(seed uint64) harness.Deployment {
	s = s.withDefaults()
	d := harness.Deployment{
		Name:      "synthetic",
		Domains:   s.domains(),
		Instances: s.Instances,
		Delay:     s.Delay,
		Seed:      seed,
	}
	for i := range s.Services {
		d.Services = append(d.Services, harness.Service{
			Name:    ServiceName(i + 1),
			Servers: evenShare(s.Servers, s.Services, i),
			Slots:   s.Slots * fleet.Slots(s.SlotMultiplier),
			Conns:   s.MaxConns,
			Mean:    s.Mean,
			Jitter:  s.Jitter,
		})
	}
	return d
}

// Config returns the configuration document of the shape, encoded as the platform
// serves it.
func (s Shape) Config(version fleet.Version) ([]byte, error) {
	return document.EncodeConfig(s.Document(version), nil)
}

// Document returns the configuration of the shape.
func (s Shape) Document(version fleet.Version) config.Document {
	s = s.withDefaults()
	d := config.Document{
		Version:    version,
		Deployment: "synthetic",
		Domains:    s.domains(),
		Limits: config.Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			AssignmentTTL:  5 * time.Second,
			TokenTTL:       10 * time.Minute,
		},
	}
	for i := range s.Services {
		d.Services = append(d.Services, config.Service{
			Name:     ServiceName(i + 1),
			Slots:    s.Slots,
			Conns:    s.MaxConns,
			Floor:    fleet.Servers(max(1, evenShare(s.Servers, s.Services, i)*2/3)),
			Deadline: s.MaxDeadline,
			Detect:   s.Detect,
			Routes:   routes(evenShare(s.Routes, s.Services, i)),
		})
	}
	for i := range s.Customers {
		d.Customers = append(d.Customers, config.Customer{
			Name:   fleet.Customer(fmt.Sprintf("tenant-%d", i+1)),
			Class:  fleet.Class(fmt.Sprintf("class-%d", i%4+1)),
			Weight: i%4 + 1,
		})
	}
	d.Digest = config.DigestOf(d)
	return d
}

// ServiceName returns the name of the service with the given number, counted from 1.
func ServiceName(number int) fleet.ServiceName {
	return fleet.ServiceName(fmt.Sprintf("service-%d", number))
}

func (s Shape) domains() []fleet.Domain {
	domains := make([]fleet.Domain, s.Domains)
	for i := range domains {
		domains[i] = fleet.Domain(fmt.Sprintf("domain-%d", i+1))
	}
	return domains
}

// routes returns the given number of routes, alternately protected and idempotent.
func routes(count int) []config.Route {
	list := make([]config.Route, count)
	for i := range list {
		list[i] = config.Route{Method: "POST", Path: fmt.Sprintf("/area-%d/orders", i+1), Protected: i%2 == 0}
	}
	return list
}

// evenShare divides total into parts that differ by at most one and returns the part
// with the given index.
func evenShare(total, parts, index int) int {
	n := total / parts
	if index < total%parts {
		n++
	}
	return n
}
