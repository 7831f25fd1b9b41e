package harness

import (
	"fmt"
	"time"

	"galenaridge/core/fleet"
)

// Slot names the place of one instance: i1, i2 and so on.
type Slot string

// Deployment says what runs.
type Deployment struct {
	Name     string
	Domains  []fleet.Domain
	Services []Service
	// Instances are placed in the failure domains in turn.
	Instances int
	// Delay is the time one way between failure domains and to the platform,
	// uniform in Delay plus or minus Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// StallShare of the chunks on a link wait for Stall, as after a loss.
	StallShare float64
	Stall      time.Duration
	// ClientDelay is the time one way from callers; zero means no links.
	ClientDelay time.Duration
	// ListLag delays changes of the platform's list for readers.
	ListLag time.Duration
	// LinksPerInstance gives each instance links of its own to all others.
	LinksPerInstance bool
	// SeparateServers lists servers that get a process of their own.
	SeparateServers []fleet.ServerID
	// LogLevel is the log level of instances; empty means info.
	LogLevel string
	Seed     uint64
}

// Service says how the servers of one service work. Servers are named after
// the service and placed in the failure domains in turn.
type Service struct {
	Name       fleet.ServiceName
	Servers    int
	Slots      fleet.Slots
	Conns      fleet.Conns
	Mean       time.Duration
	Jitter     time.Duration
	Cold       int
	ColdFactor float64
}

// The links of both presets.
const (
	presetDelay       = 4500 * time.Microsecond
	presetJitter      = 500 * time.Microsecond
	presetClientDelay = 8 * time.Millisecond
)

// Kuvuka returns the deployment of Kuvuka Kids Swap. The service times are
// ours: the users do not state them.
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

// BlueMahoe returns the deployment of Blue Mahoe Route Signs. The service
// times are ours: the users do not state them.
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

// SlotName returns the name of the slot with the number, which counts from 1.
func SlotName(number int) Slot { return Slot(fmt.Sprintf("i%d", number)) }

// ServerName returns the id of the server of a service with the number, which
// counts from 1.
func ServerName(service fleet.ServiceName, number int) fleet.ServerID {
	return fleet.ServerID(fmt.Sprintf("%s-%d", service, number))
}
