// Package demo runs a deployment on loopback under load, injects a stalled
// server, a killed instance and a planned stop, and checks that no guarantee of
// the fleet is violated.
package demo
