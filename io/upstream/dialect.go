package upstream

import (
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// HeaderField is one header field of a request.
type HeaderField struct {
	Name  string
	Value string
}

// HeaderCodec translates between what instances and servers mean and the header
// fields that they exchange.
type HeaderCodec interface {
	// IsReserved reports whether a header of a caller is replaced by fields of Request.
	// The name is in lower case.
	IsReserved(lower []byte) bool
	// RequestFields returns the fields that the instance sets itself.
	RequestFields(id exchange.RequestID, server fleet.ServerID, left time.Duration) []HeaderField
	// ParseResponse returns what the server states.
	ParseResponse(header *fasthttp.ResponseHeader) ResponseMetadata
}

// ResponseMetadata is what an answer states besides its body.
type ResponseMetadata struct {
	// RequestID is the request that is answered; empty if the answer does not say.
	RequestID exchange.RequestID
	// Signed reports that the answer comes from a server's application.
	Signed bool
	// Declined reports that the server did not run the request.
	Declined bool
	// Misdirected reports that the request was for another server.
	Misdirected bool
	Load        balance.Load
}
