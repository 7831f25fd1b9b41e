package upstream

import (
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Field is one header field of a request.
type Field struct {
	Name  string
	Value string
}

// Dialect translates between what instances and servers mean and the header
// fields that they exchange.
type Dialect interface {
	// Own reports whether a header of a caller is replaced by fields of Request.
	// The name is in lower case.
	Own(lower []byte) bool
	// Request returns the fields that the instance sets itself.
	Request(id exchange.RequestID, server fleet.ServerID, left time.Duration) []Field
	// Answer returns what the server states.
	Answer(header *fasthttp.ResponseHeader) Statement
}

// Statement is what an answer states besides its body.
type Statement struct {
	// ID is the request that is answered; empty if the answer does not say.
	ID exchange.RequestID
	// Signed reports that the answer comes from a server's application.
	Signed bool
	// Declined reports that the server did not run the request.
	Declined bool
	// Misdirected reports that the request was for another server.
	Misdirected bool
	Load        balance.Load
}
