// Package journal writes the log: JSON lines, in which a run of the same
// failure appears once and its end once.
package journal
