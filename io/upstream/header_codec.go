package upstream

import (
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/balance"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// HeaderField is one header field of a request to a server.
type HeaderField struct {
	Name  string
	Value string
}

// HeaderCodec encodes and decodes the header fields that instances and servers
// exchange.
type HeaderCodec interface {
	// IsReserved reports whether a header field is reserved for RequestFields.
	// Reserved fields are not copied from the request of the caller. The name is
	// in lower case.
	IsReserved(lower []byte) bool
	// IsCredential reports whether a header field may carry the key of a caller. Such
	// fields are not copied from requests with OmitCredential. The name is in lower case.
	IsCredential(lower []byte) bool
	// RequestFields returns the header fields that the instance adds to a request.
	// timeLeft is the time until the deadline.
	RequestFields(request *exchange.Request, server fleet.ServerID, timeLeft time.Duration) []HeaderField
	// ParseResponse decodes the header fields of the server.
	ParseResponse(header *fasthttp.ResponseHeader) ResponseMetadata
}

// ResponseMetadata is the content of the header fields that a server sets for the
// instance.
type ResponseMetadata struct {
	// RequestID is the id of the request that the response belongs to; empty if the
	// response has none.
	RequestID exchange.RequestID
	// Signed reports that the response comes from a server's application.
	Signed bool
	// Declined reports that the server stated that it did not run the request.
	Declined bool
	// Misdirected reports that the request was meant for another server.
	Misdirected bool
	// Leaving reports that the server is about to end.
	Leaving bool
	// RetryAfter is how long the server wants no request of this instance; zero if it did
	// not say so.
	RetryAfter time.Duration
	Load       balance.Load
}
