// Package route finds the route and the service of a request.
//
// Model: a Document is one version of the operator's configuration. State
// adopts documents whose version rises and never goes back. A Table is the
// immutable index of the document in force.
package route
