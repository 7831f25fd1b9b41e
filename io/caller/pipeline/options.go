package pipeline

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
)

// Handler answers requests. The context ends when the caller goes away.
type Handler interface {
	Serve(ctx context.Context, request exchange.Request) exchange.Response
}

// HeaderParser reads the header fields that callers set for the instance.
type HeaderParser interface {
	// ParseRequest returns the id of a request and how long its caller waits. An
	// error is a mistake of the caller.
	ParseRequest(header *fasthttp.RequestHeader) (exchange.RequestID, time.Duration, error)
}

// Policy gives the limits in force.
type Policy interface {
	Limits() Limits
	// Stopping reports whether connections should end after their answers.
	Stopping() bool
}

// Limits bounds what a caller may send.
type Limits struct {
	// MaxHeaderBytes and Body are sizes in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the arrival of a header, Idle the wait for a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options configure a Server.
type Options struct {
	Clock        fleet.Clock
	Handler      Handler
	HeaderParser HeaderParser
	Policy       Policy
	Log          logrus.FieldLogger
}

const (
	// maxPending is the number of requests of one connection that wait for their
	// answers. Beyond it the connection is not read.
	maxPending = 32
	// bodyWait bounds the arrival of a body after its header.
	bodyWait = 10 * time.Second
	// writeWait bounds the writing of one answer; a caller that does not read
	// must not keep its memory for longer.
	writeWait = 10 * time.Second
	// maxHeader is the size of the read buffer and so the largest header, in
	// bytes, while the configuration sets no limit.
	maxHeader = 16 << 10
	// maxBody is the largest body in bytes while the configuration sets no limit.
	maxBody = 1 << 20
	// defaultHeaderWait and defaultIdle apply while no configuration is in force.
	defaultHeaderWait = 5 * time.Second
	defaultIdle       = 15 * time.Second
	// lingerWait is how long a connection that ends with an error answer is read
	// on, since closing it with unread bytes would reset it and take the answer
	// along.
	lingerWait = 500 * time.Millisecond
	// lingerBytes bounds what is read in that time.
	lingerBytes = 1 << 20
)

// withDefaults returns the limits with defaults in place of zero numbers.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = maxHeader
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = maxBody
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderWait
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	return l
}
