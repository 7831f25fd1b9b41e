// Package caller holds callers that break the rules of package client: they
// repeat protected requests at other instances, or keep assignments that they
// were asked to give up. They note what they were told, to be compared with
// what the servers ran.
package caller
