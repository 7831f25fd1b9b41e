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

// hopHeaders are the headers that concern one connection, in lower case.
// Content-Length and Host are set anew for each hop.
var hopHeaders = map[string]bool{
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

// ownPrefixes mark the headers of our protocols, in lower case. Neither a
// caller nor a server may set one for the other.
var ownPrefixes = [][]byte{[]byte("upstream-"), []byte("galenaridge-")}

// requestHeaders holds encoders for reuse.
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

// Put gives a header back.
func (p *headerPool) Put(header *fasthttp.RequestHeader) { p.pool.Put(header) }

// ownHeader reports whether a header in lower case belongs to our protocols.
func ownHeader(lower []byte) bool {
	for _, prefix := range ownPrefixes {
		if bytes.HasPrefix(lower, prefix) {
			return true
		}
	}
	return false
}

// forwarded reports whether a header passes from one side to the other.
// Listed are the values of the Connection header, which names more headers
// that concern one connection, and own tells the headers of the protocol.
func forwarded[T string | []byte](name T, listed []string, own func(lower []byte) bool) bool {
	var buffer http1.NameBuffer
	lower := http1.ToLower(&buffer, name)
	if hopHeaders[string(lower)] {
		return false
	}
	if own(lower) {
		return false
	}
	for _, value := range listed {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), string(name)) {
				return false
			}
		}
	}
	return true
}

// appendRequest appends the encoded request of the attempt.
func appendRequest(dst []byte, attempt Attempt) ([]byte, error) {
	request := &attempt.Request
	if !validTarget(request.Method) || !validTarget(request.URI) {
		return dst, eris.New("the method or the URI is not valid")
	}
	header := requestHeaders.Get()
	defer requestHeaders.Put(header)
	header.Reset()
	// Special headers are those that fasthttp would parse and change, such as
	// cookies.
	header.DisableSpecialHeader()
	header.SetMethod(request.Method)
	header.SetRequestURI(request.URI)
	header.Set(fasthttp.HeaderHost, string(attempt.Server.Address))
	var listed []string
	for _, h := range request.Headers {
		if strings.EqualFold(h.Name, fasthttp.HeaderConnection) {
			listed = append(listed, h.Value)
		}
	}
	for _, h := range request.Headers {
		if forwarded(h.Name, listed, ownHeader) {
			header.Add(h.Name, h.Value)
		}
	}
	header.Set(headerDeadline, strconv.FormatInt(attempt.Deadline.UnixMilli(), 10))
	if request.Protected {
		header.Set(headerKey, string(request.Key))
	}
	if len(request.Body) > 0 || !bodiless(request.Method) {
		header.Set(fasthttp.HeaderContentLength, strconv.Itoa(len(request.Body)))
	}
	dst = header.AppendBytes(dst)
	return append(dst, request.Body...), nil
}

// bodiless reports whether requests of the method have a body only seldom,
// so that no Content-Length says that there is none.
func bodiless(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions, fasthttp.MethodDelete:
		return true
	default:
		return false
	}
}

// validTarget reports whether a part of the request line has no byte that
// would end it.
func validTarget(part string) bool {
	for i := range len(part) {
		if part[i] <= ' ' || part[i] == 0x7f {
			return false
		}
	}
	return part != ""
}

// copyResponse copies a decoded response out of the buffers of fasthttp.
func copyResponse(decoded *fasthttp.Response, own func(lower []byte) bool) exchange.Response {
	response := exchange.Response{Outcome: fleet.Done, Status: decoded.StatusCode()}
	if !decoded.SkipBody && !http1.StatusHasNoBody(decoded.StatusCode()) {
		response.Body = append([]byte(nil), decoded.Body()...)
	}
	var listed []string
	for _, value := range decoded.Header.PeekAll(fasthttp.HeaderConnection) {
		listed = append(listed, string(value))
	}
	response.Headers = http1.CopyHeaders(decoded.Header.All(), func(name []byte) bool {
		// The length of the body that GET would return is part of the answer
		// to HEAD.
		length := decoded.SkipBody && strings.EqualFold(string(name), fasthttp.HeaderContentLength)
		return length || forwarded(name, listed, own)
	})
	return response
}

// signals returns what the server reports about itself.
func signals(header *fasthttp.ResponseHeader) (draining bool, load fleet.Slots, known bool) {
	draining = string(header.Peek(headerDraining)) == "1"
	busy, err := strconv.Atoi(string(header.Peek(headerLoad)))
	if err != nil || busy < 0 {
		return draining, 0, false
	}
	return draining, fleet.Slots(busy), true
}
