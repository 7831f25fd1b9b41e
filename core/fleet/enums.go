package fleet

//go:generate ../../.tools/enumer -type=Outcome,Presence,Preference -transform=kebab -text -yaml=false -output=enums_enumer.go

// Outcome is the known result of the execution of a request.
type Outcome uint8

const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// Done means that a server ran the request, and that the response is from that
	// server.
	Done
	// NotRun means that the request was not run and never will be.
	NotRun
)

// Presence is the state of a process in the platform's listing.
type Presence uint8

const (
	// Live processes accept requests.
	Live Presence = iota
	// Leaving processes finish the requests in flight and accept no more.
	Leaving
)

// Preference chooses between fast detection of failing servers and few false
// ejections.
type Preference uint8

const (
	// Careful accepts slower detection in exchange for fewer false ejections.
	Careful Preference = iota
	// Fast accepts more false ejections in exchange for faster detection.
	Fast
)
