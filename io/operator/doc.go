// Package operator is the read-only HTTP port for operators: health, metrics
// and the state of the instance as JSON. It decides nothing.
package operator
