package attempt

import (
	"fmt"

	"galenaridge/core/exchange"
)

// Answer returns what the caller gets for the response of a server to an attempt.
//
// Servers state only with Evidence.Declined that they did not run a request. A status of
// their application that callers take for the same statement would be a false promise for a
// request that must not run twice. It is replaced by a refusal of the instance that leaves
// open whether the request ran, without the header fields of the server: they vouch for its
// own status.
func Answer(response exchange.Response, idempotent bool) exchange.Response {
	if idempotent || response.Refused() || !exchange.PromisesNotRun(response.Status) {
		return response
	}
	answer := exchange.Refuse(exchange.UpstreamFailed, fmt.Sprintf("the server may have run the request and answered with status %d", response.Status))
	answer.Server = response.Server
	return answer
}
