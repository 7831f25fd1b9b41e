// Package operator serves the read-only HTTP endpoints for operators: health,
// metrics and the state of the instance as JSON. It makes no decisions.
package operator
