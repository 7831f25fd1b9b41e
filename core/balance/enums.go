package balance

//go:generate ../../.tools/enumer -type=Result,Condition,PickResult -transform=kebab -text -yaml=false -output=enums_enumer.go

// Result says how an attempt ended.
type Result uint8

const (
	// Abandoned attempts say nothing about the server: the caller left, or
	// another attempt answered first.
	Abandoned Result = iota
	// Succeeded attempts brought a whole answer of the server.
	Succeeded
	// Failed attempts brought an error of the server, a broken answer, or none.
	Failed
	// Stalled attempts brought no answer before their end.
	Stalled
	// Shed attempts were refused by the server, which had no room.
	Shed
	// Misdirected attempts reached another server at the address.
	Misdirected
	// Unreachable servers took no connection; nothing was sent.
	Unreachable
)

// Condition says what is believed of a server.
type Condition uint8

const (
	// Healthy servers get requests by their load.
	Healthy Condition = iota
	// Stalling servers have an attempt outstanding for longer than usual.
	Stalling
	// Suspected servers failed and get single trials only.
	Suspected
	// Cut servers could not be reached from this instance.
	Cut
)

// PickResult says why no server was chosen.
type PickResult uint8

const (
	// Chosen means that there is a server.
	Chosen PickResult = iota
	// NoServer means that no server of the service may be used.
	NoServer
	// NoRoom means that the queues of all servers end too late.
	NoRoom
)
