package experiment

//go:generate ../../.tools/enumer -type=Deployment,Action -transform=kebab -text -yaml=false -output=enums_enumer.go

// Deployment selects the deployment that an experiment runs.
type Deployment uint8

const (
	// Kuvuka is the deployment of Kuvuka Kids Swap.
	Kuvuka Deployment = iota
	// Bluemahoe is the deployment of Blue Mahoe Route Signs.
	Bluemahoe
	// Synthetic is a deployment whose size the experiment gives.
	Synthetic
)

// Action is the kind of a fault.
type Action uint8

const (
	// Kill ends the process of an instance with SIGKILL.
	Kill Action = iota
	// Pause suspends the process of an instance.
	Pause
	// Resume continues a paused process.
	Resume
	// Stop lists an instance as leaving and stops it gracefully.
	Stop
	// Restart starts a new process in a slot under the same instance id.
	Restart
	// Replace starts a new process in a slot under a new instance id.
	Replace
	// Cut blocks all data from one link end to another until Heal. Connections
	// stay open.
	Cut
	// Heal removes cuts; blocked data then arrives.
	Heal
	// ServerFault replaces the simulated fault of a server.
	ServerFault
	// Drain makes a server announce that it is draining and lists it as
	// leaving.
	Drain
	// PlatformFault replaces the simulated fault of the platform.
	PlatformFault
	// Publish publishes the next version of the configuration.
	Publish
)

// needsInstance reports whether the action applies to an instance.
func (a Action) needsInstance() bool { return a <= Replace }
