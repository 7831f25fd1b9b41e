// Package traffic is the request path: it finds the instance that may start a
// protected request, chooses an owner of server slots, waits for a slot, sends
// the request and decides on retries.
//
// Its functions run on the goroutines of callers and peers. They read the view
// that the control goroutine published and never wait for that goroutine.
package traffic
