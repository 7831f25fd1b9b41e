// Package harness starts a whole deployment as real processes on loopback for
// the demo, the proofs and the integration tests: instances of galenaridge,
// servers, the platform and the links between failure domains.
//
// Deployment says what runs. Open starts it and returns a Fleet, whose
// commands stop, pause, cut and break parts of it and whose queries read what
// the parts report. Close ends every process that it started, by its id; so
// does the end of the context. The kernel ends the processes if the process
// that uses the package dies.
//
// Instances run in slots with the names i1, i2 and so on. A slot keeps its
// addresses when its process is restarted or replaced by one with a new id, so
// that links and settings of other instances stay right.
//
// Traffic between failure domains passes a link. An instance finds the links
// in its settings under via, which maps the address of the other side to the
// address to dial. With LinksPerInstance each instance has links of its own, also
// within a failure domain, so that a cut can have an instance at either end.
//
// The platform's list drops an instance that is killed or stopped at once;
// the lag of the list delays this for readers. It does not change when an
// instance is paused or cut off. When a process is down its links refuse
// connections, as its own address does.
package harness
