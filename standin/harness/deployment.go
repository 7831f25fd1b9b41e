package harness

import (
	"fmt"
	"time"

	"galenaridge/core/fleet"
)

// Slot is the name of a slot, which runs one instance at a time: i1, i2 and so
// on.
type Slot string

// Deployment describes the processes of a deployment and the links between them.
type Deployment struct {
	Name     string
	Domains  []fleet.Domain
	Services []Service
	// Instances is the number of instances; they are assigned to the failure
	// domains in turn.
	Instances int
	// Delay is the mean one-way delay between failure domains and to the
	// platform. Delays are uniform between Delay-Jitter and Delay+Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// StallShare is the share of chunks on a link that are delayed by a further
	// Stall, as after a packet loss.
	StallShare float64
	Stall      time.Duration
	// ClientDelay is the one-way delay between callers and instances; zero
	// means that callers connect without links.
	ClientDelay time.Duration
	// ListLag is the delay until readers of the platform's listing see a change.
	ListLag time.Duration
	// LinksPerInstance gives each instance its own links to all other instances
	// and to the servers.
	LinksPerInstance bool
	// SeparateServers lists the servers that run in a process of their own. The
	// other servers of a failure domain share a process.
	SeparateServers []fleet.ServerID
	// LogLevel is the log level of instances; empty means info.
	LogLevel string
	Seed     uint64
}

// Service describes the servers of one service. Servers are named after the
// service and assigned to the failure domains in turn.
type Service struct {
	Name    fleet.ServiceName
	Servers int
	// Slots is the number of concurrent requests per server.
	Slots fleet.Slots
	// Conns is the connection limit per server; zero means none.
	Conns fleet.Conns
	// Service times are uniform between Mean-Jitter and Mean+Jitter.
	Mean   time.Duration
	Jitter time.Duration
	// The first Cold requests of a server take ColdFactor times as long.
	Cold       int
	ColdFactor float64
}

// The one-way delays of the links in both presets.
const (
	presetDelay       = 4500 * time.Microsecond
	presetJitter      = 500 * time.Microsecond
	presetClientDelay = 8 * time.Millisecond
)

// Kuvuka returns the deployment of Kuvuka Kids Swap. Its users do not state
// service times, so these are assumptions.
func Kuvuka(instances int) Deployment {
	return Deployment{
		Name:    "kuvuka",
		Domains: []fleet.Domain{"khomas-a", "khomas-b", "khomas-c"},
		Services: []Service{
			{Name: "bundle-svc", Servers: 20, Slots: 4, Conns: 330, Mean: 20 * time.Millisecond, Jitter: 8 * time.Millisecond},
			{Name: "credit-svc", Servers: 6, Slots: 4, Conns: 330, Mean: 30 * time.Millisecond, Jitter: 10 * time.Millisecond},
		},
		Instances:   instances,
		Delay:       presetDelay,
		Jitter:      presetJitter,
		ClientDelay: presetClientDelay,
		Seed:        1,
	}
}

// BlueMahoe returns the deployment of Blue Mahoe Route Signs. Its users do not
// state service times, so these are assumptions.
func BlueMahoe(instances int) Deployment {
	return Deployment{
		Name:    "bluemahoe",
		Domains: []fleet.Domain{"jm-south-1", "jm-south-2", "jm-south-3"},
		Services: []Service{
			{Name: "plan-library", Servers: 30, Slots: 2, Conns: 390, Mean: 20 * time.Millisecond, Jitter: 8 * time.Millisecond},
			{Name: "dispatch-desk", Servers: 6, Slots: 2, Conns: 390, Mean: 30 * time.Millisecond, Jitter: 10 * time.Millisecond},
		},
		Instances:   instances,
		Delay:       presetDelay,
		Jitter:      presetJitter,
		ClientDelay: presetClientDelay,
		Seed:        1,
	}
}

// SlotName returns the name of the slot with the given number, counted from 1.
func SlotName(number int) Slot { return Slot(fmt.Sprintf("i%d", number)) }

// ServerName returns the id of the server with the given number, counted from 1,
// among the servers of a service.
func ServerName(service fleet.ServiceName, number int) fleet.ServerID {
	return fleet.ServerID(fmt.Sprintf("%s-%d", service, number))
}
