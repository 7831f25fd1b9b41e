// Package link simulates the network links between failure domains. It runs
// many TCP proxies in one process, built on the toxiproxy library. Delay,
// jitter, stalls and cuts of each proxy can be changed while it runs.
//
// Each link has a custom toxic in each direction. The toxics of the library
// measure delay in whole milliseconds and can drop bytes from the middle of a
// stream, which no TCP path does. The custom toxic holds the bytes during a cut
// and delivers them when the cut ends, as TCP retransmits lost packets. It holds
// the end of a connection in the same way.
//
// Two differences from a real path remain. A cut link accepts new connections
// immediately and then holds their data, where a real connection would block
// before it is established. If the target refuses connections, the link accepts
// each connection and then closes it. To refuse connections as the target does,
// set Refuse when the target stops: the link then closes its listener.
//
// Reset closes all connections of a link and then listens again. The library
// does not expose its connections, so the kernel decides whether an end sees a
// regular close or a TCP reset.
package link
