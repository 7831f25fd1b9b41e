// Package observe reads how the instances of a fleet behave: their logs, the
// samples of their states, their metrics and the resource usage of their
// processes.
package observe
