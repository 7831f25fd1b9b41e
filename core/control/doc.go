// Package control runs the control state of an instance: membership,
// ownership, health, ejection permits and the configuration in force.
//
// One goroutine owns all of it. It takes commands from a bounded channel and
// publishes an immutable View through an atomic pointer, which traffic
// goroutines read without a lock. Messages to peers are sent by goroutines of
// their own, whose replies come back as commands, so that the control goroutine
// never waits for the network.
package control
