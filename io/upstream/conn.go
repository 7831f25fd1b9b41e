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

// maxKeptBufferBytes is the size of the largest request buffer that a connection
// keeps between requests.
const maxKeptBufferBytes = 64 << 10

// conn is a connection to a server that carries one request at a time.
type conn struct {
	socket net.Conn
	// rawConn gives access to the file descriptor of the socket; nil if it has none.
	rawConn syscall.RawConn
	reader  *bufio.Reader
	// firstReadErr is the first read error of the socket. It is kept because fasthttp
	// wraps some errors in a way that hides them from errors.Is.
	firstReadErr  error
	budget        readBudget
	requestBuffer []byte
	isClosed      atomic.Bool
	// onClose is called once when the connection is closed; nil if nothing is to be done.
	onClose func()
}

func newConn(socket net.Conn, maxHeaderBytes int) *conn {
	c := &conn{socket: socket}
	c.budget.reset()
	if described, ok := socket.(syscall.Conn); ok {
		c.rawConn, _ = described.SyscallConn()
	}
	c.reader = bufio.NewReaderSize(c, maxHeaderBytes)
	return c
}

// dialOptions are the parameters of dialConn.
type dialOptions struct {
	clock   fleet.Clock
	address fleet.Address
	// timeout bounds the time to open the connection. deadline is the deadline of the
	// attempt.
	timeout  time.Duration
	deadline time.Time
	// maxHeaderBytes is the size of the largest response header.
	maxHeaderBytes int
	dialer         net.Dialer
}

// dialConn opens a connection. It fails at the deadline of the attempt or when the
// timeout ends, whichever comes first.
func dialConn(ctx context.Context, o dialOptions) (*conn, *Error) {
	now := o.clock.Now()
	o.dialer.Deadline = fleet.Earlier(now.Add(o.timeout), o.deadline)
	if !now.Before(o.deadline) {
		return nil, &Error{Fault: TimedOut}
	}
	socket, err := o.dialer.DialContext(ctx, "tcp", string(o.address))
	switch {
	case err == nil:
		return newConn(socket, o.maxHeaderBytes), nil
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, &Error{Fault: Canceled, cause: err}
	case !o.clock.Now().Before(o.deadline), ctx.Err() != nil:
		return nil, &Error{Fault: TimedOut, cause: err}
	default:
		return nil, &Error{Fault: Unreachable, cause: err}
	}
}

// Read reads from the socket and records its first error. It fails when the bytes of a
// response exceed the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.socket.Read(p)
	if budgetErr := c.budget.use(n); budgetErr != nil {
		n, err = 0, budgetErr
	}
	if err != nil && c.firstReadErr == nil {
		c.firstReadErr = err
	}
	return n, err
}

// close closes the connection. It may be called more than once, and while the
// connection is in use.
func (c *conn) close() {
	if c.isClosed.CompareAndSwap(false, true) {
		_ = c.socket.Close()
		if c.onClose != nil {
			c.onClose()
		}
	}
}

func (c *conn) closed() bool { return c.isClosed.Load() }

// isReusable reports whether the idle connection is open and has nothing to read:
// neither the end of the stream nor bytes that belong to no response.
func (c *conn) isReusable() bool {
	if c.closed() || c.reader.Buffered() > 0 {
		return false
	}
	if err := c.socket.SetDeadline(time.Time{}); err != nil {
		return false
	}
	if c.rawConn == nil {
		return false
	}
	empty := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		// Returning true ends the call without waiting for data.
		return true
	})
	return err == nil && empty
}

// roundTrip writes the request of the attempt and reads the whole response.
// After an error the connection must be closed.
func (c *conn) roundTrip(ctx context.Context, attempt Attempt, options Options, evidence *Evidence) (exchange.Response, *Error) {
	var none exchange.Response
	if err := c.writeRequest(ctx, attempt, options, evidence); err != nil {
		return none, err
	}
	decoded := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(decoded)
	decoded.SkipBody = attempt.Request.Method == fasthttp.MethodHead
	defer c.budget.reset()
	c.budget.allowBody(options.MaxBodyBytes)
	if err := http1.ReadResponse(decoded, c.reader, options.MaxBodyBytes, http1.SelfDelimited, &c.budget); err != nil {
		return none, c.responseError(ctx, err)
	}
	if decoded.ConnectionClose() || c.reader.Buffered() > 0 {
		c.close()
	}
	evidence.Progress = Complete
	evidence.Draining, evidence.Load, evidence.LoadKnown = parseServerStatus(&decoded.Header)
	return copyResponse(decoded, isProtocolHeader), nil
}

// writeRequest checks the permission and writes the request with one call of Write. A
// failed write returns zero bytes only if the kernel accepted none.
func (c *conn) writeRequest(ctx context.Context, attempt Attempt, options Options, evidence *Evidence) *Error {
	encoded, err := appendRequest(c.requestBuffer[:0], attempt)
	if err != nil {
		return &Error{Fault: Malformed, cause: err}
	}
	if cap(encoded) <= maxKeptBufferBytes {
		c.requestBuffer = encoded
	}
	if err := c.socket.SetDeadline(attempt.Deadline); err != nil {
		return c.socketError(ctx, err)
	}
	if ctx.Err() != nil {
		return c.socketError(ctx, ctx.Err())
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
		return c.socketError(ctx, err)
	}
	return nil
}

// socketError converts an error of the socket: to TimedOut after the deadline, to
// Canceled after the context was canceled, and to Broken otherwise.
func (c *conn) socketError(ctx context.Context, err error) *Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return &Error{Fault: TimedOut, cause: err}
	case ctx.Err() != nil:
		return &Error{Fault: Canceled, cause: err}
	default:
		return &Error{Fault: Broken, cause: err}
	}
}

// responseError converts an error of reading a response. A socket error takes
// precedence over an error of the message.
func (c *conn) responseError(ctx context.Context, err error) *Error {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errMemory):
		return &Error{Fault: NoMemory, cause: err}
	case errors.Is(c.firstReadErr, errEndless):
		return &Error{Fault: Oversized, cause: c.firstReadErr}
	case c.firstReadErr != nil:
		return c.socketError(ctx, c.firstReadErr)
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &smallBuffer):
		return &Error{Fault: Oversized, cause: err}
	default:
		return &Error{Fault: Malformed, cause: eris.Wrap(err, "reading the response")}
	}
}
