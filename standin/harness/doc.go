// Package harness starts a whole deployment as separate processes on loopback
// for the demo, the proofs and the integration tests: instances of galenaridge,
// and stand-ins for the servers, the platform and the links between failure
// domains.
//
// Deployment describes the processes and links. Open starts them and returns a
// Fleet. Its commands inject faults: they stop or pause processes and cut
// links. Its queries read the state and counters of the processes. Close, or
// the end of the context, kills each started process by its process ID. If the
// process that uses this package dies, the kernel kills the child processes.
//
// Instances run in slots named i1, i2 and so on. A slot keeps its addresses
// when its process is restarted or replaced by a process with a new instance
// id, so that links and the settings of other instances remain valid.
//
// Traffic between failure domains passes through a link. The setting "via" of
// an instance maps the address of each remote process to the listen address of
// the link to dial instead. With LinksPerInstance, each instance has its own
// links, also within a failure domain, so that a single instance can be cut
// off.
//
// The platform removes a killed or stopped instance from its listing
// immediately, but readers see the change after the list lag. Pausing an
// instance or cutting its links does not change the listing. While a process is
// down, its links refuse connections, as its own address does.
package harness
