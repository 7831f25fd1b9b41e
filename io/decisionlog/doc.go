// Package decisionlog defines the log lines that explain what an instance decided,
// and writes them without ever blocking who decided.
//
// Each line is one JSON object. Failed and unusual requests are always written,
// up to a limit a second; of the others one in a fixed number is. Lines beyond
// the limit or that a slow reader leaves no room for are counted, and the count
// is written in a line of its own.
package decisionlog
