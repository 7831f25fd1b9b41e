package config

import (
	"net/url"
	"path"
	"strings"
)

// serviceIndex finds the route of a request. It takes at most one map lookup for each
// segment of the longest route path of the service.
type serviceIndex struct {
	service Service
	// prefixes maps a path prefix to the routes with that prefix.
	prefixes map[string][]Route
	// maxSegments is the largest number of segments in the path of a route.
	maxSegments int
}

func newServiceIndex(s Service) *serviceIndex {
	index := &serviceIndex{service: s, prefixes: make(map[string][]Route, len(s.Routes))}
	for _, r := range s.Routes {
		index.prefixes[r.Path] = append(index.prefixes[r.Path], r)
		index.maxSegments = max(index.maxSegments, strings.Count(r.Path, "/"))
	}
	return index
}

// protected reports whether the longest matching route, or else the method, makes a
// request protected.
func (x *serviceIndex) protected(method, uri string) bool {
	raw, _, _ := strings.Cut(uri, "?")
	if !isAmbiguous(raw) {
		return x.protectedPath(method, raw)
	}
	// A server may interpret "/%73waps" or "/a/../swaps" as "/swaps" or literally. The
	// request is protected if it is protected under either interpretation.
	decoded, err := url.PathUnescape(raw)
	if err != nil {
		return true
	}
	return x.protectedPath(method, raw) || x.protectedPath(method, path.Clean("/"+decoded))
}

// isAmbiguous reports whether servers may interpret a path in different ways.
func isAmbiguous(p string) bool {
	return strings.Contains(p, "%") || strings.Contains(p, "//") || strings.Contains(p, "/.")
}

func (x *serviceIndex) protectedPath(method, p string) bool {
	p = firstSegments(p, x.maxSegments)
	for {
		if r, ok := routeFor(x.prefixes[p], method); ok {
			return r.Protected
		}
		if p == "/" || p == "" {
			return !isSafeMethod(method)
		}
		p = p[:strings.LastIndexByte(p, '/')]
		if p == "" {
			p = "/"
		}
	}
}

// firstSegments returns the first n segments of a path, so that the number of lookups does
// not grow with its length.
func firstSegments(p string, n int) string {
	if !strings.HasPrefix(p, "/") {
		return "/"
	}
	for i := 1; i < len(p); i++ {
		if p[i] != '/' {
			continue
		}
		n--
		if n <= 0 {
			return p[:i]
		}
	}
	return p
}

// routeFor returns the route for a method, or false if there is none. A route for exactly
// that method takes precedence over one for any method.
func routeFor(routes []Route, method string) (Route, bool) {
	found, ok := Route{}, false
	for _, r := range routes {
		if r.Method == method {
			return r, true
		}
		if r.Method == AnyMethod {
			found, ok = r, true
		}
	}
	return found, ok
}

// isSafeMethod reports whether a method is safe as defined by HTTP: its requests change
// nothing.
func isSafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
