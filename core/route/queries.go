package route

import (
	"strings"
	"sync/atomic"

	"galenaridge/core/fleet"
)

// Table finds routes. It is immutable and safe for concurrent use.
type Table struct {
	version  fleet.Version
	limits   Limits
	services map[fleet.ServiceName]Service
	hosts    map[string]*host
}

// host holds the routes of one host by prefix.
type host struct {
	prefixes map[string]*Entry
	// depth is the largest number of slashes in a prefix.
	depth int
}

// Entry is a route in force.
type Entry struct {
	Route
	total int
	// drawn counts the requests that were drawn for a backend.
	drawn atomic.Uint64
}

func newTable(d Document) *Table {
	t := &Table{
		version:  d.Version,
		limits:   d.Limits,
		services: make(map[fleet.ServiceName]Service, len(d.Services)),
		hosts:    make(map[string]*host),
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, r := range d.Routes {
		t.add(r)
	}
	return t
}

func (t *Table) add(r Route) {
	name := strings.ToLower(r.Host)
	h := t.hosts[name]
	if h == nil {
		h = &host{prefixes: make(map[string]*Entry)}
		t.hosts[name] = h
	}
	e := &Entry{Route: r}
	for _, b := range r.Backends {
		e.total += b.Weight
	}
	h.prefixes[r.Prefix] = e
	h.depth = max(h.depth, strings.Count(r.Prefix, "/"))
}

// Ready reports whether a configuration is in force.
func (t *Table) Ready() bool { return t.version > 0 }

// Version returns the version in force.
func (t *Table) Version() fleet.Version { return t.version }

// Limits returns the limits of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service.
func (t *Table) Service(name fleet.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match returns the route with the longest prefix of the path. The host may
// carry a port, and the path a query.
func (t *Table) Match(hostport, path string) (*Entry, bool) {
	name := hostport
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	h := t.hosts[strings.ToLower(name)]
	if h == nil {
		return nil, false
	}
	path, _, _ = strings.Cut(path, "?")
	return h.match(path)
}

// match tries the prefixes of a path from the longest to the shortest. Its work
// is bounded by the depth of the routes and not by the length of the path.
func (h *host) match(path string) (*Entry, bool) {
	ends := make([]int, 0, 8)
	for i := 0; i < len(path) && len(ends) < h.depth; i++ {
		if path[i] == '/' {
			ends = append(ends, i+1)
		}
	}
	for i := len(ends) - 1; i >= 0; i-- {
		if e, ok := h.prefixes[path[:ends[i]]]; ok {
			return e, true
		}
	}
	return nil, false
}

// golden is the golden ratio as a fraction of 2^64. Multiples of it fill the
// range evenly, so shares are close to their weights after few requests.
const golden = 0x9e3779b97f4a7c15

// NextService returns the service of the next request by the weights.
func (e *Entry) NextService() fleet.ServiceName {
	if len(e.Backends) == 1 {
		return e.Backends[0].Service
	}
	point := int((e.drawn.Add(1) * golden >> 32) * uint64(e.total) >> 32)
	for _, b := range e.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return e.Backends[len(e.Backends)-1].Service
}
