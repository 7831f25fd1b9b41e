package experiment

//go:generate ../../.tools/enumer -type=Deployment,Action -transform=kebab -text -yaml=false -output=enums_enumer.go

// Deployment names the deployment of an experiment.
type Deployment uint8

const (
	// Kuvuka is the deployment of Kuvuka Kids Swap.
	Kuvuka Deployment = iota
	// Bluemahoe is the deployment of Blue Mahoe Route Signs.
	Bluemahoe
	// Synthetic is a deployment of any size.
	Synthetic
)

// Action is what happens to a part of the deployment.
type Action uint8

const (
	// Kill ends an instance at once.
	Kill Action = iota
	// Pause suspends an instance.
	Pause
	// Resume continues a paused instance.
	Resume
	// Stop makes a planned stop of an instance.
	Stop
	// Restart starts the process of a slot again under the same id.
	Restart
	// Replace starts a process with a new id in a slot.
	Replace
	// Cut stops packets from one end to the other.
	Cut
	// Heal ends cuts.
	Heal
	// ServerFault replaces the fault of a server.
	ServerFault
	// Drain makes a server leave.
	Drain
	// PlatformFault replaces the fault of the platform.
	PlatformFault
	// Publish publishes the next version of the configuration.
	Publish
)

// needsInstance reports whether the action needs an instance.
func (a Action) needsInstance() bool { return a <= Replace }
