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

// Headers of the protocol for callers.
const (
	headerToken    = "Galenaridge-Token"
	headerKey      = "Galenaridge-Key"
	headerTenant   = "Galenaridge-Tenant"
	headerDeadline = "Galenaridge-Deadline"
	headerOutcome  = "Galenaridge-Outcome"
	headerMove     = "Galenaridge-Move"
)

// ownHeaders starts the names of the headers of the protocol.
const ownHeaders = "galenaridge-"

// Limits of names and headers in bytes.
const (
	maxName  = 64
	maxKey   = 128
	maxToken = 512
)

// maxDeadlineMS is the largest deadline in milliseconds that is read; one
// hour is far above that of any service and cannot overflow.
const maxDeadlineMS = 3_600_000

// parseRequest returns the request without its body and the token, or a
// refusal. Nothing in the result points into the header.
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
	largest, ok := policy.MaxDeadline(service)
	if !ok {
		return request, "", refuse(exchange.NoService, "the service is not configured")
	}
	request.Service = service
	request.URI = uri
	token, problem := parseOwn(&request, header, largest, now)
	if problem != nil {
		return request, "", problem
	}
	request.Headers = copyHeaders(header)
	return request, token, nil
}

// parseOwn reads the headers of the protocol into the request and returns the
// token.
func parseOwn(request *exchange.Request, header *fasthttp.RequestHeader, largest time.Duration, now time.Time) (string, *exchange.Response) {
	token, okToken := single(header, headerToken, maxToken, isVisible)
	key, okKey := single(header, headerKey, maxKey, isVisible)
	tenant, okTenant := single(header, headerTenant, maxName, isName)
	deadline, okDeadline := single(header, headerDeadline, maxName, isDigit)
	switch {
	case !okToken:
		return "", refuse(exchange.BadRequest, headerToken+" is not valid")
	case !okKey:
		return "", refuse(exchange.BadRequest, headerKey+" is not valid")
	case !okTenant:
		return "", refuse(exchange.BadRequest, headerTenant+" is not valid")
	case !okDeadline:
		return "", refuse(exchange.BadRequest, headerDeadline+" is not valid")
	}
	left, ok := parseDeadline(deadline, largest)
	if !ok {
		return "", refuse(exchange.BadRequest, headerDeadline+" must be from 1 to 3600000 milliseconds")
	}
	request.Key = fleet.Key(key)
	request.Tenant = fleet.Tenant(tenant)
	request.Deadline = now.Add(left)
	return token, nil
}

// parseDeadline returns the time left for a request. The largest deadline of
// the service is the default and the upper bound.
func parseDeadline(text string, largest time.Duration) (time.Duration, bool) {
	if text == "" {
		return largest, true
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || ms > maxDeadlineMS {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, largest), true
}

// single returns a copy of the value of a header, empty if it is missing. It
// fails if the header is repeated, empty, too long or has other characters
// than allowed.
func single(header *fasthttp.RequestHeader, name string, limit int, allowed func(c byte) bool) (string, bool) {
	values := header.PeekAll(name)
	if len(values) == 0 {
		return "", true
	}
	value := values[0]
	if len(values) > 1 || len(value) == 0 || len(value) > limit {
		return "", false
	}
	for _, c := range value {
		if !allowed(c) {
			return "", false
		}
	}
	return string(value), true
}

// splitTarget returns the service and what the server receives of the target
// of a request. It refuses dot segments, also encoded ones, since a server
// that resolves them would see another path than the routes of the
// configuration do.
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

// validPath reports whether a path is well encoded and has no dot segments.
func validPath(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil || strings.ContainsRune(decoded, 0) {
		return false
	}
	segments := strings.FieldsFunc(decoded, func(r rune) bool { return r == '/' || r == '\\' })
	for _, segment := range segments {
		// Some servers cut parameters off a segment before they resolve it.
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return false
		}
	}
	return true
}

// validName reports whether a name of a service, domain or tenant is well
// formed.
func validName(name string) bool {
	if name == "" || len(name) > maxName {
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

// copyHeaders copies all headers but those of the protocol. The client to
// servers removes the headers that concern one connection.
func copyHeaders(header *fasthttp.RequestHeader) []exchange.Header {
	return http1.CopyHeaders(header.AllInOrder(), func(name []byte) bool {
		return len(name) < len(ownHeaders) || !bytes.EqualFold(name[:len(ownHeaders)], []byte(ownHeaders))
	})
}
