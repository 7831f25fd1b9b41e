// Package proof checks the invariants of the design on a fleet of real
// processes under faults.
//
// Each proof starts a deployment from its example answers, runs a load with
// package bench while a script injects faults, and reads the counters of
// instances and servers. Its verdict compares these counters with targets that
// follow from the invariants. A proof whose faults did not occur fails, so that
// it never passes on an undisturbed fleet.
//
// The seed in the options sets the schedule of the load, the random choices of
// the callers and the script of faults. The timing of the processes is not
// repeatable.
package proof
