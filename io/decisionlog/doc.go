// Package decisionlog defines the log lines that explain the decisions of an
// instance, writes them without ever blocking the deciding goroutine, and selects
// the lines that belong to one request.
//
// Each line is one JSON object. Failed and otherwise unusual requests are always
// logged, up to a limit per second; of the other requests one in a fixed number is
// logged. Lines are dropped beyond the limit and when the queue to a slow output
// is full. The dropped lines are counted, and the count is logged in a line of its
// own.
package decisionlog
