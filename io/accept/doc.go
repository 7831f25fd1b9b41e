// Package accept keeps listening servers alive while connections cannot be accepted, for
// example because the process has no descriptors left.
package accept
