package route

import (
	"strings"
	"sync/atomic"

	"galenaridge/core/customer"
	"galenaridge/core/fleet"
)

// Table finds routes and services by host, path and name. It is immutable and safe for
// concurrent use.
type Table struct {
	version  fleet.Version
	limits   Limits
	services map[fleet.ServiceName]Service
	hosts    map[string]*hostRoutes
	// keysRequired is set if requests need a key, also if there is no valid one.
	keysRequired bool
	// keys holds the customers by the hashes of their keys.
	keys      map[customer.KeyHash]*customer.Customer
	customers map[fleet.Customer]*customer.Customer
}

// hostRoutes holds the routes of one host by prefix.
type hostRoutes struct {
	prefixes map[string]*Entry
	// maxDepth is the largest number of slashes in a prefix.
	maxDepth int
}

// Entry is an active route with the state of its weighted choice of services.
type Entry struct {
	Route
	totalWeight int
	// draws is the number of requests assigned to a backend.
	draws atomic.Uint64
}

func newTable(d Document) *Table {
	t := &Table{
		version:  d.Version,
		limits:   d.Limits,
		services: make(map[fleet.ServiceName]Service, len(d.Services)),
		hosts:    make(map[string]*hostRoutes),

		keysRequired: d.KeysRequired || len(d.Customers) > 0,

		keys: make(map[customer.KeyHash]*customer.Customer, len(d.Customers)),

		customers: make(map[fleet.Customer]*customer.Customer, len(d.Customers)),
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, r := range d.Routes {
		t.addRoute(r)
	}
	for i := range d.Customers {
		t.customers[d.Customers[i].Name] = &d.Customers[i]
		for _, key := range d.Customers[i].Keys {
			t.keys[key] = &d.Customers[i]
		}
	}
	return t
}

func (t *Table) addRoute(r Route) {
	name := strings.ToLower(r.Host)
	h := t.hosts[name]
	if h == nil {
		h = &hostRoutes{prefixes: make(map[string]*Entry)}
		t.hosts[name] = h
	}
	e := &Entry{Route: r}
	for _, b := range r.Backends {
		e.totalWeight += b.Weight
	}
	h.prefixes[r.Prefix] = e
	h.maxDepth = max(h.maxDepth, strings.Count(r.Prefix, "/"))
}

// Ready reports whether a configuration is active.
func (t *Table) Ready() bool { return t.version > 0 }

// Version returns the active version.
func (t *Table) Version() fleet.Version { return t.version }

// Limits returns the limits for requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service, and false if it is not configured.
func (t *Table) Service(name fleet.ServiceName) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RequiresKeys reports whether requests need the key of a customer, unless their route is
// public. It does so also if the list of customers is empty.
func (t *Table) RequiresKeys() bool { return t.keysRequired }

// HasCustomers reports whether the configuration has customers.
func (t *Table) HasCustomers() bool { return len(t.customers) > 0 }

// Customer returns the customer of a key, and false if no customer has the key.
func (t *Table) Customer(key customer.KeyHash) (*customer.Customer, bool) {
	c, ok := t.keys[key]
	return c, ok
}

// CustomerNamed returns a customer by name, and false if the configuration has none of that
// name.
func (t *Table) CustomerNamed(name fleet.Customer) (*customer.Customer, bool) {
	c, ok := t.customers[name]
	return c, ok
}

// Match returns the route with the longest matching prefix. The host may include a
// port and the path a query.
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

// match tries the prefixes of a path from the longest to the shortest. The work is
// bounded by the depth of the routes, not by the length of the path.
func (h *hostRoutes) match(path string) (*Entry, bool) {
	prefixEnds := make([]int, 0, 8)
	for i := 0; i < len(path) && len(prefixEnds) < h.maxDepth; i++ {
		if path[i] == '/' {
			prefixEnds = append(prefixEnds, i+1)
		}
	}
	for i := len(prefixEnds) - 1; i >= 0; i-- {
		if e, ok := h.prefixes[path[:prefixEnds[i]]]; ok {
			return e, true
		}
	}
	return nil, false
}

// Uses reports whether the route sends requests to a service.
func (e *Entry) Uses(service fleet.ServiceName) bool {
	for _, b := range e.Backends {
		if b.Service == service && b.Weight > 0 {
			return true
		}
	}
	return false
}

// goldenRatio is the golden ratio as a fraction of 2^64. Its multiples are spread
// evenly over the range, so that few requests suffice to approximate the weights.
const goldenRatio = 0x9e3779b97f4a7c15

// NextService returns the service of the next request, in proportion to the weights.
func (e *Entry) NextService() fleet.ServiceName {
	if len(e.Backends) == 1 {
		return e.Backends[0].Service
	}
	return e.serviceOf(e.draws.Add(1))
}

// PeekService returns what NextService would return, without a change.
func (e *Entry) PeekService() fleet.ServiceName {
	if len(e.Backends) == 1 {
		return e.Backends[0].Service
	}
	return e.serviceOf(e.draws.Load() + 1)
}

// serviceOf returns the service of a draw.
func (e *Entry) serviceOf(draw uint64) fleet.ServiceName {
	point := int((draw * goldenRatio >> 32) * uint64(e.totalWeight) >> 32)
	for _, b := range e.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return e.Backends[len(e.Backends)-1].Service
}
