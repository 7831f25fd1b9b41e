// Package control manages the control state of an instance: membership,
// ownership, health, ejection permits and the active configuration.
//
// A single goroutine owns this state. It processes commands from a bounded
// channel and publishes an immutable View through an atomic pointer, which
// traffic goroutines read without a lock. Other goroutines send messages to peers
// and return the replies as commands, so that the control goroutine never waits
// for the network.
package control
