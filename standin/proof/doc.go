// Package proof checks the invariants of the design on a fleet of real
// processes under faults.
//
// Each proof starts a deployment from its example answers, runs a load with
// package bench beside a script of faults, and reads what instances and
// servers counted. Its verdict compares these counts with targets that follow
// from the invariants. A proof that could not bring about its fault fails, so
// that it never passes on an undisturbed fleet.
//
// The seed of the options sets the schedule of the load, the callers' choices
// and the script of faults. Timing of processes is not repeatable.
package proof
