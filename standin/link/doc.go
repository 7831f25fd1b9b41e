// Package link is a stand-in for the links between failure domains: many TCP
// proxies in one process, built on the toxiproxy library, whose delay, jitter,
// pauses and cuts an operator sets while they run.
//
// Each link has one toxic of our own in each direction. The toxics of the
// library count delay in whole milliseconds and drop bytes out of the middle
// of a stream, which no TCP path does. Here a cut holds the bytes, as TCP
// retransmits what was lost, and passes them on when the cut ends. The end of
// a connection is held in the same way.
//
// Two differences from a real path remain. A connection through a cut link is
// accepted at once and then hangs, where a real one would hang before it is
// established. A connection to a target that refuses is accepted and then
// closed; a link with Refuse set closes its listener, so that whoever stops a
// target can make the link refuse as the target would.
//
// Reset closes all connections of a link and listens again. The library keeps
// the connections to itself, so the ends see a close or a reset as the kernel
// chooses.
package link
