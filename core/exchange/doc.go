// Package exchange defines requests and responses independently of the protocol that
// carries them.
package exchange
