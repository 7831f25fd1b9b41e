// Package client sends requests of a caller to a fleet of galenaridge.
//
// A client requests an assignment from any of its entry addresses: up to three
// instance addresses in order of preference, and a token for protected requests.
// It caches the assignment for its TTL and renews it in the background before it
// expires. It requests another one when an instance reports that it is leaving or
// refuses connections.
//
// Do reports in its Result whether the request was executed. The client retries a
// request in only two cases: when no connection was made, so that nothing was
// sent, and when the outcome is unknown and Request.MaxResends allows another
// send. A protected request always keeps its key. It also keeps its token once
// anything may have been sent.
//
// When its context is canceled, Do returns at once with an unknown outcome. The
// HTTP exchange itself continues until its deadline at the latest, since the
// underlying HTTP client cannot be interrupted.
package client
