// Package daemon holds the common main function of the stand-in programs.
package daemon
