package memory

//go:generate ../../.tools/enumer -type=Kind -transform=kebab -text -yaml=false -output=kind_enumer.go

// Kind is what bytes are held for.
type Kind uint8

const (
	// Connections are connections of callers, idle or not.
	Connections Kind = iota
	// ReadBuffers are the buffers of connections of callers that send a request.
	ReadBuffers
	// RequestBodies are bodies of requests in progress.
	RequestBodies
	// Pending are heads of requests in progress, and responses that wait until callers
	// have read them.
	Pending
	// ServerConnections are connections to servers, idle or not.
	ServerConnections
	// IncomingResponses are responses that are read from servers.
	IncomingResponses
	// CopyTransfers are parts of the copy of the store that peers fetch.
	CopyTransfers
)

// kindCount is the number of kinds.
const kindCount = int(CopyTransfers) + 1
