package health

//go:generate ../../.tools/enumer -type=Condition,Reason,Result,Observer -transform=kebab -text -yaml=false -output=enums_enumer.go

// Condition is the state of a server as decided by its owner.
type Condition uint8

const (
	// Healthy servers get requests.
	Healthy Condition = iota
	// Suspect servers have evidence against them but no ejection permit; they get
	// requests only if no healthy server has a free slot.
	Suspect
	// Ejected servers get no requests; the owner holds a permit for each.
	Ejected
	// Trial servers get one idempotent request at a time; the owner holds a permit
	// for each.
	Trial
	// Dead servers refuse connections and get no requests; they need no permit.
	Dead
	// Draining servers announced that they leave and get no new requests.
	Draining
)

// Reason is the evidence behind a condition.
type Reason uint8

const (
	// NoReason means that there is no evidence against the server.
	NoReason Reason = iota
	// Stalled means that requests in flight do not end.
	Stalled
	// Failing means that too large a share of requests failed.
	Failing
	// Slow means that requests take much longer than on other servers.
	Slow
	// Refusing means that the server refuses connections.
	Refusing
	// Leaving means that the server announced that it leaves.
	Leaving
	// Untested means that the trial got no idempotent request for too long.
	Untested
)

// Result is how an attempt on a server ended.
type Result uint8

const (
	// Succeeded means that the server sent a complete response that is no
	// failure.
	Succeeded Result = iota
	// Failed means that the server sent an error or a broken response.
	Failed
	// TimedOut means that the deadline passed before a complete response.
	TimedOut
	// Canceled means that the caller disconnected, which is no evidence against
	// the server.
	Canceled
	// Refused means that the server refused the connection.
	Refused
)

// Observer identifies the instance that probed a server.
type Observer uint8

const (
	// Self is the owner of the server.
	Self Observer = iota
	// Peer is another instance.
	Peer
)
