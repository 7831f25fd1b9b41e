package config

import (
	"net/url"
	"path"
	"strings"
)

// serviceIndex finds the route of a request by one map lookup for each
// segment of the path that any route of the service has.
type serviceIndex struct {
	service Service
	// prefixes maps the path of a route to the routes with that path.
	prefixes map[string][]Route
	// depth is the largest number of segments in a route's path.
	depth int
}

func newServiceIndex(s Service) *serviceIndex {
	index := &serviceIndex{service: s, prefixes: make(map[string][]Route, len(s.Routes))}
	for _, r := range s.Routes {
		index.prefixes[r.Path] = append(index.prefixes[r.Path], r)
		index.depth = max(index.depth, strings.Count(r.Path, "/"))
	}
	return index
}

// protected decides a request by the longest matching route.
func (x *serviceIndex) protected(method, uri string) bool {
	raw, _, _ := strings.Cut(uri, "?")
	if !ambiguous(raw) {
		return x.protectedPath(method, raw)
	}
	// A server may read "/%73waps" or "/a/../swaps" as "/swaps". Either
	// reading may be right, so one that is protected decides.
	decoded, err := url.PathUnescape(raw)
	if err != nil {
		return true
	}
	return x.protectedPath(method, raw) || x.protectedPath(method, path.Clean("/"+decoded))
}

// ambiguous reports whether servers may read a path in different ways.
func ambiguous(p string) bool {
	return strings.Contains(p, "%") || strings.Contains(p, "//") || strings.Contains(p, "/.")
}

func (x *serviceIndex) protectedPath(method, p string) bool {
	p = firstSegments(p, x.depth)
	for {
		if r, ok := choose(x.prefixes[p], method); ok {
			return r.Protected
		}
		if p == "/" || p == "" {
			return !safe(method)
		}
		p = p[:strings.LastIndexByte(p, '/')]
		if p == "" {
			p = "/"
		}
	}
}

// firstSegments cuts a path after n segments, so that the work for a path
// does not grow with its length.
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

// choose returns the route for a method; one that names the method comes
// before one for any method.
func choose(routes []Route, method string) (Route, bool) {
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

// safe reports whether requests of a method change nothing by definition.
func safe(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
