package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

// keptBuffer is the largest request buffer in bytes that a connection keeps
// between requests.
const keptBuffer = 64 << 10

// conn is a connection to a server that carries one request at a time.
type conn struct {
	socket net.Conn
	// raw gives access to the descriptor of the socket; nil if it has none.
	raw    syscall.RawConn
	reader *bufio.Reader
	// readErr is the first error of the socket while reading. fasthttp wraps
	// some errors so that errors.Is cannot find them.
	readErr error
	buffer  []byte
	ended   atomic.Bool
}

func newConn(socket net.Conn, header int) *conn {
	c := &conn{socket: socket}
	if described, ok := socket.(syscall.Conn); ok {
		c.raw, _ = described.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(c, header)
	return c
}

// opening says how a connection is opened.
type opening struct {
	clock   fleet.Clock
	address fleet.Address
	// within bounds the opening, deadline is that of the attempt.
	within   time.Duration
	deadline time.Time
	// header is the largest header of an answer in bytes.
	header int
	dialer net.Dialer
}

// open opens a connection before the deadline and the limit for connecting.
func open(ctx context.Context, o opening) (*conn, *Error) {
	now := o.clock.Now()
	o.dialer.Deadline = fleet.Earlier(now.Add(o.within), o.deadline)
	if !now.Before(o.deadline) {
		return nil, &Error{Fault: TimedOut}
	}
	socket, err := o.dialer.DialContext(ctx, "tcp", string(o.address))
	switch {
	case err == nil:
		return newConn(socket, o.header), nil
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, &Error{Fault: Canceled, cause: err}
	case !o.clock.Now().Before(o.deadline), ctx.Err() != nil:
		return nil, &Error{Fault: TimedOut, cause: err}
	default:
		return nil, &Error{Fault: Unreachable, cause: err}
	}
}

// Read reads from the socket and keeps its first error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if err != nil && c.readErr == nil {
		c.readErr = err
	}
	return n, err
}

// close closes the connection; it may be called more than once and while the
// connection is in use.
func (c *conn) close() {
	if c.ended.CompareAndSwap(false, true) {
		_ = c.socket.Close()
	}
}

func (c *conn) closed() bool { return c.ended.Load() }

// quiet reports whether the idle connection is open and nothing has arrived
// on it: neither the end of the stream nor bytes that answer no request.
func (c *conn) quiet() bool {
	if c.closed() || c.reader.Buffered() > 0 {
		return false
	}
	if err := c.socket.SetDeadline(time.Time{}); err != nil {
		return false
	}
	if c.raw == nil {
		return false
	}
	silent := false
	err := c.raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		// True ends the call without a wait for data.
		return true
	})
	return err == nil && silent
}

// roundTrip writes the request of the attempt and reads the whole response.
// After an error the connection must be closed.
func (c *conn) roundTrip(ctx context.Context, attempt Attempt, options Options, evidence *Evidence) (exchange.Response, *Error) {
	var none exchange.Response
	if err := c.write(ctx, attempt, options, evidence); err != nil {
		return none, err
	}
	decoded := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(decoded)
	decoded.SkipBody = attempt.Request.Method == fasthttp.MethodHead
	if err := http1.ReadResponse(decoded, c.reader, options.MaxBodyBytes, http1.SelfDelimited); err != nil {
		return none, c.readFault(ctx, err)
	}
	if decoded.ConnectionClose() || c.reader.Buffered() > 0 {
		c.close()
	}
	evidence.Progress = Complete
	evidence.Draining, evidence.Load, evidence.LoadKnown = signals(&decoded.Header)
	return copyResponse(decoded, ownHeader), nil
}

// write asks for the permission and writes the request in one call. Go
// returns zero bytes from a failed write only if the kernel took none.
func (c *conn) write(ctx context.Context, attempt Attempt, options Options, evidence *Evidence) *Error {
	encoded, err := appendRequest(c.buffer[:0], attempt)
	if err != nil {
		return &Error{Fault: Malformed, cause: err}
	}
	if cap(encoded) <= keptBuffer {
		c.buffer = encoded
	}
	if err := c.socket.SetDeadline(attempt.Deadline); err != nil {
		return c.ioFault(ctx, err)
	}
	if ctx.Err() != nil {
		return c.ioFault(ctx, ctx.Err())
	}
	if !options.Clock.Now().Before(attempt.Deadline) {
		return &Error{Fault: TimedOut}
	}
	if attempt.Permission == nil || !attempt.Permission.MayWrite() {
		return &Error{Fault: Denied}
	}
	n, err := c.socket.Write(encoded)
	if n > 0 {
		evidence.Progress = Written
	}
	if err != nil {
		return c.ioFault(ctx, err)
	}
	return nil
}

// ioFault returns the error that stands for an error of the socket.
func (c *conn) ioFault(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return &Error{Fault: TimedOut, cause: err}
	case ctx.Err() != nil:
		return &Error{Fault: Canceled, cause: err}
	default:
		return &Error{Fault: Broken, cause: err}
	}
}

// readFault returns the error that stands for a failure to read a response:
// that of the socket if it failed, and that of the message otherwise.
func (c *conn) readFault(ctx context.Context, err error) *Error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case c.readErr != nil:
		return c.ioFault(ctx, c.readErr)
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &small):
		return &Error{Fault: Oversized, cause: err}
	default:
		return &Error{Fault: Malformed, cause: eris.Wrap(err, "reading the response")}
	}
}
