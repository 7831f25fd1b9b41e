package upstream

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"galenaridge/core/attempt"
	"galenaridge/core/dispatch"
	"galenaridge/core/exchange"
	"galenaridge/io/http1"
)

const (
	// maxStray is the number of late answers to earlier requests that are
	// skipped on a reused connection.
	maxStray = 2
	// wholeWrite is the largest request in bytes that is written before the
	// answer is read. A server may answer a longer one before it has read it,
	// and waits for its end afterwards.
	wholeWrite = 8 << 10
)

// trip is one request and its answer on one connection.
type trip struct {
	conn     *conn
	attempt  dispatch.Attempt
	options  PoolOptions
	reused   bool
	evidence *attempt.Evidence
	// spoiled says that the connection must not carry another request.
	spoiled bool
}

// run writes the request and reads its answer.
func (t *trip) run(ctx context.Context) (exchange.Response, *Error) {
	encoded, err := t.encode()
	if err != nil {
		return exchange.Response{}, &Error{Fault: Malformed, cause: err}
	}
	if fault := t.ready(ctx); fault != nil {
		return exchange.Response{}, fault
	}
	if len(encoded) <= wholeWrite {
		if fault := t.write(ctx, encoded); fault != nil {
			return exchange.Response{}, fault
		}
		return t.read(ctx)
	}
	return t.readWhileWriting(ctx, encoded)
}

// ready checks right before the first byte that the request may be sent.
func (t *trip) ready(ctx context.Context) *Error {
	if err := t.conn.socket.SetDeadline(t.attempt.Deadline); err != nil {
		return t.conn.ioFault(ctx, err)
	}
	if ctx.Err() != nil {
		return t.conn.ioFault(ctx, ctx.Err())
	}
	if !t.options.Clock.Now().Before(t.attempt.Deadline) {
		return &Error{Fault: TimedOut}
	}
	if !t.attempt.MayWrite() {
		return &Error{Fault: Denied}
	}
	return nil
}

// write writes the request in one call. Go returns zero bytes from a failed
// write only if the kernel took none.
func (t *trip) write(ctx context.Context, encoded []byte) *Error {
	n, err := t.conn.socket.Write(encoded)
	if n > 0 {
		t.evidence.Written = true
	}
	if err != nil {
		return t.conn.ioFault(ctx, err)
	}
	return nil
}

// readWhileWriting reads the answer while the request is written. An answer that
// comes before the end of the request spoils the connection, since the server
// still expects the rest.
func (t *trip) readWhileWriting(ctx context.Context, encoded []byte) (exchange.Response, *Error) {
	var writing conc.WaitGroup
	written := make(chan int, 1)
	t.evidence.Written = true
	writing.Go(func() {
		n, err := t.conn.socket.Write(encoded)
		if err != nil && n == 0 {
			t.conn.close()
		}
		written <- n
	})
	response, fault := t.read(ctx)
	select {
	case n := <-written:
		t.spoiled = t.spoiled || n < len(encoded)
		if n == 0 {
			t.evidence.Written = false
		}
	default:
		t.spoiled = true
		t.conn.close()
	}
	writing.Wait()
	return response, fault
}

// read reads the answer to this request and skips late ones to earlier requests.
func (t *trip) read(ctx context.Context) (exchange.Response, *Error) {
	decoded := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(decoded)
	for range maxStray + 1 {
		decoded.Reset()
		decoded.SkipBody = t.attempt.Request.Method == fasthttp.MethodHead
		if err := http1.ReadResponse(decoded, t.conn.reader, poolBody, http1.AllowCloseDelimited); err != nil {
			return exchange.Response{}, t.conn.readFault(ctx, err)
		}
		if decoded.ConnectionClose() {
			t.spoiled = true
		}
		statement := t.options.HeaderCodec.ParseResponse(&decoded.Header)
		if statement.RequestID == t.attempt.Request.ID || statement.Declined && statement.RequestID == "" {
			return t.accept(decoded, statement)
		}
		t.spoiled = true
		if !t.reused {
			break
		}
	}
	return exchange.Response{}, &Error{Fault: Malformed, cause: eris.New("the answer is to another request")}
}

// accept takes an answer to this request. Only the answer of the server's
// application is passed on.
func (t *trip) accept(decoded *fasthttp.Response, statement ResponseMetadata) (exchange.Response, *Error) {
	if t.conn.reader.Buffered() > 0 {
		t.spoiled = true
	}
	t.evidence.Load = statement.Load
	switch {
	case statement.Declined:
		t.evidence.Declined = true
		t.evidence.Misdirected = statement.Misdirected
		t.spoiled = t.spoiled || statement.Misdirected
		return exchange.Response{}, &Error{Fault: NotRun, cause: eris.Errorf("status %d", decoded.StatusCode())}
	case !statement.Signed, len(decoded.Header.ContentEncoding()) > 0:
		t.spoiled = true
		return exchange.Response{}, &Error{Fault: Malformed, cause: eris.Errorf("status %d without a signature or with an encoding", decoded.StatusCode())}
	}
	t.evidence.Complete = true
	response := copyResponse(decoded, noHeader)
	response.Server = t.attempt.Server.ID
	return response, nil
}

// encode returns the bytes of the request.
func (t *trip) encode() ([]byte, error) {
	request := &t.attempt.Request
	if !validTarget(request.Method) || !validTarget(request.URI) || !validTarget(request.Host) {
		return nil, errors.New("the method, the URI or the host is not valid")
	}
	left := t.attempt.Deadline.Sub(t.options.Clock.Now())
	b := make([]byte, 0, 512+len(request.Body))
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, fasthttp.HeaderHost, request.Host)
	listed := connectionOptions(request.Headers)
	for _, h := range request.Headers {
		if forwarded(h.Name, listed, t.options.HeaderCodec.IsReserved) {
			b = appendField(b, h.Name, h.Value)
		}
	}
	for _, f := range t.options.HeaderCodec.RequestFields(request.ID, t.attempt.Server.ID, left) {
		b = appendField(b, f.Name, f.Value)
	}
	if len(request.Body) > 0 || !bodiless(request.Method) {
		b = appendField(b, fasthttp.HeaderContentLength, strconv.Itoa(len(request.Body)))
	}
	b = append(b, '\r', '\n')
	return append(b, request.Body...), nil
}

// noHeader keeps all headers of an answer: callers read those of the server.
func noHeader([]byte) bool { return false }

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ':', ' ')
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// connectionOptions returns the values of Connection, which names headers that
// concern one connection.
func connectionOptions(headers []exchange.Header) []string {
	var listed []string
	for _, h := range headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderConnection) {
			listed = append(listed, h.Value)
		}
	}
	return listed
}
