// Package route finds the route and the service of a request.
//
// Model: a Document is one version of the operator's configuration. State adopts
// documents with increasing versions and never goes back to a lower one. A Table is
// the immutable index of the active document.
package route
