// Package logline reads the log lines of instances that measurements and
// experiments need.
package logline
