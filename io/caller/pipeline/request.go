package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/io/http1"
	"galenaridge/io/memory"
)

// parsedRequest is a whole request that was read from a connection.
type parsedRequest struct {
	Request exchange.Request
	// body is what the body takes of the memory; nil without a body.
	body *memory.Holding
	// headBytes is the size of the header.
	headBytes int
	// closeAfter is set if the caller sends no further request on the connection.
	closeAfter bool
}

// release gives the memory of the body back.
func (r *parsedRequest) release() {
	if r.body != nil {
		r.body.Release()
	}
}

// readRequest reads one whole request. If the request is invalid, it returns the
// error response instead.
func (c *conn) readRequest() (parsedRequest, *pendingResponse) {
	limits := c.options.Policy.Limits().withDefaults()
	started := c.options.Clock.Now()
	_ = c.socket.SetReadDeadline(started.Add(limits.HeaderTimeout))
	decoded := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(decoded)
	decoded.Header.DisableNormalizing()
	if err := decoded.Header.Read(c.reader); err != nil {
		return parsedRequest{}, c.readErrorResponse(err)
	}
	headBytes := len(decoded.Header.RawHeaders())
	if headBytes > limits.MaxHeaderBytes {
		return parsedRequest{}, errorResponse(exchange.HeaderTooLarge, "the header is too large")
	}
	if message := checkHeader(&decoded.Header); message != "" {
		return parsedRequest{}, errorResponse(exchange.BadRequest, message)
	}
	fields, err := c.options.HeaderParser.ParseRequest(&decoded.Header)
	if err != nil {
		return parsedRequest{}, errorResponse(exchange.BadRequest, err.Error())
	}
	deadline := started.Add(fields.TimeLeft)
	body, holding, err := c.readBody(decoded, deadline, limits.MaxBodyBytes)
	if err != nil {
		return parsedRequest{}, c.readErrorResponse(err)
	}
	request := exchange.Request{
		ID:         fields.ID,
		Host:       string(decoded.Header.Peek(fasthttp.HeaderHost)),
		Method:     string(decoded.Header.Method()),
		URI:        string(decoded.Header.RequestURI()),
		Deadline:   deadline,
		Credential: fields.Credential,
		Headers:    http1.CopyHeaders(decoded.Header.AllInOrder(), keepAllHeaders),
		Body:       body,
	}
	return parsedRequest{Request: request, body: holding, headBytes: headBytes, closeAfter: decoded.Header.ConnectionClose()}, nil
}

func keepAllHeaders([]byte) bool { return true }

// chunkedLength is the length that fasthttp states for a chunked body.
const chunkedLength = -1

// readBody reads a body of at most maxBytes, which must arrive before the deadline of the
// request. If the caller waits for it, it sends the interim response 100 first. It returns
// the body with what it takes of the memory.
func (c *conn) readBody(request *fasthttp.Request, deadline time.Time, maxBytes int) (body []byte, _ *memory.Holding, err error) {
	length := request.Header.ContentLength()
	if length > maxBytes {
		return nil, nil, fasthttp.ErrBodyTooLarge
	}
	if length <= 0 && length != chunkedLength {
		return nil, nil, nil
	}
	holding := c.options.Memory.NewHolding(memory.RequestBodies)
	defer func() {
		c.input.endBody()
		c.reading.Store(nil)
		if err != nil {
			holding.Release()
		}
	}()
	// A body that does not fit is refused before it is read.
	if length != chunkedLength && !holding.Grow(length) {
		return nil, nil, errMemory
	}
	c.input.beginBody(deadline)
	c.reading.Store(holding)
	if err := c.sendContinue(request); err != nil {
		return nil, nil, err
	}
	reader := http1.BodyReader{Reader: c.reader, MaxBytes: maxBytes}
	if length != chunkedLength {
		reader.Room, reader.AtOnce = http1.Unbounded{}, true
		body, err = reader.ReadSized(length)
		return body, holding, err
	}
	reader.Room = bodyRoom{holding}
	if body, err = reader.ReadChunked(); err != nil {
		return nil, nil, err
	}
	return body, holding, http1.SkipTrailer(c.reader)
}

// sendContinue sends the interim response 100 if the caller waits for it.
func (c *conn) sendContinue(request *fasthttp.Request) error {
	if !request.MayContinue() {
		return nil
	}
	if c.hasOpenRequests() {
		return errors.New("a request with Expect: 100-continue must not be pipelined after another request")
	}
	_, err := c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// readErrorResponse returns the response to a request that could not be read.
func (c *conn) readErrorResponse(err error) *pendingResponse {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, errMemory):
		return refuseForNow(errMemory.Error())
	case errors.As(err, &smallBuffer), errors.Is(err, bufio.ErrBufferFull):
		return errorResponse(exchange.HeaderTooLarge, "the header is too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errorResponse(exchange.TooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return errorResponse(exchange.SlowRequest, "the request did not arrive in time")
	default:
		return errorResponse(exchange.BadRequest, "the request is not valid HTTP/1.1")
	}
}

// errorResponse returns the response to an invalid request. It ends the connection,
// because the start of the next request is unknown.
func errorResponse(code exchange.Code, message string) *pendingResponse {
	done := make(chan struct{})
	close(done)
	return &pendingResponse{done: done, response: exchange.Refuse(code, message), closeAfter: true}
}

// refuseForNow returns the response to a request that was not read because the process
// has no room for it.
func refuseForNow(message string) *pendingResponse {
	p := errorResponse(exchange.Overloaded, message)
	p.response.RetryAfter = memoryRetryAfter
	return p
}

// checkHeader returns the problem of a header that fasthttp accepts but that a server
// may parse differently, which would allow request smuggling. It returns an empty
// string if there is none.
func checkHeader(header *fasthttp.RequestHeader) string {
	if string(header.Protocol()) != "HTTP/1.1" {
		return "the protocol must be HTTP/1.1"
	}
	uri := header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' || bytes.ContainsAny(uri, "#\x00") {
		return "the target must be a path"
	}
	for _, b := range uri {
		if b <= ' ' || b >= 0x7f {
			return "the target has a byte that is not allowed"
		}
	}
	return checkHeaderLines(header.RawHeaders())
}

// checkHeaderLines returns the problem of the raw header lines, empty if there is
// none.
func checkHeaderLines(raw []byte) string {
	hosts, lengths, encodings := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !http1.IsToken(name) {
			return "a header line is not valid"
		}
		value = bytes.Trim(value, " \t")
		if bytes.ContainsAny(value, "\r\x00") {
			return "a header value has a byte that is not allowed"
		}
		switch strings.ToLower(string(name)) {
		case "host":
			hosts++
		case "content-length":
			lengths++
			if !isNumber(value) {
				return "the length is not a number"
			}
		case "transfer-encoding":
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return "the transfer encoding is not supported"
			}
		}
	}
	switch {
	case hosts != 1:
		return "there must be one host"
	case lengths > 1, encodings > 1, lengths+encodings > 1:
		return "the length of the body is ambiguous"
	default:
		return ""
	}
}

func isNumber(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}
