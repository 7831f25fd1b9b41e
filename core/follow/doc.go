// Package follow keeps a copy of what the platform's store says.
//
// Model: a Follower reads a complete listing and then waits for changes, each
// wait bounded so that its end confirms that nothing was missed. When the store
// has dropped its history, or answers were lost, it reads a complete listing
// again. A Copier fetches the copies of peers, for instances that do not read
// the store or cannot reach it.
package follow
