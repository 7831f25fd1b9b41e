package setting

import (
	"time"

	"galenaridge/core/fleet"
)

// Settings holds the settings of one process.
type Settings struct {
	ID        fleet.InstanceID `yaml:"id"`
	Domain    fleet.Domain     `yaml:"domain"`
	Listen    Listen           `yaml:"listen"`
	Advertise Advertise        `yaml:"advertise"`
	// Platform lists the URLs of the platform, tried in order.
	Platform []string `yaml:"platform"`
	// Seeds lists the peer addresses that a new instance contacts first.
	Seeds []fleet.Address `yaml:"seeds"`
	// Log is the least severe level that is logged.
	Log Level `yaml:"log"`
	// Drain is how long a planned stop waits for callers to drop their
	// assignments; zero takes the assignment lifetime of the configuration.
	Drain time.Duration `yaml:"drain"`
	// Via maps an address to the address to dial instead, for address
	// translation between failure domains.
	Via    map[fleet.Address]fleet.Address `yaml:"via"`
	Limits Limits                          `yaml:"limits"`
	// Customers may send requests. If it is nil, requests need no key; if it is empty, no key
	// is valid.
	Customers []Customer `yaml:"customers"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Caller   fleet.Address `yaml:"caller"`
	Peer     fleet.Address `yaml:"peer"`
	Operator fleet.Address `yaml:"operator"`
	// Expose allows an operator address outside loopback.
	Expose bool `yaml:"expose"`
}

// Advertise holds the addresses at which others reach the process. An empty one
// stands for the address that the process listens on, which is known only once it
// listens.
type Advertise struct {
	Caller fleet.Address `yaml:"caller"`
	Peer   fleet.Address `yaml:"peer"`
}

// Limits bounds the memory that at-most-once records take.
type Limits struct {
	// Records is the largest number of at-most-once records.
	Records int `yaml:"records"`
	// Stored is the largest stored response body in bytes.
	Stored int `yaml:"stored"`
	// Memory is the largest sum of stored response bodies in bytes.
	Memory int64 `yaml:"memory"`
}

// Defaults returns the default settings. The id, the failure domain, and a
// platform or a seed have no default and must be set.
func Defaults() Settings {
	return Settings{
		Listen: Listen{
			Caller:   "127.0.0.1:8080",
			Peer:     "127.0.0.1:8081",
			Operator: "127.0.0.1:0",
		},
		Log: Info,
		Limits: Limits{
			Records: 200_000,
			Stored:  64 << 10,
			Memory:  64 << 20,
		},
	}
}
