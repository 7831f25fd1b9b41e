// Package client sends requests of a caller to a fleet of galenaridge.
//
// A client asks any of its entry addresses for an assignment: up to three
// addresses in order of preference, and a token for protected requests. It
// keeps the assignment for the stated time, renews it in the background
// before it ends, and asks again when an instance says that it is leaving or
// refuses connections.
//
// Do says in its Result what is known about the execution of the request. The
// client sends a request again only in two cases: when the connection to an
// address was refused, so that nothing was sent, and when Request.Resend
// allows it for a request of unknown outcome. A protected request always
// keeps its key. It keeps its token too once anything may have been sent.
//
// A context that is canceled ends Do at once with an unknown outcome; the
// exchange itself ends at its deadline at the latest, since the underlying
// HTTP client cannot be interrupted.
package client
