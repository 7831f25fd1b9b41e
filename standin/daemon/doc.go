// Package daemon starts and stops the programs of stand-ins.
package daemon
