// Package exchange defines a request and its response as decisions see them,
// independent of the protocol that carries them.
package exchange
