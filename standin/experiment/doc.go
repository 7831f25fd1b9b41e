// Package experiment runs a deployment on loopback with the load and the faults
// that a YAML file describes, and reports the results that callers received,
// the work that servers counted and the condition changes that instances
// logged.
//
// Decode reads and validates a file; each problem in it is reported on one line
// with its position. Run starts the fleet, sends the load, injects each fault
// at its offset from the start of the load, and returns a Report. Report.Write
// writes the report as JSON with a plot.
package experiment
