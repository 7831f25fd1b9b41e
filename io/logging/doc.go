// Package logging writes the log: JSON lines, in which a run of the same
// failure appears once and its end once.
package logging
