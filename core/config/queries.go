package config

import "galenaridge/core/fleet"

// DefaultCustomer is used in place of every customer that is not configured, so that the
// number of customers in queues and metrics is bounded.
const DefaultCustomer fleet.Customer = "default"

// DefaultClass is the class of the default customer, unless the document configures that
// customer.
const DefaultClass fleet.Class = "default"

// View is the immutable active configuration. It is safe for concurrent use.
type View struct {
	document  Document
	services  map[fleet.ServiceName]*serviceIndex
	customers map[fleet.Customer]Customer
}

// newView indexes a document for lookups on the data path.
func newView(d Document) *View {
	v := &View{
		document:  d,
		services:  make(map[fleet.ServiceName]*serviceIndex, len(d.Services)),
		customers: make(map[fleet.Customer]Customer, len(d.Customers)+1),
	}
	v.customers[DefaultCustomer] = Customer{Name: DefaultCustomer, Class: DefaultClass, Weight: 1}
	for _, s := range d.Services {
		v.services[s.Name] = newServiceIndex(s)
	}
	for _, t := range d.Customers {
		v.customers[t.Name] = t
	}
	return v
}

// View returns the active configuration. It is never nil.
func (s *State) View() *View { return s.view }

// Ready reports whether a document is active.
func (v *View) Ready() bool { return v.document.Version > 0 }

// Version returns the active version, or zero if there is none.
func (v *View) Version() fleet.Version { return v.document.Version }

// Digest returns the digest of the active document.
func (v *View) Digest() fleet.Digest { return v.document.Digest }

// Document returns the active document; it must not be modified.
func (v *View) Document() Document { return v.document }

// Service returns the configuration of a service, or false if there is none.
func (v *View) Service(name fleet.ServiceName) (Service, bool) {
	index, ok := v.services[name]
	if !ok {
		return Service{}, false
	}
	return index.service, true
}

// Protected reports whether a request is protected, since it is not idempotent. A query in
// the path is ignored. Requests to an unknown service are protected.
func (v *View) Protected(service fleet.ServiceName, method, path string) bool {
	index, ok := v.services[service]
	return !ok || index.protected(method, path)
}

// Customer returns the customer of that name, or the default customer.
func (v *View) Customer(name fleet.Customer) Customer {
	if t, ok := v.customers[name]; ok {
		return t
	}
	return v.customers[DefaultCustomer]
}
