package setting

import (
	"time"

	"galenaridge/core/fleet"
)

// Settings is everything one process is told at its start.
type Settings struct {
	ID     fleet.InstanceID `yaml:"id"`
	Domain fleet.Domain     `yaml:"domain"`
	Listen Listen           `yaml:"listen"`
	// Advertise holds the addresses that others use; those left empty are the
	// addresses listened on.
	Advertise Advertise `yaml:"advertise"`
	// Platform lists the URLs of the platform, tried in order.
	Platform []string `yaml:"platform"`
	// Seeds lists peer addresses that a new instance asks first.
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
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Caller   fleet.Address `yaml:"caller"`
	Peer     fleet.Address `yaml:"peer"`
	Operator fleet.Address `yaml:"operator"`
	// Expose allows an operator address outside loopback.
	Expose bool `yaml:"expose"`
}

// Advertise holds the addresses under which others reach the process.
type Advertise struct {
	Caller fleet.Address `yaml:"caller"`
	Peer   fleet.Address `yaml:"peer"`
}

// Limits bounds the memory of the process.
type Limits struct {
	// Records is the largest number of at-most-once records.
	Records int `yaml:"records"`
	// Stored is the largest stored response body in bytes.
	Stored int `yaml:"stored"`
	// Memory is the largest sum of stored response bodies in bytes.
	Memory int64 `yaml:"memory"`
}

// Source is where settings come from. Later ones override earlier ones: the
// file, then the environment, then flags.
type Source struct {
	// File is the path of the YAML file; empty for none.
	File string
	// Environ has the form of os.Environ; names that do not start with
	// GALENARIDGE_ are ignored.
	Environ []string
	// Flags maps the names of flags that were given to their values.
	Flags map[string]string
}

// Flag is a command-line flag that overrides a setting.
type Flag struct {
	Name  string
	Usage string
}

// Flags lists one flag for each setting that fits on a command line.
func Flags() []Flag { return nil }

// Load reads, merges and validates settings. Errors are Mistakes.
func Load(s Source) (Settings, error) { return Settings{}, nil }
