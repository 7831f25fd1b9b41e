// Package experiment runs a deployment on loopback with load and faults that a
// YAML file describes, and reports what callers and servers saw.
//
// Decode reads and checks a file; a mistake is one line with its place. Run
// starts the fleet, sends the load, brings about the faults at their times
// after the start of the load, and returns a Report. Report.Write writes it as
// JSON with a plot.
package experiment
