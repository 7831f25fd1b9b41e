// Package logline parses the log files of instances for measurements and
// experiments.
package logline
