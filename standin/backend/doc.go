// Package backend simulates a server of the machine platform for tests. It signs
// its responses, rejects requests for another instance, and on request stalls,
// sheds requests, returns errors or sends malformed responses.
package backend
