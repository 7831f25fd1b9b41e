package pipeline

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"galenaridge/core/customer"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/memory"
)

// Handler handles requests. The context ends when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, request exchange.Request) exchange.Response
}

// HeaderParser parses the header fields that callers set for the instance.
type HeaderParser interface {
	// ParseRequest returns what the fields of a request say. An error is reported to the
	// caller as a bad request; it must not contain a key.
	ParseRequest(header *fasthttp.RequestHeader) (CallerFields, error)
}

// CallerFields are the values of the header fields that a caller sets for the instance.
type CallerFields struct {
	ID exchange.RequestID
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Credential is the hash of the caller's key; zero if it sent none.
	Credential customer.KeyHash
}

// Policy provides the active limits.
type Policy interface {
	Limits() Limits
	// Stopping reports whether connections should end after the responses to their
	// open requests.
	Stopping() bool
}

// Limits bounds the requests of callers; zero values select the defaults.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the header and the body of one request.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time to receive a header, IdleTimeout the wait for the
	// next request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options configures a Server.
type Options struct {
	Clock        fleet.Clock
	Handler      Handler
	HeaderParser HeaderParser
	Policy       Policy
	Log          logrus.FieldLogger
	// Memory bounds what callers can make the process hold. If it is nil, the server has a
	// budget of its own.
	Memory *memory.Budget
	// BodyMemory bounds the bytes of all request bodies in progress of a budget of its own;
	// 16 MiB by default.
	BodyMemory int
	// MaxConns is the largest number of connections that are served; zero if it is not
	// limited.
	MaxConns int
	// MinRate is the lowest rate at which callers must send bodies and read responses;
	// 16,000 bytes a second by default.
	MinRate fleet.Bandwidth
}

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	if o.BodyMemory <= 0 {
		o.BodyMemory = defaultBodyMemory
	}
	if o.Memory == nil {
		o.Memory = memory.NewBudget(memory.Options{LimitBytes: o.BodyMemory + ownReserveBytes, ReserveBytes: ownReserveBytes})
	}
	if o.MinRate <= 0 {
		o.MinRate = defaultMinRate
	}
	return o
}

const (
	// maxPending is the number of requests of one connection whose responses may be
	// pending. No further request is read while it is reached.
	maxPending = 32
	// transferGrace is how long a body or a response may be transferred at any rate.
	transferGrace = 10 * time.Second
	// defaultMinRate applies if the options set no rate. On a link of 10 Mbit/s, 78 callers
	// that share it evenly are above it.
	defaultMinRate fleet.Bandwidth = 16_000
	// bodyStallTimeout bounds the time without a byte of a body. TCP sends a lost packet
	// again after 1 s, and then after 2 s more.
	bodyStallTimeout = 4 * time.Second
	// evictableStall is the time without progress after which a connection may be closed
	// if memory or descriptors run out. It allows for one lost packet.
	evictableStall = 1500 * time.Millisecond
	// silentTime is how long a new connection without a byte of a request stays open if
	// descriptors run out.
	silentTime = time.Second
	// progressBytes is how many bytes count as progress: a caller that reads or sends a few
	// bytes now and then makes none.
	progressBytes = 16 << 10
	// connBytes is the memory of a connection without a request, readBufferBytes what it
	// needs more while it sends one.
	connBytes       = 12 << 10
	readBufferBytes = defaultMaxHeaderBytes + 4<<10
	// requestBytes is the memory of a request in progress beside its header and body.
	requestBytes = 4 << 10
	// maxPendingBytes is the size of the responses that wait for one caller above which no
	// further request is read from it.
	maxPendingBytes = 1 << 20
	// memoryWait is how long a connection waits for room for its read buffer, and
	// bodyMemoryWait how long a chunked body waits for room for its next part.
	memoryWait     = time.Second
	bodyMemoryWait = 200 * time.Millisecond
	// refusalConns is the number of connections above the limit of connections that get a
	// refusal. Others are closed at once.
	refusalConns = 32
	// refusalWait is how long such a connection may take to send a request.
	refusalWait = time.Second
	// ownReserveBytes is the reserve of a budget of its own.
	ownReserveBytes = 8 << 20
	// defaultBodyMemory applies if the options set no limit.
	defaultBodyMemory = 16 << 20
	// memoryRetryAfter is the retry delay sent to a caller whose body finds no room.
	memoryRetryAfter = 200 * time.Millisecond
	// maxJoinedBytes is the size of the largest body that is copied behind its head, to be
	// written with one call. pieceBytes is how much of a larger one is written at a time.
	maxJoinedBytes = 16 << 10
	pieceBytes     = 64 << 10
	// defaultMaxHeaderBytes is the size of the read buffer, and so of the largest
	// header if the configuration sets no limit.
	defaultMaxHeaderBytes = 16 << 10
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// defaultHeaderTimeout and defaultIdleTimeout apply while no configuration is
	// active.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// lingerTimeout is how long input is still read after the last response of a
	// connection. Closing the connection with unread bytes would reset it, and the
	// caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes bounds the input that is read after the last request.
	maxLingerBytes = 1 << 20
)

// withDefaults returns the limits with zero numbers replaced by the defaults.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
