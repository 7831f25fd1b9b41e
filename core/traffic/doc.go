// Package traffic carries requests: it finds who may start a protected
// request, picks an owner of slots, waits for a slot, sends, and decides on
// retries.
//
// Its functions run on the goroutines of callers and peers. They read the view
// that the control goroutine published and never wait for that goroutine.
package traffic
