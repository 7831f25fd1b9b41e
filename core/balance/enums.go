package balance

//go:generate ../../.tools/enumer -type=Result,Condition,PickResult,Exclusion -transform=kebab -text -yaml=false -output=enums_enumer.go

// Result is how an attempt ended.
type Result uint8

const (
	// Abandoned attempts carry no information about the server: the caller
	// disconnected, or another attempt got a response first.
	Abandoned Result = iota
	// Succeeded attempts returned a complete response of the server.
	Succeeded
	// Failed attempts returned an error of the server, a broken response, or none.
	Failed
	// Stalled attempts timed out without a response.
	Stalled
	// Shed attempts were rejected by the server because it is overloaded.
	Shed
	// Misdirected attempts reached a different server at the address.
	Misdirected
	// Unreachable means that no connection was established and nothing was sent.
	Unreachable
)

// Condition is the state of a server as estimated by this instance.
type Condition uint8

const (
	// Healthy servers get requests according to their load.
	Healthy Condition = iota
	// Stalling servers have an attempt that has been outstanding for longer than
	// expected.
	Stalling
	// Suspected servers are likely to be failing; they get occasional trials.
	Suspected
	// Cut servers cannot be reached from this instance.
	Cut
)

// PickResult is the result of Pick: a server, or the reason why there is none.
type PickResult uint8

const (
	// Chosen means that a server was chosen.
	Chosen PickResult = iota
	// NoServer means that the service has no server, or that all were excluded.
	NoServer
	// NoRoom means that the queue of every server is too long.
	NoRoom
	// AllPaused means that every server asked for a pause.
	AllPaused
)

// Exclusion is the reason why a server cannot be chosen for a request.
type Exclusion uint8

const (
	// Tried servers had an attempt of the same request.
	Tried Exclusion = iota
	// Noticed servers said that they leave or want a pause.
	Noticed
	// QueueTooLong servers would begin with the request too late.
	QueueTooLong
)
