// Package backend is a stand-in for a server of the machine platform. It answers
// requests with a signature, checks that it is meant, and can be told to stall,
// shed, err, or spoil its answers.
package backend
