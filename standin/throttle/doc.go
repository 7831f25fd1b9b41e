// Package throttle limits the bandwidth at which a listener sends, as the network link
// of a small machine does.
package throttle
