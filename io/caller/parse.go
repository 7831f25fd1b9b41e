package caller

import (
	"bytes"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"galenaridge/core/config"
	"galenaridge/core/exchange"
	"galenaridge/core/fleet"
	"galenaridge/io/http1"
)

// Headers of the protocol between callers and instances.
const (
	headerToken    = "Galenaridge-Token"
	headerKey      = "Galenaridge-Key"
	headerCustomer = "Galenaridge-Tenant"
	headerDeadline = "Galenaridge-Deadline"
	headerOutcome  = "Galenaridge-Outcome"
	headerMove     = "Galenaridge-Move"
)

// protocolHeaderPrefix is the prefix of all protocol headers, in lower case.
const protocolHeaderPrefix = "galenaridge-"

// Largest names and header values in bytes.
const (
	maxNameBytes  = 64
	maxKeyBytes   = 128
	maxTokenBytes = 512
)

// maxDeadlineMS is the largest accepted deadline in milliseconds. One hour is far
// above the deadline of any service and cannot overflow a time.Duration.
const maxDeadlineMS = 3_600_000

// parseRequest returns the request without its body, and the token, or a refusal.
// The result holds copies and does not point into the header.
func parseRequest(header *fasthttp.RequestHeader, limits config.Limits, policy Policy, now time.Time) (exchange.Request, string, *exchange.Response) {
	var request exchange.Request
	if len(header.RawHeaders()) > limits.MaxHeaderBytes {
		return request, "", refuse(exchange.TooLarge, "the header is too large")
	}
	switch request.Method = string(header.Method()); request.Method {
	case fasthttp.MethodConnect, fasthttp.MethodTrace:
		return request, "", refuse(exchange.BadRequest, "the method is not supported")
	}
	service, uri, ok := splitTarget(string(header.RequestURI()))
	if !ok {
		return request, "", refuse(exchange.BadRequest, "the path must be /{service}/{path} without dot segments")
	}
	if !policy.Ready() {
		return request, "", refuse(exchange.NotReady, "no configuration is in force yet")
	}
	maxDeadline, ok := policy.MaxDeadline(service)
	if !ok {
		return request, "", refuse(exchange.NoService, "the service is not configured")
	}
	request.Service = service
	request.URI = uri
	token, refusal := parseProtocolHeaders(&request, header, maxDeadline, now)
	if refusal != nil {
		return request, "", refusal
	}
	request.Headers = copyHeaders(header)
	return request, token, nil
}

// parseProtocolHeaders sets the key, the customer and the deadline of the request
// and returns the token.
func parseProtocolHeaders(request *exchange.Request, header *fasthttp.RequestHeader, maxDeadline time.Duration, now time.Time) (string, *exchange.Response) {
	token, okToken := singleValue(header, headerToken, maxTokenBytes, isVisible)
	key, okKey := singleValue(header, headerKey, maxKeyBytes, isVisible)
	customer, okCustomer := singleValue(header, headerCustomer, maxNameBytes, isName)
	deadline, okDeadline := singleValue(header, headerDeadline, maxNameBytes, isDigit)
	switch {
	case !okToken:
		return "", refuse(exchange.BadRequest, headerToken+" is not valid")
	case !okKey:
		return "", refuse(exchange.BadRequest, headerKey+" is not valid")
	case !okCustomer:
		return "", refuse(exchange.BadRequest, headerCustomer+" is not valid")
	case !okDeadline:
		return "", refuse(exchange.BadRequest, headerDeadline+" is not valid")
	}
	timeLeft, ok := parseDeadline(deadline, maxDeadline)
	if !ok {
		return "", refuse(exchange.BadRequest, headerDeadline+" must be from 1 to 3600000 milliseconds")
	}
	request.Key = fleet.Key(key)
	request.Customer = fleet.Customer(customer)
	request.Deadline = now.Add(timeLeft)
	return token, nil
}

// parseDeadline returns the time left for a request. The maximum deadline of the
// service is the default and the upper bound.
func parseDeadline(text string, maxDeadline time.Duration) (time.Duration, bool) {
	if text == "" {
		return maxDeadline, true
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > maxDeadlineMS {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, maxDeadline), true
}

// singleValue returns a copy of the value of a header, empty if it is missing. It
// fails if the header is repeated, empty, too long or has a character that is not
// allowed.
func singleValue(header *fasthttp.RequestHeader, name string, maxBytes int, allowed func(c byte) bool) (string, bool) {
	values := header.PeekAll(name)
	if len(values) == 0 {
		return "", true
	}
	value := values[0]
	if len(values) > 1 || len(value) == 0 || len(value) > maxBytes {
		return "", false
	}
	for _, c := range value {
		if !allowed(c) {
			return "", false
		}
	}
	return string(value), true
}

// splitTarget splits a request target into the service and the URI that the server
// receives. It rejects dot segments, also encoded ones: a server that resolves them
// would serve another path than the path that was matched against the configured
// routes.
func splitTarget(target string) (fleet.ServiceName, string, bool) {
	path, query, hasQuery := strings.Cut(target, "?")
	if !strings.HasPrefix(path, "/") || strings.ContainsRune(target, '#') {
		return "", "", false
	}
	service, rest, ok := strings.Cut(path[1:], "/")
	if !ok || !validName(service) || !validPath(rest) {
		return "", "", false
	}
	uri := "/" + rest
	if hasQuery {
		uri += "?" + query
	}
	for i := range len(uri) {
		if uri[i] <= ' ' || uri[i] == 0x7f {
			return "", "", false
		}
	}
	return fleet.ServiceName(service), uri, true
}

// validPath reports whether the percent-encoding of a path is valid and the path
// has no dot segments.
func validPath(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil || strings.ContainsRune(decoded, 0) {
		return false
	}
	segments := strings.FieldsFunc(decoded, func(r rune) bool { return r == '/' || r == '\\' })
	for _, segment := range segments {
		// Some servers strip path parameters before they resolve a segment.
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return false
		}
	}
	return true
}

// validName reports whether a name of a service, failure domain or customer is well
// formed.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if !isName(name[i]) {
			return false
		}
	}
	return true
}

func isName(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || isDigit(c) || c == '-' || c == '_' || c == '.'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isVisible(c byte) bool { return c > ' ' && c < 0x7f }

// copyHeaders copies all headers except protocol headers. Package upstream removes
// the hop-by-hop headers.
func copyHeaders(header *fasthttp.RequestHeader) []exchange.Header {
	return http1.CopyHeaders(header.AllInOrder(), func(name []byte) bool {
		return len(name) < len(protocolHeaderPrefix) || !bytes.EqualFold(name[:len(protocolHeaderPrefix)], []byte(protocolHeaderPrefix))
	})
}
