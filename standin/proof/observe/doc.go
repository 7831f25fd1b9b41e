// Package observe reads what instances say about themselves: their logs, the
// samples of their states, their metrics and the usage of their processes.
package observe
