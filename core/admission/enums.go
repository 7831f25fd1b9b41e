package admission

//go:generate ../../.tools/enumer -type=Use -transform=kebab -text -yaml=false -output=enums_enumer.go

// Use specifies which requests a server may get.
type Use uint8

const (
	// None means no requests.
	None Use = iota
	// Normal means all requests.
	Normal
	// LastResort means all requests, but only if no normal server has a free slot.
	LastResort
	// Trial means one idempotent request at a time.
	Trial
)
