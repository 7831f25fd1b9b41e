package upstream

import (
	"context"
	"errors"
	"os"
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
	// maxLateResponses is the maximum number of late responses to earlier requests
	// that are skipped on a reused connection.
	maxLateResponses = 2
	// maxSkippedBodyBytes is the largest body of a refusal or of a late response.
	maxSkippedBodyBytes = 1 << 20
	// maxSyncWriteBytes is the size of the largest request that is written completely
	// before the response is read. A server may respond to a longer request before it
	// has read all of it, and then waits for the rest.
	maxSyncWriteBytes = 8 << 10
)

// roundTrip sends one request and reads its response on one connection.
type roundTrip struct {
	conn     *conn
	attempt  dispatch.Attempt
	options  PoolOptions
	reused   bool
	evidence *attempt.Evidence
	// endedByConn is set if the body of the response ended with the connection.
	endedByConn bool
	// mustClose is set if the connection must not be used for another request.
	mustClose bool
}

// run writes the request and reads its response.
func (t *roundTrip) run(ctx context.Context) (exchange.Response, *Error) {
	head, err := t.encodeHead()
	if err != nil {
		return exchange.Response{}, &Error{Fault: Malformed, cause: err}
	}
	if fault := t.checkMayWrite(ctx); fault != nil {
		return exchange.Response{}, fault
	}
	if body := t.attempt.Request.Body; len(head)+len(body) > maxSyncWriteBytes {
		return t.readWhileWriting(ctx, head, body)
	}
	if fault := t.writeRequest(ctx, append(head, t.attempt.Request.Body...)); fault != nil {
		return exchange.Response{}, fault
	}
	return t.readResponse(ctx)
}

// checkMayWrite checks, right before the first byte is written, that the request may
// be sent. It also sets the deadline of the socket.
func (t *roundTrip) checkMayWrite(ctx context.Context) *Error {
	if err := t.conn.socket.SetDeadline(t.attempt.Deadline); err != nil {
		return t.conn.socketError(ctx, err)
	}
	if ctx.Err() != nil {
		return t.conn.socketError(ctx, ctx.Err())
	}
	if !t.options.Clock.Now().Before(t.attempt.Deadline) {
		return &Error{Fault: TimedOut}
	}
	if !t.attempt.MayWrite() {
		return &Error{Fault: Denied}
	}
	return nil
}

// writeRequest writes the request with one call of Write. A failed write returns zero
// bytes only if the kernel accepted none.
func (t *roundTrip) writeRequest(ctx context.Context, encoded []byte) *Error {
	n, err := t.conn.socket.Write(encoded)
	if n > 0 {
		t.evidence.Written = true
	}
	if err != nil {
		return t.conn.socketError(ctx, err)
	}
	return nil
}

// readWhileWriting reads the response while the request is written. If the response
// is received before the whole request is written, the connection must be closed,
// since the server still expects the rest. The body is not copied: it may be large.
func (t *roundTrip) readWhileWriting(ctx context.Context, head, body []byte) (exchange.Response, *Error) {
	var writing conc.WaitGroup
	results := make(chan writeResult, 1)
	t.evidence.Written = true
	writing.Go(func() {
		n, err := t.conn.socket.Write(head)
		if err == nil {
			var bodyBytes int
			bodyBytes, err = t.conn.socket.Write(body)
			n += bodyBytes
		}
		if err != nil && n == 0 {
			t.conn.close()
		}
		results <- writeResult{bytes: n, err: err}
	})
	response, fault := t.readResponse(ctx)
	if fault == nil && t.endedByConn {
		// Ends a write that waits for the server to read.
		_ = t.conn.socket.SetWriteDeadline(t.options.Clock.Now())
		writing.Wait()
	}
	select {
	case r := <-results:
		t.mustClose = t.mustClose || r.bytes < len(head)+len(body)
		if r.bytes == 0 {
			t.evidence.Written = false
		}
		if fault == nil && t.endedByConn && r.failed() {
			return t.discardResponse(ctx, r.err)
		}
	default:
		t.mustClose = true
		t.conn.close()
	}
	writing.Wait()
	return response, fault
}

// writeResult is the end of writing a request.
type writeResult struct {
	bytes int
	err   error
}

// failed reports whether the connection failed while the request was written. A write that
// the instance ended itself has not failed.
func (r writeResult) failed() bool {
	return r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded)
}

// discardResponse returns the error for a response whose body ended with the connection while
// the request was being written, if the write failed. The kernel reports a reset once, to the
// write or to the read. If the write gets it, the read ends as if the server had closed the
// connection in order, so the body may be cut off.
func (t *roundTrip) discardResponse(ctx context.Context, err error) (exchange.Response, *Error) {
	t.evidence.Complete = false
	return exchange.Response{}, t.conn.socketError(ctx, eris.Wrap(err, "writing the request while the response ended with the connection"))
}

// readResponse reads the response to this request and skips late responses to earlier
// requests.
func (t *roundTrip) readResponse(ctx context.Context) (exchange.Response, *Error) {
	decoded := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(decoded)
	for range maxLateResponses + 1 {
		decoded.Reset()
		decoded.SkipBody = t.attempt.Request.Method == fasthttp.MethodHead
		t.conn.budget.reset()
		if err := http1.ReadHeader(decoded, t.conn.reader); err != nil {
			return exchange.Response{}, t.conn.responseError(ctx, err)
		}
		if decoded.ConnectionClose() {
			t.mustClose = true
		}
		metadata := t.options.HeaderCodec.ParseResponse(&decoded.Header)
		accepted, err := t.checkHeader(decoded, metadata)
		if err != nil {
			return exchange.Response{}, err
		}
		maxBodyBytes := maxSkippedBodyBytes
		if accepted && !metadata.Declined {
			maxBodyBytes = poolMaxBodyBytes
		}
		t.conn.budget.allowBody(maxBodyBytes)
		t.conn.budget.deadline = t.attempt.Deadline
		if err := http1.ReadBody(decoded, t.conn.reader, maxBodyBytes, http1.AllowCloseDelimited, &t.conn.budget); err != nil {
			return exchange.Response{}, t.conn.responseError(ctx, err)
		}
		if accepted {
			t.endedByConn = http1.EndsWithConnection(decoded)
			return t.acceptResponse(decoded, metadata)
		}
	}
	return exchange.Response{}, errOtherRequest()
}

func errOtherRequest() *Error {
	return &Error{Fault: Malformed, cause: eris.New("the response belongs to another request")}
}

// checkHeader reports whether a response belongs to this request. It returns an error if
// the body need not be read, because the response is not one of the server's application
// or cannot be a late response to an earlier request.
func (t *roundTrip) checkHeader(decoded *fasthttp.Response, metadata ResponseMetadata) (accepted bool, _ *Error) {
	// A refusal without an id may be an earlier one that the server sent once more, unless
	// it is the first response on the connection.
	refused := metadata.Declined && metadata.RequestID == "" && !t.reused
	switch {
	case metadata.RequestID != t.attempt.Request.ID && !refused:
		t.mustClose = true
		if !t.reused {
			return false, errOtherRequest()
		}
		return false, nil
	case !metadata.Declined && (!metadata.Signed || len(decoded.Header.ContentEncoding()) > 0):
		t.mustClose = true
		return false, &Error{Fault: Malformed, cause: eris.Errorf("status %d without a signature or with an encoding", decoded.StatusCode())}
	default:
		return true, nil
	}
}

// acceptResponse converts a response to this request and sets the evidence. Only
// responses of the server's application are returned; other responses are errors.
func (t *roundTrip) acceptResponse(decoded *fasthttp.Response, metadata ResponseMetadata) (exchange.Response, *Error) {
	if t.conn.reader.Buffered() > 0 {
		t.mustClose = true
	}
	t.evidence.Load = metadata.Load
	if !metadata.Misdirected {
		t.evidence.Draining = metadata.Leaving
		t.evidence.RetryAfter = metadata.RetryAfter
		t.mustClose = t.mustClose || metadata.Leaving
	}
	if metadata.Declined {
		t.evidence.Declined = true
		t.evidence.Misdirected = metadata.Misdirected
		t.mustClose = t.mustClose || metadata.Misdirected
		return exchange.Response{}, &Error{Fault: NotRun, cause: eris.Errorf("status %d", decoded.StatusCode())}
	}
	t.evidence.Complete = true
	response := copyResponse(decoded, noneReserved)
	response.Server = t.attempt.Server.ID
	return response, nil
}

// encodeHead returns the request line and the header. It has room for a small body.
func (t *roundTrip) encodeHead() ([]byte, error) {
	request := &t.attempt.Request
	if !isValidLinePart(request.Method) || !isValidLinePart(request.URI) || !isValidLinePart(request.Host) {
		return nil, errors.New("the method, the URI or the host is not valid")
	}
	timeLeft := t.attempt.Deadline.Sub(t.options.Clock.Now())
	b := make([]byte, 0, 512+min(len(request.Body), maxSyncWriteBytes))
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeaderField(b, fasthttp.HeaderHost, request.Host)
	connectionValues := connectionOptions(request.Headers)
	isReserved := t.reservedNames()
	for _, h := range request.Headers {
		if isForwarded(h.Name, connectionValues, isReserved) {
			b = appendHeaderField(b, h.Name, h.Value)
		}
	}
	for _, f := range t.options.HeaderCodec.RequestFields(request, t.attempt.Server.ID, timeLeft) {
		b = appendHeaderField(b, f.Name, f.Value)
	}
	if len(request.Body) > 0 || !usuallyHasNoBody(request.Method) {
		b = appendHeaderField(b, fasthttp.HeaderContentLength, strconv.Itoa(len(request.Body)))
	}
	return append(b, '\r', '\n'), nil
}

// reservedNames returns the function that reports which header fields of the caller are not
// for the server.
func (t *roundTrip) reservedNames() func(lower []byte) bool {
	codec := t.options.HeaderCodec
	if !t.attempt.Request.OmitCredential {
		return codec.IsReserved
	}
	return func(lower []byte) bool { return codec.IsReserved(lower) || codec.IsCredential(lower) }
}

// noneReserved reserves no header, so that callers receive the header fields that the
// server sets for the instance too.
func noneReserved([]byte) bool { return false }

func appendHeaderField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ':', ' ')
	b = append(b, value...)
	return append(b, '\r', '\n')
}

// connectionOptions returns the values of the Connection headers, which list
// hop-by-hop headers.
func connectionOptions(headers []exchange.Header) []string {
	var connectionValues []string
	for _, h := range headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderConnection) {
			connectionValues = append(connectionValues, h.Value)
		}
	}
	return connectionValues
}
