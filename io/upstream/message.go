package upstream

import (
	"bytes"
	"strconv"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

// Headers of the protocol between instances and servers.
const (
	headerDeadline = "Upstream-Deadline"
	headerKey      = "Upstream-Key"
	headerLoad     = "Upstream-Load"
	headerDraining = "Upstream-Draining"
)

// hopByHopHeaders are the headers that are not forwarded, in lower case.
// Content-Length and Host are among them because each hop sets them itself.
var hopByHopHeaders = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"host":                true,
	"expect":              true,
}

// protocolHeaderPrefixes are the prefixes of the headers of the protocols between
// callers, instances and servers, in lower case. Headers with these prefixes are never
// forwarded between callers and servers.
var protocolHeaderPrefixes = [][]byte{[]byte("upstream-"), []byte("galenaridge-")}

// requestHeaders is the pool of request headers that appendRequest uses.
var requestHeaders = headerPool{}

// headerPool is a typed pool of request headers.
type headerPool struct{ pool sync.Pool }

// Get returns a header with unspecified content.
func (p *headerPool) Get() *fasthttp.RequestHeader {
	if header, ok := p.pool.Get().(*fasthttp.RequestHeader); ok {
		return header
	}
	return &fasthttp.RequestHeader{}
}

// Put returns a header to the pool.
func (p *headerPool) Put(header *fasthttp.RequestHeader) { p.pool.Put(header) }

// isProtocolHeader reports whether a header name in lower case has one of
// protocolHeaderPrefixes.
func isProtocolHeader(lower []byte) bool {
	for _, prefix := range protocolHeaderPrefixes {
		if bytes.HasPrefix(lower, prefix) {
			return true
		}
	}
	return false
}

// isForwarded reports whether a header is forwarded between a caller and a server.
// connectionValues are the values of the Connection header, which lists further
// hop-by-hop headers. isReserved reports whether a lower-case name belongs to the
// protocol.
func isForwarded[T string | []byte](name T, connectionValues []string, isReserved func(lower []byte) bool) bool {
	var buffer http1.NameBuffer
	lower := http1.ToLower(&buffer, name)
	if hopByHopHeaders[string(lower)] {
		return false
	}
	if isReserved(lower) {
		return false
	}
	for _, value := range connectionValues {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), string(name)) {
				return false
			}
		}
	}
	return true
}

// appendRequest appends the encoded request of the attempt to dst.
func appendRequest(dst []byte, attempt Attempt) ([]byte, error) {
	request := &attempt.Request
	if !isValidLinePart(request.Method) || !isValidLinePart(request.URI) {
		return dst, eris.New("the method or the URI is not valid")
	}
	header := requestHeaders.Get()
	defer requestHeaders.Put(header)
	header.Reset()
	// Keeps headers unchanged that fasthttp would otherwise parse and normalize, such
	// as cookies.
	header.DisableSpecialHeader()
	header.SetMethod(request.Method)
	header.SetRequestURI(request.URI)
	header.Set(fasthttp.HeaderHost, string(attempt.Server.Address))
	var connectionValues []string
	for _, h := range request.Headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderConnection) {
			connectionValues = append(connectionValues, h.Value)
		}
	}
	for _, h := range request.Headers {
		if isForwarded(h.Name, connectionValues, isProtocolHeader) {
			header.Add(h.Name, h.Value)
		}
	}
	header.Set(headerDeadline, strconv.FormatInt(attempt.Deadline.UnixMilli(), 10))
	if request.Protected {
		header.Set(headerKey, string(request.Key))
	}
	if len(request.Body) > 0 || !usuallyHasNoBody(request.Method) {
		header.Set(fasthttp.HeaderContentLength, strconv.Itoa(len(request.Body)))
	}
	dst = header.AppendBytes(dst)
	return append(dst, request.Body...), nil
}

// usuallyHasNoBody reports whether requests with the method rarely have a body. For
// these methods, an empty body is sent without Content-Length: 0.
func usuallyHasNoBody(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}

// isValidLinePart reports whether a part of the request line is not empty and has no
// space or control byte, which could end the part or the line.
func isValidLinePart(part string) bool {
	for i := range len(part) {
		if part[i] <= ' ' || part[i] == 0x7f {
			return false
		}
	}
	return part != ""
}

// copyResponse copies a decoded response out of the buffers of fasthttp.
func copyResponse(decoded *fasthttp.Response, isReserved func(lower []byte) bool) exchange.Response {
	response := exchange.Response{Outcome: fleet.Done, Status: decoded.StatusCode()}
	if body := decoded.Body(); len(body) > 0 && !decoded.SkipBody && !http1.StatusHasNoBody(decoded.StatusCode()) {
		// http1.ReadBody allocates the body, so that it is not copied.
		response.Body = body
	}
	var connectionValues []string
	for _, value := range decoded.Header.PeekAll(fasthttp.HeaderConnection) {
		connectionValues = append(connectionValues, string(value))
	}
	response.Headers = http1.CopyHeaders(decoded.Header.All(), func(name []byte) bool {
		// In a response to HEAD, Content-Length is the length of the body that GET
		// would return, and is forwarded.
		length := decoded.SkipBody && strings.EqualFold(string(name), fasthttp.HeaderContentLength)
		return length || isForwarded(name, connectionValues, isReserved)
	})
	return response
}

// parseServerStatus returns the drain state and the load that the server reports.
// load is valid if loadKnown is set.
func parseServerStatus(header *fasthttp.ResponseHeader) (draining bool, load fleet.Slots, loadKnown bool) {
	draining = string(header.Peek(headerDraining)) == "1"
	inFlight, err := strconv.Atoi(string(header.Peek(headerLoad)))
	if err != nil || inFlight < 0 {
		return draining, 0, false
	}
	return draining, fleet.Slots(inFlight), true
}
