// Package follow keeps a copy of what the platform's store says.
//
// Model: a Follower reads a complete listing and then waits for changes, each
// wait bounded so that its end confirms that nothing was missed. When the store
// has dropped its history, or answers were lost, it reads a complete listing
// again. While the store does not answer it takes listings from peers that can
// reach it.
package follow
